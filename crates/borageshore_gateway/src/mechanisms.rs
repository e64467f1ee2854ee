//! Optional mechanisms, each of which can be disabled to compare results with and without it.

use serde::Deserialize;

/// A mechanism that can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Unfinished texts are saved in the store, and a new owner resumes them.
    StoredTexts,
    /// Calls to the store take the peer route while the direct route fails.
    StoreDetour,
    /// Texts that are unfinished at the end of a step are cached for the next submission of the same item.
    KeptTexts,
    /// Items with long texts move from slow engines to faster ones.
    MovesToBetterEngines,
    /// Placement takes the latency of engines into account.
    Pace,
    /// A complete submission stays with its owner until it is ended.
    HeldUntilEnded,
    /// After a refused or lost attempt, other engines are preferred for a while.
    Avoidance,
}

/// The set of enabled mechanisms.
#[derive(Debug, Clone, Default)]
pub struct Mechanisms {
    disabled: Vec<Mechanism>,
}

impl Mechanisms {
    /// Enables all mechanisms except those in `disabled`.
    pub fn without(disabled: Vec<Mechanism>) -> Self {
        Self { disabled }
    }

    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
