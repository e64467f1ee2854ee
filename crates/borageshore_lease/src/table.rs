//! The fold of the lease stream.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_log::{Envelope, Fold, WriterTable};
use serde::{Deserialize, Serialize};

/// How long a session without shards is remembered, by the log's clock.
const IDLE_SESSION_RETENTION_MS: u64 = 600_000;

/// A wish to own one shard, with what the claimant had seen of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The shard.
    pub shard: Arc<str>,
    /// The epoch that the claim replaces; 0 when nobody ever owned the shard.
    pub observed_epoch: u64,
    /// The owner's last renewal that the claimant waited out; `None` when the shard looked free.
    pub observed_renewal: Option<u64>,
}

/// A record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Keeps a session, and with it all its shards, for another `ttl_ms`.
    Renew {
        /// The daemon incarnation.
        session: Arc<str>,
        /// How long, so that holder and successors count the same time.
        ttl_ms: u64,
    },
    /// Asks for shards; each is judged by itself.
    Claim {
        /// The daemon incarnation.
        session: Arc<str>,
        /// The shards.
        shards: Vec<ShardClaim>,
    },
    /// Gives everything back at a graceful stop.
    End {
        /// The daemon incarnation.
        session: Arc<str>,
    },
    /// The state below an offset.
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
    /// The time the last renewal asked for.
    pub ttl_ms: u64,
    /// When the log took the last renewal, by the log's clock.
    pub renewed_at_ms: u64,
}

/// A shard of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The session that owns it.
    pub owner: Option<Arc<str>>,
    /// The fencing number of the last accepted claim: its offset plus one.
    pub epoch: u64,
}

/// A copy of the table.
pub type LeaseSnapshot = LeaseTable;

/// All sessions and shards as the records so far make them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    sessions: SortedMap<Arc<str>, Session>,
    shards: SortedMap<Arc<str>, Shard>,
    writers: WriterTable,
}

impl LeaseTable {
    /// A session.
    pub fn session(&self, session: &str) -> Option<&Session> {
        self.sessions.get(session)
    }

    /// A shard that somebody claimed at some time.
    pub fn shard(&self, shard: &str) -> Option<&Shard> {
        self.shards.get(shard)
    }

    /// All shards in order.
    pub fn shards(&self) -> impl Iterator<Item = (&Arc<str>, &Shard)> {
        self.shards.iter()
    }

    /// All sessions in order.
    pub fn sessions(&self) -> impl Iterator<Item = (&Arc<str>, &Session)> {
        self.sessions.iter()
    }

    /// Says whether the session owns any shard.
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
            self.evict_idle_sessions(at_ms);
        }
    }

    fn evict_idle_sessions(&mut self, at_ms: u64) {
        let shards = &self.shards;
        self.sessions.retain(|name, session| {
            session.renewed_at_ms + IDLE_SESSION_RETENTION_MS >= at_ms
                || shards
                    .values()
                    .any(|shard| shard.owner.as_ref() == Some(name))
        });
    }

    /// Accepts a claim only if the shard is as the claimant saw it.
    ///
    /// Guards against a successor that acts on an old view: a renewal that it had not seen yet
    /// shows as a different `renewed_offset`, and a rival's claim as a different epoch; the log's
    /// order decides, for every fold alike.
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
