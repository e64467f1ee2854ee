//! All attempts of one request, some of them under way at the same time.

use std::sync::Arc;

use crate::attempt::{Attempt, AttemptEvent, Idempotent, Outcome};

/// The attempts of one request, by the endpoints they went to.
#[derive(Debug, Default)]
pub struct RequestAttempts {
    tried: Vec<Arc<str>>,
    attempts: Vec<Attempt>,
}

impl RequestAttempts {
    /// Notes an attempt whose bytes may leave from now on; returns its number.
    pub fn hand_over(&mut self, endpoint: Arc<str>) -> usize {
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

    /// Notes how an attempt ended.
    pub fn on_event(&mut self, number: usize, event: AttemptEvent) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.on_event(event);
        }
    }

    /// The endpoints that were tried, in order.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// What may truthfully be told of the request if nothing more happens: an attempt that is still
    /// under way may have run, whatever came of the others.
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

    /// Says whether another attempt may be made.
    pub fn may_try(&self, idempotent: Idempotent, max_attempts: u64) -> bool {
        let is_allowed = idempotent == Idempotent::Yes || self.outcome() == Outcome::NotRun;
        is_allowed && (self.tried.len() as u64) < max_attempts
    }
}
