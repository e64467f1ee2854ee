//! How long a text waits for an engine with the version that it needs.

use std::ops::RangeInclusive;

use crate::placement::EngineView;

/// How long no engine may have a text's version before the text gives it up: the entry of an engine may be missing for a
/// moment.
const MISSING_VERSION_GRACE_MS: u64 = 500;

/// A text that can only be continued by one version; under any other it starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionPin {
    /// The version that generated its events.
    pub version: u64,
    /// Until when it waits for an engine with that version, on the clock of [`PinnedWait::gives_up`].
    pub until_ms: u64,
}

impl VersionPin {
    /// Pins a text whose events took `generated_ms`, at `now_ms`.
    ///
    /// It waits no longer than it would take to generate the events again, so that waiting costs at most twice as much
    /// as the better of the two choices.
    pub fn open(version: u64, generated_ms: u64, now_ms: u64) -> Self {
        Self {
            version,
            until_ms: now_ms + generated_ms,
        }
    }

    /// The versions of the engines that can continue the text.
    pub fn versions(&self) -> RangeInclusive<u64> {
        self.version..=self.version
    }
}

/// The wait of a pinned text for an engine with its version.
#[derive(Debug, Default)]
pub struct PinnedWait {
    /// Since when no engine has had the version.
    missing_since_ms: Option<u64>,
}

impl PinnedWait {
    /// Whether the text takes an engine with another version at `now_ms`, and so starts again. `engines` are those that
    /// it may use, with or without a free slot.
    pub fn gives_up(&mut self, pin: &VersionPin, engines: &[EngineView], now_ms: u64) -> bool {
        if engines.iter().any(|engine| engine.version == pin.version) {
            self.missing_since_ms = None;
            return now_ms >= pin.until_ms;
        }
        let missing_since_ms = *self.missing_since_ms.get_or_insert(now_ms);
        now_ms
            >= pin
                .until_ms
                .min(missing_since_ms + MISSING_VERSION_GRACE_MS)
    }
}
