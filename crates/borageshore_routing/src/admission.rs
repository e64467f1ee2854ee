//! Which waiting request of a service starts next, and which is refused.

use std::sync::Arc;

/// Names a request within one [`Admission`].
pub type TicketId = u64;

/// Whose work a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// A caller waits for it.
    Live,
    /// It makes a sample for a trainer.
    Training,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Its name.
    pub id: TicketId,
    /// The settings node it runs under.
    pub node: Arc<str>,
    /// Higher goes first.
    pub importance: u64,
    /// Whose work it is.
    pub workload: Workload,
    /// When it is no longer worth starting.
    pub deadline_ms: u64,
}

/// The limits in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Slots that this daemon may fill.
    pub slots: u64,
    /// Slots of these that live requests leave to training.
    pub training_slots: u64,
    /// How many requests of one node may wait.
    pub queue_limit_requests: u64,
}

/// The answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now.
    Start,
    /// It waits; `Admission::start_next` names it later.
    Queued,
    /// The queue of its node is full. It may come back after this time.
    Refused {
        /// When a place is likely to be free.
        retry_after_ms: u64,
    },
}

/// Slots and queues of one service in one daemon.
///
/// Live requests start in strict order of importance and do not wait for running samples: engines
/// honour priorities, so a live request beside a sample is served first. Training gets what live
/// requests leave, and never less than its minimum, so that a trainer cannot starve.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    live_running: u64,
    training_running: u64,
    /// Sorted: the next to start first.
    waiting: Vec<Ticket>,
    mean_service_ms: u64,
}

impl Admission {
    /// Opens an empty admission.
    pub fn open(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            live_running: 0,
            training_running: 0,
            waiting: Vec::new(),
            mean_service_ms: 100,
        }
    }

    /// Follows a change of limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Asks for a slot.
    pub fn offer(&mut self, ticket: Ticket) -> AdmissionDecision {
        let is_preceded = self.waiting.iter().any(|waiting| {
            waiting.workload == ticket.workload && waiting.importance >= ticket.importance
        });
        if !is_preceded && self.has_slot(ticket.workload) {
            self.take_slot(ticket.workload);
            return AdmissionDecision::Start;
        }
        let ahead = self
            .waiting
            .iter()
            .filter(|waiting| waiting.node == ticket.node)
            .count() as u64;
        if ahead >= self.limits.queue_limit_requests {
            return AdmissionDecision::Refused {
                retry_after_ms: self.retry_after_ms(ahead),
            };
        }
        let index = self
            .waiting
            .partition_point(|waiting| waiting.importance >= ticket.importance);
        self.waiting.insert(index, ticket);
        AdmissionDecision::Queued
    }

    /// Starts the next waiting request for which there is a slot.
    pub fn start_next(&mut self) -> Option<Ticket> {
        let index = self
            .waiting
            .iter()
            .position(|waiting| self.has_slot(waiting.workload))?;
        let ticket = self.waiting.remove(index);
        self.take_slot(ticket.workload);
        Some(ticket)
    }

    /// Gives a slot back after `service_ms`.
    pub fn finish(&mut self, workload: Workload, service_ms: u64) {
        let running = self.running_mut(workload);
        *running = running.saturating_sub(1);
        if workload == Workload::Live {
            self.mean_service_ms = (self.mean_service_ms * 7 + service_ms) / 8;
        }
    }

    /// Takes back a waiting request, for instance because its caller went away.
    pub fn cancel(&mut self, id: TicketId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.id != id);
        self.waiting.len() < before
    }

    /// Removes the waiting requests whose deadline has come.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Ticket> {
        self.waiting
            .extract_if(.., |waiting| now_ms >= waiting.deadline_ms)
            .collect()
    }

    /// The number of running requests of a workload.
    pub fn running(&self, workload: Workload) -> u64 {
        match workload {
            Workload::Live => self.live_running,
            Workload::Training => self.training_running,
        }
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_slot(&self, workload: Workload) -> bool {
        let AdmissionLimits {
            slots,
            training_slots,
            ..
        } = self.limits;
        match workload {
            Workload::Live => self.live_running < slots.saturating_sub(training_slots).max(1),
            Workload::Training => {
                let left_over = slots.saturating_sub(self.live_running);
                self.training_running < left_over.max(training_slots)
            }
        }
    }

    fn take_slot(&mut self, workload: Workload) {
        *self.running_mut(workload) += 1;
    }

    fn running_mut(&mut self, workload: Workload) -> &mut u64 {
        match workload {
            Workload::Live => &mut self.live_running,
            Workload::Training => &mut self.training_running,
        }
    }

    /// The time that the requests ahead are likely to take.
    fn retry_after_ms(&self, ahead: u64) -> u64 {
        self.mean_service_ms * (ahead + 1) / self.limits.slots.max(1)
    }
}
