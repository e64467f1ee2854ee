//! Attempts that were given up in silence, until it shows whether their endpoints ended.

use std::sync::Arc;

use crate::fingerprint::Fingerprint;

/// An endpoint that ends under an attempt is missed this long after it at the most: its entry lapses after three
/// heartbeats of 1.2 s, and it may have run for a route's usual timeout of 2 s before it ended.
const REMEMBERED_MS: u64 = 6_000;
/// Attempts that are remembered; an overloaded service loses more, of which the newest tell most.
const MOST_REMEMBERED: usize = 256;

#[derive(Debug)]
struct SilentLoss {
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
pub struct SilentLosses {
    losses: Vec<SilentLoss>,
}

impl SilentLosses {
    /// Notes an attempt that was given up.
    pub fn push(&mut self, content: Fingerprint, instance: &Arc<str>, is_trial: bool, now_ms: u64) {
        self.losses
            .retain(|loss| now_ms < loss.at_ms + REMEMBERED_MS);
        if self.losses.len() >= MOST_REMEMBERED {
            self.losses.remove(0);
        }
        self.losses.push(SilentLoss {
            content,
            instance: instance.clone(),
            is_trial,
            at_ms: now_ms,
        });
    }

    /// The requests, and whether they were on trial, that an endpoint had not long before it ended.
    pub fn on_ended(&mut self, instance: &str, now_ms: u64) -> Vec<(Fingerprint, bool)> {
        let is_its = |loss: &mut SilentLoss| &*loss.instance == instance;
        let ended = self.losses.extract_if(.., is_its);
        ended
            .filter(|loss| now_ms < loss.at_ms + REMEMBERED_MS)
            .map(|loss| (loss.content, loss.is_trial))
            .collect()
    }
}
