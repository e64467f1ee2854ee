//! Admission control: which requests of a service start, wait or are refused.

use std::sync::Arc;

/// Identifies a request within one [`Admission`].
pub type TicketId = u64;

/// The kind of work that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// A caller is waiting for the answer.
    Live,
    /// It generates a sample for a trainer.
    Training,
}

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The identifier of the request.
    pub id: TicketId,
    /// The settings node it runs under.
    pub node: Arc<str>,
    /// The priority: higher values start first.
    pub importance: u64,
    /// The kind of work.
    pub workload: Workload,
    /// The time from which it must not be started any more.
    pub deadline_ms: u64,
}

/// The limits of an [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Slots that this daemon may occupy.
    pub slots: u64,
    /// How many of them are reserved for training.
    pub training_slots: u64,
    /// How many requests of one settings node may wait.
    pub queue_limit_requests: u64,
}

/// The answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may start now.
    Start,
    /// It waits until [`Admission::start_next`] returns it.
    Queued,
    /// The queue of its node is full.
    Refused {
        /// The estimated time until the queue has room.
        retry_after_ms: u64,
    },
}

/// Slots and queues of one service in one daemon.
///
/// Live requests start in strict order of importance and do not wait for running samples: engines honour
/// priorities, so a live request is served before a sample. Training gets the slots that live requests leave,
/// but never fewer than its reserved ones, so that live traffic cannot starve a trainer.
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
    /// Creates an admission without running or waiting requests.
    pub fn open(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            live_running: 0,
            training_running: 0,
            waiting: Vec::new(),
            mean_service_ms: 100,
        }
    }

    /// Replaces the limits; running requests are not affected.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Requests a slot.
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

    /// Releases the slot of a request that ran for `service_ms`.
    pub fn finish(&mut self, workload: Workload, service_ms: u64) {
        let running = self.running_mut(workload);
        *running = running.saturating_sub(1);
        if workload == Workload::Live {
            self.mean_service_ms = (self.mean_service_ms * 7 + service_ms) / 8;
        }
    }

    /// Removes a waiting request, for example because its caller disconnected; returns whether it was waiting.
    pub fn cancel(&mut self, id: TicketId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.id != id);
        self.waiting.len() < before
    }

    /// Removes and returns the waiting requests whose deadline has passed.
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

    /// Estimates how long the requests ahead and a new one take.
    fn retry_after_ms(&self, ahead: u64) -> u64 {
        self.mean_service_ms * (ahead + 1) / self.limits.slots.max(1)
    }
}
