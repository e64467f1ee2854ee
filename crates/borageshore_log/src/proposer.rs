//! The writer's side: one append in flight, lost answers settled by reading on.

use std::{collections::VecDeque, sync::Arc};

use serde::Serialize;

use crate::envelope::Envelope;

/// The longest pause between two attempts.
const MAX_BACKOFF_MS: u64 = 5_000;
/// The pause after the first failed attempt.
const INITIAL_BACKOFF_MS: u64 = 100;

/// A record waiting for its place in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Its sequence in this writer's stream.
    pub sequence: u64,
    /// The encoded envelope.
    pub data: String,
}

/// What the shell must do next for a [`Proposer`].
#[derive(Debug, PartialEq, Eq)]
pub enum ProposerAction {
    /// Nothing until the state changes.
    Idle,
    /// Wait and ask again.
    WaitUntil(u64),
    /// Append these records in one call.
    Append(Vec<String>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    InFlight,
    /// The answer was lost. `end_offset` is the end of the log seen after that, once it is known:
    /// having read so far, the writer has either seen its record or may repeat it.
    AwaitingOutcome {
        end_offset: Option<u64>,
    },
    Backoff {
        until_ms: u64,
    },
}

/// Puts records into one stream in order, each with exactly one effect.
///
/// Guards against an append whose answer is lost after it took effect. It shows as a time-out; the
/// proposer reads on to the end of the log before it repeats the append, and repeats it under the
/// same sequence, which the fold ignores if the first copy arrives after all.
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
    /// Opens a proposer for a writer that has appended nothing to this stream yet.
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

    /// Queues a record and returns its sequence.
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
        let data = serde_json::to_string(&envelope).expect("records are plain data");
        self.queue.push_back(Proposal { sequence, data });
        sequence
    }

    /// Says what to do at `now_ms`.
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

    /// The append was acknowledged.
    pub fn on_acknowledged(&mut self) {
        if self.phase != Phase::InFlight {
            return;
        }
        self.queue.drain(..self.in_flight);
        self.finish_attempt();
    }

    /// The log refused the append, so it had no effect.
    pub fn on_refused(&mut self, now_ms: u64, jitter_percent: u64) {
        if self.phase == Phase::InFlight {
            self.back_off(now_ms, jitter_percent);
        }
    }

    /// The answer did not come.
    pub fn on_lost_answer(&mut self) {
        if self.phase == Phase::InFlight {
            self.phase = Phase::AwaitingOutcome { end_offset: None };
        }
    }

    /// The follower read a record of this writer.
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

    /// The follower has folded everything below `applied_offset` of a log that ends at `end_offset`.
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

    /// The number of records without a known place.
    pub fn pending(&self) -> usize {
        self.queue.len()
    }

    /// Says whether the record with this sequence still has no known place.
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
