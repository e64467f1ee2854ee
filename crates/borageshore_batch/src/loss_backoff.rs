//! Pacing of an item whose engines are lost one after the other.

use std::sync::Arc;

/// Consecutive lost attempts from which on the next one is paced. Fewer are usual when several engines are lost at once.
const LOSSES_TO_PACE: u32 = 3;
/// The minimum time between the starts of two attempts at first; it doubles with each further loss.
const FIRST_INTERVAL_MS: u64 = 250;
/// The pause after an engine that was not reached, so that an item tries the engines of a lost zone one after the other
/// until their entries lapse, but not in a tight loop.
const UNREACHED_PAUSE_MS: u64 = 30;
/// Limit of the doublings, at 2 s. An item is owed and must not be without an engine for 5 s while there is room; it still
/// has to be placed after its pause.
const MAX_DOUBLINGS: u32 = 3;
/// Lost engines that are remembered, so that an item is kept away from a whole zone but holds little memory.
const MAX_LOST_ENGINES: usize = 32;

/// The consecutive losses of one item's attempts, since its text last grew.
///
/// Paces the item without holding it: it is owed, and the losses prove nothing against it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossBackoff {
    losses: u32,
    lost_engines: Vec<Arc<str>>,
}

impl LossBackoff {
    /// Records that an attempt was lost with its engine; returns how long the item pauses.
    pub fn on_lost(&mut self, instance: &Arc<str>, attempt_ms: u64) -> u64 {
        self.losses = self.losses.saturating_add(1);
        self.add_engine(instance);
        self.interval_ms().saturating_sub(attempt_ms)
    }

    /// Records that an engine was not reached, which says nothing about the item; returns how long the item pauses.
    pub fn on_unreached(&mut self, instance: &Arc<str>) -> u64 {
        self.add_engine(instance);
        UNREACHED_PAUSE_MS
    }

    fn add_engine(&mut self, instance: &Arc<str>) {
        if !self.lost_engines.contains(instance) {
            if self.lost_engines.len() == MAX_LOST_ENGINES {
                self.lost_engines.remove(0);
            }
            self.lost_engines.push(instance.clone());
        }
    }

    /// Records that the text grew.
    pub fn on_progress(&mut self) {
        *self = Self::default();
    }

    /// The engines that were lost or not reached, which are to be avoided while others have room. One that starts again has another name.
    pub fn lost_engines(&self) -> &[Arc<str>] {
        &self.lost_engines
    }

    /// The minimum time between the starts of the last attempt and the next one.
    fn interval_ms(&self) -> u64 {
        let Some(doublings) = self.losses.checked_sub(LOSSES_TO_PACE) else {
            return 0;
        };
        FIRST_INTERVAL_MS << doublings.min(MAX_DOUBLINGS)
    }
}
