//! The attempts of one request, which may run concurrently.

use std::sync::Arc;

use crate::attempt::{Attempt, AttemptEvent, Idempotent, Outcome};

/// The attempts of one request with the endpoints that they were sent to.
#[derive(Debug, Default)]
pub struct RequestAttempts {
    tried: Vec<Arc<str>>,
    attempts: Vec<Attempt>,
}

impl RequestAttempts {
    /// Adds an attempt that is about to be sent; returns its number.
    pub fn add_sent(&mut self, endpoint: Arc<str>) -> usize {
        let mut attempt = Attempt::open();
        for event in [
            AttemptEvent::Start,
            AttemptEvent::Connected,
            AttemptEvent::Sent,
        ] {
            attempt.on_event(event);
        }
        self.tried.push(endpoint);
        self.attempts.push(attempt);
        self.attempts.len() - 1
    }

    /// Applies an event to an attempt.
    pub fn on_event(&mut self, number: usize, event: AttemptEvent) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.on_event(event);
        }
    }

    /// The endpoints of all attempts, in order.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// The outcome of the request if no further event arrives. An unfinished attempt may have run.
    pub fn outcome(&self) -> Outcome {
        let mut outcomes = self.attempts.iter().map(Attempt::outcome);
        if outcomes.clone().any(|outcome| outcome == Outcome::Done) {
            Outcome::Done
        } else if outcomes.any(|outcome| outcome == Outcome::Unknown) {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns whether another attempt may be made.
    pub fn may_try(&self, idempotent: Idempotent, max_attempts: u64) -> bool {
        let is_allowed = idempotent == Idempotent::Yes || self.outcome() == Outcome::NotRun;
        is_allowed && (self.tried.len() as u64) < max_attempts
    }
}
