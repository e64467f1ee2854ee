//! How many items are started before slots are free for them.
//!
//! The load: a submission of many thousand items before a few dozen slots. An item that was started takes memory while it
//! waits; one that was not takes next to none.

/// The started items that may wait for each slot of their service: enough for the start order to choose from, and for all
/// slots that become free at once.
const WAITING_PER_SLOT: u64 = 4;
/// The started items that may wait for a service with few slots, or with none that are known.
const MIN_WAITING: u64 = 64;
/// The waiting items that each submission may have whatever others have, so that one whose items no engine can run now
/// does not hold up the rest.
const MIN_SHARE: u64 = 16;

/// What a started item takes while it waits for a slot, with its reward call and its place in the queue.
const STARTED_ITEM_BYTES: u64 = 8 * 1024;

/// The started items that fit into some memory.
pub fn most_started(bytes: u64) -> u64 {
    bytes / STARTED_ITEM_BYTES
}

/// The memory of the items that a submission may start whatever others have, given how many are left.
pub fn share_bytes(items_left: usize) -> u64 {
    MIN_SHARE.min(items_left as u64) * STARTED_ITEM_BYTES
}

/// The started items of a submission that have no result yet.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StartedItems {
    /// Those that have not been at an engine.
    pub waiting: u64,
    /// Those that are, or were, at an engine.
    pub placed: u64,
    /// Those whose texts are complete.
    pub generated: u64,
}

impl StartedItems {
    /// All of them.
    pub fn count(&self) -> u64 {
        self.waiting + self.placed + self.generated
    }
}

/// The bounds on started items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartWindow {
    /// The slots of the service that runs the submission.
    pub slots: u64,
    /// The started items of all submissions.
    pub started_by_all: u64,
    /// The started items that fit into the memory of the process.
    pub most_started: u64,
}

impl StartWindow {
    /// How many more items of a submission may be started.
    pub fn free(&self, started: StartedItems) -> u64 {
        let window = MIN_WAITING.max(self.slots.saturating_mul(WAITING_PER_SLOT));
        // Texts that wait for their scores hold up the start of others, or they would pile up.
        if started.generated >= window {
            return 0;
        }
        let of_memory = self.most_started.saturating_sub(self.started_by_all);
        let of_share = MIN_SHARE.saturating_sub(started.count());
        let of_slots = window.saturating_sub(started.waiting);
        of_slots.min(of_memory.max(of_share))
    }
}
