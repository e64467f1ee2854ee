//! The memory that accepted work holds, by kind, within one limit.
//!
//! The load: submissions as large as the platform allows, several at once, beside callers whose requests a process that
//! exceeds its memory would lose.

use std::{cell::Cell, rc::Rc};

/// The share of a process's memory that accepted work may hold, in percent. The rest is for callers and the process itself.
const WORK_PERCENT: u64 = 33;
/// The share for the bodies of items on their way to engines, in percent.
const SENDS_PERCENT: u64 = 8;

/// The share for submissions that are being accepted whatever accepted ones hold, in percent: those that wait to run must
/// not keep small ones from being accepted.
const ACCEPTANCE_PERCENT: u64 = 4;

/// The share above which no items start, in percent. Results of items that run are stored already and are held whether
/// there is room or not.
const RESULTS_PERCENT: u64 = 50;

/// What accepted work holds memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// Submissions that are being accepted.
    Acceptance,
    /// The records of submissions that this daemon runs, or that are read here.
    Records,
    /// The items that each submission that runs here may start in any case.
    Started,
    /// Bodies of items on their way to engines.
    Sends,
    /// Unfinished texts that are kept, or restored after a takeover.
    Texts,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Acceptance,
        Self::Records,
        Self::Started,
        Self::Sends,
        Self::Texts,
    ];

    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Acceptance => "acceptance",
            Self::Records => "records",
            Self::Started => "started",
            Self::Sends => "sends",
            Self::Texts => "texts",
        }
    }
}

/// Limits on the memory of accepted work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkLimits {
    /// What all of it may hold.
    pub total_bytes: u64,
    /// What bodies on their way to engines may hold, but for one that is larger by itself.
    pub sends_bytes: u64,
    /// What acceptances may hold in any case.
    pub acceptance_bytes: u64,
    /// What it may hold with the results of items that run before no other items start.
    pub with_results_bytes: u64,
}

impl WorkLimits {
    /// The limits of a process that may use `memory_mb`.
    pub fn of_process(memory_mb: u64) -> Self {
        let share = |percent: u64| memory_mb * 1024 * 1024 / 100 * percent;
        Self {
            total_bytes: share(WORK_PERCENT),
            sends_bytes: share(SENDS_PERCENT),
            acceptance_bytes: share(ACCEPTANCE_PERCENT),
            with_results_bytes: share(RESULTS_PERCENT),
        }
    }
}

#[derive(Debug)]
struct State {
    limits: WorkLimits,
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
    /// Memory within limits.
    pub fn within(limits: WorkLimits) -> Self {
        Self {
            state: Rc::new(State {
                limits,
                held_bytes: Default::default(),
                wanted_bytes: Cell::default(),
                refused: Cell::default(),
            }),
        }
    }

    /// What accepted work may hold.
    pub fn limit_bytes(&self) -> u64 {
        self.state.limits.total_bytes
    }

    /// What work of a kind holds now.
    pub fn held_bytes(&self, kind: HeldKind) -> u64 {
        self.state.held(kind).get()
    }

    /// What all work holds now.
    pub fn total_bytes(&self) -> u64 {
        self.state.held_bytes.iter().map(Cell::get).sum()
    }

    /// Whether results have grown so much that no other items should start.
    pub fn is_exceeded(&self) -> bool {
        self.total_bytes() > self.state.limits.with_results_bytes
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
        let limits = &self.limits;
        let kind_bytes = self.held(kind).get() + more_bytes;
        let total_bytes = self.held_bytes.iter().map(Cell::get).sum::<u64>() + more_bytes;
        match kind {
            // The largest item could not be sent otherwise.
            HeldKind::Sends => kind_bytes == more_bytes || kind_bytes <= limits.sends_bytes,
            HeldKind::Acceptance => {
                kind_bytes <= limits.acceptance_bytes
                    || total_bytes + self.wanted_bytes.get() <= limits.total_bytes
            }
            HeldKind::Records | HeldKind::Started | HeldKind::Texts => {
                total_bytes <= limits.total_bytes
            }
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
