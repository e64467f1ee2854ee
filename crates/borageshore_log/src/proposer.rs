//! The writer: one append in flight; an unknown outcome is resolved by reading the log.

use std::{collections::VecDeque, sync::Arc};

use serde::Serialize;

use crate::envelope::Envelope;

/// The maximum backoff between two attempts, without jitter.
const MAX_BACKOFF_MS: u64 = 5_000;
/// The backoff after the first failed attempt, without jitter.
const INITIAL_BACKOFF_MS: u64 = 100;

/// A record that is not known to be in the log yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The writer's sequence number.
    pub sequence: u64,
    /// The encoded envelope.
    pub data: String,
}

/// The next action for the code that drives a [`Proposer`].
#[derive(Debug, PartialEq, Eq)]
pub enum ProposerAction {
    /// Wait for the next event.
    Idle,
    /// Poll again at this time in ms.
    WaitUntil(u64),
    /// Append these records in one call.
    Append(Vec<String>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    InFlight,
    /// The append's response was lost. `end_offset` is the first end of the log seen after that; once
    /// the log is read up to it, records that were not found are appended again.
    AwaitingOutcome {
        end_offset: Option<u64>,
    },
    Backoff {
        until_ms: u64,
    },
}

/// Appends records to a stream in order, each with exactly one effect.
///
/// An append whose response is lost may have taken effect. The log is read to its end before the
/// append is retried; the retry has the same sequence number, so that [`WriterTable`] drops it if the
/// first copy arrives after all.
///
/// [`WriterTable`]: crate::WriterTable
#[derive(Debug)]
pub struct Proposer {
    writer: Arc<str>,
    next_sequence: u64,
    queue: VecDeque<Proposal>,
    in_flight: usize,
    phase: Phase,
    failures: u32,
    batch_limit: usize,
}

impl Proposer {
    /// Creates a proposer for a writer that has appended nothing to this stream yet.
    pub fn open(writer: Arc<str>, batch_limit: usize) -> Self {
        Self {
            writer,
            next_sequence: 1,
            queue: VecDeque::new(),
            in_flight: 0,
            phase: Phase::Ready,
            failures: 0,
            batch_limit,
        }
    }

    /// Queues a record and returns its sequence number.
    pub fn propose<Body>(&mut self, body: Body) -> u64
    where
        Body: Serialize,
    {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let envelope = Envelope {
            writer: self.writer.clone(),
            sequence,
            body,
        };
        let data = serde_json::to_string(&envelope).expect("records serialize to JSON");
        self.queue.push_back(Proposal { sequence, data });
        sequence
    }

    /// Returns the next action at `now_ms`; an `Append` is in flight from then on.
    pub fn poll(&mut self, now_ms: u64) -> ProposerAction {
        match self.phase {
            Phase::InFlight | Phase::AwaitingOutcome { .. } => return ProposerAction::Idle,
            Phase::Backoff { until_ms } if now_ms < until_ms => {
                return ProposerAction::WaitUntil(until_ms);
            }
            Phase::Backoff { .. } | Phase::Ready => {}
        }
        if self.queue.is_empty() {
            self.phase = Phase::Ready;
            return ProposerAction::Idle;
        }
        self.in_flight = self.queue.len().min(self.batch_limit);
        self.phase = Phase::InFlight;
        let batch = self
            .queue
            .iter()
            .take(self.in_flight)
            .map(|p| p.data.clone())
            .collect();
        ProposerAction::Append(batch)
    }

    /// Handles an acknowledged append.
    pub fn on_acknowledged(&mut self) {
        if self.phase != Phase::InFlight {
            return;
        }
        self.queue.drain(..self.in_flight);
        self.finish_attempt();
    }

    /// Handles an append that the log refused without effect.
    pub fn on_refused(&mut self, now_ms: u64, jitter_percent: u64) {
        if self.phase == Phase::InFlight {
            self.back_off(now_ms, jitter_percent);
        }
    }

    /// Handles an append with an unknown outcome.
    pub fn on_unknown(&mut self) {
        if self.phase == Phase::InFlight {
            self.phase = Phase::AwaitingOutcome { end_offset: None };
        }
    }

    /// Handles a record of this writer that the follower read.
    pub fn on_seen(&mut self, sequence: u64) {
        let settled = self
            .queue
            .iter()
            .take_while(|p| p.sequence <= sequence)
            .count();
        if settled == 0 {
            return;
        }
        self.queue.drain(..settled);
        self.in_flight = self.in_flight.saturating_sub(settled);
        if self.in_flight == 0 && matches!(self.phase, Phase::AwaitingOutcome { .. }) {
            self.finish_attempt();
        }
    }

    /// Handles progress of the follower: records below `applied_offset` are applied, the log ends at
    /// `end_offset`.
    pub fn on_progress(
        &mut self,
        applied_offset: u64,
        end_offset: u64,
        now_ms: u64,
        jitter_percent: u64,
    ) {
        let Phase::AwaitingOutcome { end_offset: target } = self.phase else {
            return;
        };
        let target = target.unwrap_or(end_offset);
        if applied_offset >= target {
            self.back_off(now_ms, jitter_percent);
        } else {
            self.phase = Phase::AwaitingOutcome {
                end_offset: Some(target),
            };
        }
    }

    /// Returns the number of records that are not known to be in the log.
    pub fn pending(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the record with this sequence number is not known to be in the log.
    pub fn is_pending(&self, sequence: u64) -> bool {
        self.queue
            .iter()
            .any(|proposal| proposal.sequence == sequence)
    }

    fn finish_attempt(&mut self) {
        self.in_flight = 0;
        self.failures = 0;
        self.phase = Phase::Ready;
    }

    fn back_off(&mut self, now_ms: u64, jitter_percent: u64) {
        let exponential_ms = INITIAL_BACKOFF_MS << self.failures.min(10);
        let pause_ms = exponential_ms.min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.in_flight = 0;
        let jitter_ms = pause_ms * jitter_percent.min(100) / 100;
        self.phase = Phase::Backoff {
            until_ms: now_ms + pause_ms + jitter_ms,
        };
    }
}
