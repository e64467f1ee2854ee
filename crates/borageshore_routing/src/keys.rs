//! At-most-once execution by request keys, without a stored record for each request.
//!
//! A request key starts with a prefix that names a daemon incarnation and the time slot in which it issued
//! the prefix. Only that incarnation runs the key, and it remembers the key in memory. Once it is gone,
//! whether the key ran is unknown.

use std::{fmt, sync::Arc};

use borageshore_base::{ResultCode, SortedMap};

/// The length of a prefix's time slot.
const SLOT_MS: u64 = 10_000;

/// The prefix of a request key: `<daemon>.<incarnation>.<slot>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyPrefix {
    /// The daemon that issued it.
    pub daemon: Arc<str>,
    /// The incarnation of that daemon.
    pub incarnation: u64,
    /// The time slot, on the clock of that incarnation.
    pub slot: u64,
}

impl KeyPrefix {
    /// Parses the prefix of a key of the form `<daemon>.<incarnation>.<slot>.<caller's part>`.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.rsplitn(4, '.');
        let caller_part = parts.next()?;
        let slot = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let daemon = parts.next()?;
        let is_complete = !caller_part.is_empty() && !daemon.is_empty();
        is_complete.then(|| Self {
            daemon: daemon.into(),
            incarnation,
            slot,
        })
    }
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.daemon, self.incarnation, self.slot)
    }
}

/// The answer kept for a key that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The result code.
    pub code: ResultCode,
    /// The HTTP status of the endpoint or of the result code.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Vec<u8>,
    /// Details of a failure.
    pub detail: String,
}

/// What to do with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run it: it is new and has been added to the table.
    Run,
    /// It is running; wait for its answer.
    Wait,
    /// It ran; return the stored answer.
    Replay(StoredAnswer),
    /// It must not run here; the code is the reason.
    Refuse(ResultCode),
}

#[derive(Debug)]
struct KeyEntry {
    slot: u64,
    answer: Option<StoredAnswer>,
}

/// The keys of one daemon incarnation.
///
/// Guards against running a non-idempotent request twice. A repeat within the window finds its key. A later
/// one has an expired slot and is refused, as it may have run. A full table refuses new keys
/// instead of evicting old ones.
#[derive(Debug)]
pub struct KeyTable {
    daemon: Arc<str>,
    incarnation: u64,
    window_ms: u64,
    max_bytes: usize,
    bytes: usize,
    /// Keys of slots below this have expired and are refused, even if the window grows later.
    expired_below: u64,
    entries: SortedMap<Arc<str>, KeyEntry>,
}

impl KeyTable {
    /// Creates an empty table for an incarnation.
    pub fn open(daemon: Arc<str>, incarnation: u64, window_ms: u64, max_bytes: usize) -> Self {
        Self {
            daemon,
            incarnation,
            window_ms,
            max_bytes,
            bytes: 0,
            expired_below: 0,
            entries: SortedMap::default(),
        }
    }

    /// Changes the time that keys are remembered.
    pub fn set_window_ms(&mut self, window_ms: u64) {
        self.window_ms = window_ms;
    }

    /// The prefix to issue at `now_ms` on the clock of the incarnation.
    pub fn prefix(&self, now_ms: u64) -> KeyPrefix {
        KeyPrefix {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            slot: now_ms / SLOT_MS,
        }
    }

    /// Returns whether this incarnation issued a prefix.
    pub fn owns(&self, prefix: &KeyPrefix) -> bool {
        prefix.daemon == self.daemon && prefix.incarnation == self.incarnation
    }

    /// Decides what to do with a key that this incarnation owns.
    pub fn decide(&mut self, key: &str, prefix: &KeyPrefix, now_ms: u64) -> KeyDecision {
        match self.entries.get(key) {
            Some(KeyEntry {
                answer: Some(answer),
                ..
            }) => {
                return KeyDecision::Replay(answer.clone());
            }
            Some(KeyEntry { answer: None, .. }) => return KeyDecision::Wait,
            None => {}
        }
        self.expire_old_slots(now_ms);
        let is_future = prefix.slot > now_ms / SLOT_MS;
        if prefix.slot < self.expired_below || is_future {
            return KeyDecision::Refuse(ResultCode::KeyExpired);
        }
        if self.bytes + key.len() > self.max_bytes {
            return KeyDecision::Refuse(ResultCode::KeyMemoryFull);
        }
        self.bytes += key.len();
        self.entries.insert(
            key.into(),
            KeyEntry {
                slot: prefix.slot,
                answer: None,
            },
        );
        KeyDecision::Run
    }

    /// Stores the answer of a key that ran or may have run.
    pub fn on_answer(&mut self, key: &str, answer: StoredAnswer) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.bytes += answer.body.len();
            entry.answer = Some(answer);
        }
    }

    /// Removes a key that certainly did not run, so that the caller may repeat it.
    pub fn on_not_run(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.bytes = self.bytes.saturating_sub(key.len());
        }
    }

    /// The number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire_old_slots(&mut self, now_ms: u64) {
        let oldest_slot = now_ms.saturating_sub(self.window_ms) / SLOT_MS;
        if oldest_slot <= self.expired_below {
            return;
        }
        self.expired_below = oldest_slot;
        let mut freed = 0;
        self.entries.retain(|key, entry| {
            let keep = entry.slot >= oldest_slot || entry.answer.is_none();
            if !keep {
                freed += key.len() + entry.answer.as_ref().map_or(0, |answer| answer.body.len());
            }
            keep
        });
        self.bytes = self.bytes.saturating_sub(freed);
    }
}
