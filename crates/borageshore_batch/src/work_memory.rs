//! The memory that accepted work holds, by kind, within one limit.
//!
//! The load: submissions as large as the platform allows, several at once, beside callers whose requests a process that
//! exceeds its memory would lose.

use std::{cell::Cell, rc::Rc};

/// The share of a process's memory that accepted work may hold, in percent. The rest is for callers and the process itself.
const WORK_PERCENT: u64 = 35;
/// The share for the bodies of items on their way to engines, in percent.
const SENDS_PERCENT: u64 = 8;

/// What accepted work holds memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// Submissions that are being accepted.
    Acceptance,
    /// The records of submissions that this daemon runs, or that are read here.
    Records,
    /// Bodies of items on their way to engines.
    Sends,
    /// Unfinished texts that are kept, or restored after a takeover.
    Texts,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Acceptance, Self::Records, Self::Sends, Self::Texts];

    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Acceptance => "acceptance",
            Self::Records => "records",
            Self::Sends => "sends",
            Self::Texts => "texts",
        }
    }
}

#[derive(Debug)]
struct State {
    limit_bytes: u64,
    sends_limit_bytes: u64,
    held_bytes: [Cell<u64>; HeldKind::ALL.len()],
    /// What submissions need that are accepted and wait for memory; new ones leave it free.
    wanted_bytes: Cell<u64>,
    refused: Cell<u64>,
}

/// The memory of accepted work; shared by its clones.
#[derive(Debug, Clone)]
pub struct WorkMemory {
    state: Rc<State>,
}

impl WorkMemory {
    /// The memory of a process that may use `memory_mb`.
    pub fn of_process(memory_mb: u64) -> Self {
        let share = |percent: u64| memory_mb * 1024 * 1024 / 100 * percent;
        Self::within(share(WORK_PERCENT), share(SENDS_PERCENT))
    }

    /// Memory of a size, of which `sends_limit_bytes` are for bodies on their way to engines.
    pub fn within(limit_bytes: u64, sends_limit_bytes: u64) -> Self {
        Self {
            state: Rc::new(State {
                limit_bytes,
                sends_limit_bytes,
                held_bytes: Default::default(),
                wanted_bytes: Cell::default(),
                refused: Cell::default(),
            }),
        }
    }

    /// What accepted work may hold.
    pub fn limit_bytes(&self) -> u64 {
        self.state.limit_bytes
    }

    /// What work of a kind holds now.
    pub fn held_bytes(&self, kind: HeldKind) -> u64 {
        self.state.held(kind).get()
    }

    /// What all work holds now.
    pub fn total_bytes(&self) -> u64 {
        self.state.held_bytes.iter().map(Cell::get).sum()
    }

    /// How often memory was refused.
    pub fn refused(&self) -> u64 {
        self.state.refused.get()
    }

    /// Sets what submissions need that are accepted and wait for memory.
    pub fn set_wanted(&self, bytes: u64) {
        self.state.wanted_bytes.set(bytes);
    }

    /// Holds memory if there is room for it.
    pub fn try_hold(&self, kind: HeldKind, bytes: u64) -> Option<WorkHold> {
        let mut hold = self.hold(kind, 0);
        hold.try_set(bytes).then_some(hold)
    }

    /// Holds memory whether there is room for it or not, for what has been received already.
    pub fn hold(&self, kind: HeldKind, bytes: u64) -> WorkHold {
        let mut hold = WorkHold {
            state: self.state.clone(),
            kind,
            bytes: 0,
        };
        hold.set(bytes);
        hold
    }
}

impl State {
    fn held(&self, kind: HeldKind) -> &Cell<u64> {
        &self.held_bytes[kind as usize]
    }

    /// Whether work of a kind may hold that many bytes more.
    fn has_room(&self, kind: HeldKind, more_bytes: u64) -> bool {
        let total_bytes: u64 = self.held_bytes.iter().map(Cell::get).sum();
        match kind {
            HeldKind::Sends => {
                let sends_bytes = self.held(kind).get();
                // The largest item could not be sent otherwise.
                sends_bytes == 0 || sends_bytes + more_bytes <= self.sends_limit_bytes
            }
            HeldKind::Acceptance => {
                total_bytes + more_bytes + self.wanted_bytes.get() <= self.limit_bytes
            }
            HeldKind::Records | HeldKind::Texts => total_bytes + more_bytes <= self.limit_bytes,
        }
    }
}

/// Memory that is held until it is dropped.
#[derive(Debug)]
pub struct WorkHold {
    state: Rc<State>,
    kind: HeldKind,
    bytes: u64,
}

impl WorkHold {
    /// What it holds.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Holds this much from now on if there is room for it; returns whether there is.
    pub fn try_set(&mut self, bytes: u64) -> bool {
        let more_bytes = bytes.saturating_sub(self.bytes);
        let is_held = more_bytes == 0 || self.state.has_room(self.kind, more_bytes);
        if is_held {
            self.set(bytes);
        } else {
            self.state.refused.set(self.state.refused.get() + 1);
        }
        is_held
    }

    /// Holds this much from now on.
    pub fn set(&mut self, bytes: u64) {
        let held = self.state.held(self.kind);
        held.set(held.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for WorkHold {
    fn drop(&mut self) {
        self.set(0);
    }
}
