//! The mechanisms that decide, each of which can be switched off to measure what it is worth.

use serde::Deserialize;

/// A mechanism.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Texts under way are stored, and a successor goes on with them.
    StoredTexts,
    /// A call to the store goes by a peer where this daemon's own way is closed.
    StoreDetour,
    /// Texts that were cut off at the end of a step are kept for the next that asks for them.
    KeptTexts,
    /// Long texts leave slow engines.
    MovesToBetterEngines,
    /// The pace of an engine counts in the choice of one.
    Pace,
    /// A whole submission stays with its owner until it is ended.
    HeldUntilEnded,
    /// Another engine is chosen after a refusal or a loss, for a while.
    Avoidance,
}

/// Which mechanisms are on.
#[derive(Debug, Clone, Default)]
pub struct Mechanisms {
    disabled: Vec<Mechanism>,
}

impl Mechanisms {
    /// All but some.
    pub fn without(disabled: Vec<Mechanism>) -> Self {
        Self { disabled }
    }

    /// Says whether a mechanism is on.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
