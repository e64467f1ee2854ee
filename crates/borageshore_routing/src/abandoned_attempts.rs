//! Attempts that were given up in silence, until it shows whether their endpoints ended.

use std::sync::Arc;

use crate::fingerprint::Fingerprint;

/// An endpoint that ends under an attempt is missed this long after it at the most: its entry lapses after three
/// heartbeats of 1.2 s, and it may have run for a route's usual timeout of 2 s before it ended.
const RETENTION_MS: u64 = 6_000;
/// Attempts that are remembered; an overloaded service loses more, of which the newest tell most.
const MAX_ATTEMPTS: usize = 256;

#[derive(Debug)]
struct AbandonedAttempt {
    content: Fingerprint,
    instance: Arc<str>,
    is_trial: bool,
    at_ms: u64,
}

/// The attempts that a daemon gave up without an answer, not long ago.
///
/// Guards against a request that runs for longer than its caller waits before its endpoint crashes: the connection is
/// closed by then, and 17 endpoints of six crashed in 24 s without one attempt that was seen to be broken off.
#[derive(Debug, Default)]
pub struct AbandonedAttempts {
    attempts: Vec<AbandonedAttempt>,
}

impl AbandonedAttempts {
    /// Notes an attempt that was given up.
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

    /// The requests, and whether they were on trial, that an endpoint had not long before it ended.
    pub fn on_endpoint_ended(&mut self, instance: &str, now_ms: u64) -> Vec<(Fingerprint, bool)> {
        let is_of_instance = |attempt: &mut AbandonedAttempt| &*attempt.instance == instance;
        let ended = self.attempts.extract_if(.., is_of_instance);
        ended
            .filter(|attempt| now_ms < attempt.at_ms + RETENTION_MS)
            .map(|attempt| (attempt.content, attempt.is_trial))
            .collect()
    }
}
