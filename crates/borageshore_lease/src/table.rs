//! The table of sessions and shard owners, folded from the lease stream.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_log::{Envelope, Fold, WriterTable};
use serde::{Deserialize, Serialize};

/// How long a session without shards is kept after its last renewal, by the log's clock.
const IDLE_SESSION_RETENTION_MS: u64 = 600_000;

/// A request to own one shard, with the state that the claimant observed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The shard.
    pub shard: Arc<str>,
    /// The epoch that the claim replaces; 0 if the shard never had an owner.
    pub observed_epoch: u64,
    /// The offset of the owner's renewal that has expired; `None` if the shard had no owner.
    pub observed_renewal: Option<u64>,
}

/// A record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Extends a session, and with it the ownership of all its shards, by `ttl_ms`.
    Renew {
        /// The daemon incarnation.
        session: Arc<str>,
        /// The TTL, recorded so that holder and successors use the same one.
        ttl_ms: u64,
    },
    /// Claims shards; each claim is accepted or rejected separately.
    Claim {
        /// The daemon incarnation.
        session: Arc<str>,
        /// The shards.
        shards: Vec<ShardClaim>,
    },
    /// Releases all shards of a session at a graceful stop.
    End {
        /// The daemon incarnation.
        session: Arc<str>,
    },
    /// The state of the table before an offset.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        next_offset: u64,
        /// The state.
        snapshot: LeaseSnapshot,
    },
}

/// A daemon incarnation that holds or may claim shards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The offset of its last renewal.
    pub renewed_offset: u64,
    /// The TTL of the last renewal.
    pub ttl_ms: u64,
    /// When the last renewal was appended, by the log's clock.
    pub renewed_at_ms: u64,
}

/// A shard of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The session that owns it.
    pub owner: Option<Arc<str>>,
    /// The fencing token of the last accepted claim: its offset plus one.
    pub epoch: u64,
}

/// A snapshot is a copy of the whole table.
pub type LeaseSnapshot = LeaseTable;

/// All sessions and shards after the records applied so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    sessions: SortedMap<Arc<str>, Session>,
    shards: SortedMap<Arc<str>, Shard>,
    writers: WriterTable,
}

impl LeaseTable {
    /// The session of this name, unless it ended or expired.
    pub fn session(&self, session: &str) -> Option<&Session> {
        self.sessions.get(session)
    }

    /// The shard of this name, if it was ever claimed.
    pub fn shard(&self, shard: &str) -> Option<&Shard> {
        self.shards.get(shard)
    }

    /// All shards, ordered by name.
    pub fn shards(&self) -> impl Iterator<Item = (&Arc<str>, &Shard)> {
        self.shards.iter()
    }

    /// All sessions, ordered by name.
    pub fn sessions(&self) -> impl Iterator<Item = (&Arc<str>, &Session)> {
        self.sessions.iter()
    }

    /// Whether the session owns any shard.
    pub fn owns_any(&self, session: &str) -> bool {
        self.shards
            .values()
            .any(|shard| shard.owner.as_deref() == Some(session))
    }

    fn renew(&mut self, session: &Arc<str>, ttl_ms: u64, offset: u64, at_ms: u64) {
        let renewed = Session {
            renewed_offset: offset,
            ttl_ms,
            renewed_at_ms: at_ms,
        };
        if self.sessions.insert(session.clone(), renewed).is_none() {
            self.expire_idle_sessions(at_ms);
        }
    }

    fn expire_idle_sessions(&mut self, at_ms: u64) {
        let shards = &self.shards;
        self.sessions.retain(|name, session| {
            session.renewed_at_ms + IDLE_SESSION_RETENTION_MS >= at_ms
                || shards
                    .values()
                    .any(|shard| shard.owner.as_ref() == Some(name))
        });
    }

    /// Accepts a claim only if the shard's state is the one that the claimant observed.
    ///
    /// Guards against claims based on stale state: a newer renewal changes `renewed_offset`, and a
    /// concurrent claim changes the epoch. The log's order decides, so all daemons agree.
    fn claim(&mut self, session: &Arc<str>, claim: &ShardClaim, offset: u64) {
        if !self.sessions.contains_key(session) {
            return;
        }
        let epoch = self.shards.get(&claim.shard).map_or(0, |shard| shard.epoch);
        if epoch != claim.observed_epoch {
            return;
        }
        let owner = self
            .shards
            .get(&claim.shard)
            .and_then(|shard| shard.owner.as_ref());
        let owner_renewal = owner
            .and_then(|owner| self.sessions.get(owner))
            .map(|owner| owner.renewed_offset);
        if owner_renewal.is_some() && owner_renewal != claim.observed_renewal {
            return;
        }
        let shard = Shard {
            owner: Some(session.clone()),
            epoch: offset + 1,
        };
        self.shards.insert(claim.shard.clone(), shard);
    }

    fn end(&mut self, session: &Arc<str>) {
        self.sessions.remove(session);
        for (_, shard) in self.shards.iter_mut() {
            if shard.owner.as_ref() == Some(session) {
                shard.owner = None;
            }
        }
    }
}

impl Fold for LeaseTable {
    type Body = LeaseRecord;
    type Snapshot = LeaseSnapshot;

    fn apply(&mut self, offset: u64, at_ms: u64, envelope: &Envelope<LeaseRecord>) {
        if !self
            .writers
            .admit(&envelope.writer, envelope.sequence, at_ms)
        {
            return;
        }
        match &envelope.body {
            LeaseRecord::Renew { session, ttl_ms } => self.renew(session, *ttl_ms, offset, at_ms),
            LeaseRecord::Claim { session, shards } => {
                for claim in shards {
                    self.claim(session, claim, offset);
                }
            }
            LeaseRecord::End { session } => self.end(session),
            LeaseRecord::Snapshot { .. } => {}
        }
    }

    fn snapshot(&self) -> LeaseSnapshot {
        self.clone()
    }

    fn restore(&mut self, snapshot: LeaseSnapshot) {
        *self = snapshot;
    }

    fn embedded_snapshot(body: LeaseRecord) -> Option<(u64, LeaseSnapshot)> {
        match body {
            LeaseRecord::Snapshot {
                next_offset,
                snapshot,
            } => Some((next_offset, snapshot)),
            _ => None,
        }
    }
}
