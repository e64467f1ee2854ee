//! The model version that has to continue an item's text, and its new start under another one.

use borageshore_batch::{Text, VersionPin};
use borageshore_routing::Route;

use super::ItemRun;

/// The pin of a text. It stays the same until the text gets an event, so that refusals don't prolong its wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct TextPin {
    pub(super) pin: VersionPin,
    last_event: u64,
}

impl ItemRun<'_> {
    /// The pin of a text that only one version can continue. Without a model, the versions of the engines are not known
    /// before they respond.
    fn pin(&self, route: &Route, text: &Text) -> Option<VersionPin> {
        self.submission.model.as_ref()?;
        let version = text.versions().last().copied();
        let version = version.filter(|_| route.is_single_version)?;
        let endpoints = &self.context.endpoints;
        let generated_ms = endpoints.generation_ms(text.last_event());
        Some(VersionPin::open(version, generated_ms, endpoints.now_ms()))
    }

    pub(super) fn renew_pin(
        &self,
        before: Option<TextPin>,
        route: &Route,
        text: &Text,
    ) -> Option<TextPin> {
        let last_event = text.last_event();
        let unchanged = before.filter(|before| before.last_event == last_event);
        let pin = self.pin(route, text)?;
        Some(unchanged.unwrap_or(TextPin { pin, last_event }))
    }

    /// Drops the events of a text, so that another version can generate it.
    pub(super) fn restart(&self, text: &mut Text, reason: &str) {
        self.context.instruments.count("item", "restarted");
        log::info!(
            item = &*self.item.id, versions:? = text.versions(), events = text.last_event(), reason;
            "starting a text again"
        );
        *text = Text::default();
        self.start_saving(text);
    }
}
