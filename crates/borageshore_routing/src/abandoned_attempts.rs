//! Attempts that were abandoned without an answer, kept until it is known whether their endpoints crashed.

use std::sync::Arc;

use crate::fingerprint::Fingerprint;

/// How long an attempt is kept. Covers the 3.6 s (three heartbeats) until the entry of a crashed endpoint
/// expires, and the usual route timeout of 2 s for which the request may run before the crash.
const RETENTION_MS: u64 = 6_000;
/// Capacity; the oldest attempts are dropped first.
const MAX_ATTEMPTS: usize = 256;

#[derive(Debug)]
struct AbandonedAttempt {
    content: Fingerprint,
    instance: Arc<str>,
    is_trial: bool,
    at_ms: u64,
}

/// The attempts that a daemon abandoned recently without an answer.
///
/// Guards against a request that crashes its endpoint only after its caller's timeout: its connection is
/// closed by then, so the crash breaks no open attempt.
#[derive(Debug, Default)]
pub struct AbandonedAttempts {
    attempts: Vec<AbandonedAttempt>,
}

impl AbandonedAttempts {
    /// Adds an attempt.
    pub fn push(&mut self, content: Fingerprint, instance: &Arc<str>, is_trial: bool, now_ms: u64) {
        self.attempts
            .retain(|attempt| now_ms < attempt.at_ms + RETENTION_MS);
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(AbandonedAttempt {
            content,
            instance: instance.clone(),
            is_trial,
            at_ms: now_ms,
        });
    }

    /// Removes and returns the requests whose attempts at an endpoint were abandoned shortly before it ended, each with
    /// whether it was a trial.
    pub fn on_endpoint_ended(&mut self, instance: &str, now_ms: u64) -> Vec<(Fingerprint, bool)> {
        let is_of_instance = |attempt: &mut AbandonedAttempt| &*attempt.instance == instance;
        let ended = self.attempts.extract_if(.., is_of_instance);
        ended
            .filter(|attempt| now_ms < attempt.at_ms + RETENTION_MS)
            .map(|attempt| (attempt.content, attempt.is_trial))
            .collect()
    }
}
