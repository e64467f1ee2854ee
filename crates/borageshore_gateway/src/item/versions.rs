//! The model versions that may generate an item's text, and its new start under another one.

use borageshore_batch::{Text, VersionPin, VersionRule};
use borageshore_routing::Route;

use super::ItemRun;

/// The pin of a text. It stays the same until the text gets an event, so that refusals don't prolong its wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct TextPin {
    pub(super) pin: VersionPin,
    last_event: u64,
}

impl ItemRun<'_> {
    /// What the submission and its route require.
    pub(super) fn version_rule_of(&self, route: &Route) -> VersionRule {
        VersionRule {
            min_version: self.submission.min_version,
            is_single: route.is_single_version,
        }
    }

    /// The pin of a text that only one version can continue. Without a model, the versions of the engines are not known
    /// before they respond.
    pub(super) fn pin(&self, rule: VersionRule, text: &Text) -> Option<VersionPin> {
        self.submission.model.as_ref()?;
        let version = rule.pinned_version(text.versions())?;
        let endpoints = &self.context.endpoints;
        let generated_ms = endpoints.generation_ms(text.last_event());
        Some(VersionPin::open(version, generated_ms, endpoints.now_ms()))
    }

    pub(super) fn renew_pin(
        &self,
        before: Option<TextPin>,
        rule: VersionRule,
        text: &Text,
    ) -> Option<TextPin> {
        let last_event = text.last_event();
        let unchanged = before.filter(|before| before.last_event == last_event);
        let pin = self.pin(rule, text)?;
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

    /// Handles a refused version. A text that waits for its version at an engine with a known one is placed by that; one
    /// without a model might be refused everywhere, and starts again.
    pub(super) fn on_other_version(&self, rule: VersionRule, text: &mut Text) {
        let is_pinned = rule.pinned_version(text.versions()).is_some();
        if is_pinned && self.submission.model.is_none() {
            self.restart(text, "its engine has another version");
        }
    }
}
