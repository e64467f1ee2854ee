//! Renewal, expiry and takeover of leases, as one daemon sees them on its own clock.

use std::{collections::VecDeque, sync::Arc};

use borageshore_base::{SortedMap, rank_within};
use borageshore_log::Envelope;

use crate::table::{LeaseRecord, LeaseTable, ShardClaim};

/// The largest difference between the rates of two clocks, in percent.
const CLOCK_RATE_BOUND_PERCENT: u64 = 2;
/// The constant part of the margin, which covers late timers.
const MARGIN_FLOOR_MS: u64 = 100;
/// How often a lease is renewed within one TTL.
const RENEWALS_PER_TTL: u64 = 3;
/// The delay per rank before a candidate claims a free shard.
const CANDIDATE_STAGGER_MS: u64 = 1_000;
/// A longer gap between two answers of the log counts as an outage. Exceeds the poll interval of an
/// idle log, also when it is read through a relay.
const CONTACT_GAP_MS: u64 = 2_500;
/// A claim that has not been read back from the log after this time is proposed again.
const CLAIM_RETRY_MS: u64 = 3_000;

/// The safety margin of a lease: the holder stops this long before the TTL ends, and a successor waits
/// this long after it.
pub fn margin_ms(ttl_ms: u64) -> u64 {
    ttl_ms * CLOCK_RATE_BOUND_PERCENT / 100 + MARGIN_FLOOR_MS
}

/// A shard that this daemon may claim, with its rank among the candidates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidacy {
    /// The shard.
    pub shard: Arc<str>,
    /// The rank among the candidates; 0 claims first.
    pub rank: u64,
}

/// The shards for which `own` ranks among the first `candidates` members by rendezvous hashing.
pub fn candidacies_of<'m, Members>(
    own: &str,
    shards: &[Arc<str>],
    members: Members,
    candidates: usize,
) -> Vec<Candidacy>
where
    Members: Iterator<Item = &'m str> + Clone,
{
    let ranked = shards.iter().filter_map(|shard| {
        let rank = rank_within(shard, own, members.clone(), candidates)? as u64;
        Some(Candidacy {
            shard: shard.clone(),
            rank,
        })
    });
    ranked.collect()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedRenewal {
    offset: u64,
    observed_at_ms: u64,
}

/// Decides when a daemon renews its lease, claims shards and may act on them.
///
/// Guards against a paused holder that acts on an expired lease: the holder counts the TTL from before
/// it sent the renewal, a successor from when it read that renewal, and [`LeaseAgent::epoch`] checks
/// the time at each action. The holder therefore stops before any successor may claim.
#[derive(Debug)]
pub struct LeaseAgent {
    session: Arc<str>,
    valid_until_ms: u64,
    sent_renewals: VecDeque<(u64, u64)>,
    last_sent_ms: Option<u64>,
    observed_renewals: SortedMap<Arc<str>, ObservedRenewal>,
    claimed_at_ms: SortedMap<Arc<str>, u64>,
    free_since_ms: SortedMap<Arc<str>, u64>,
    last_contact_ms: Option<u64>,
}

impl LeaseAgent {
    /// Creates an agent without a lease. `session` identifies the daemon incarnation.
    pub fn open(session: Arc<str>) -> Self {
        Self {
            session,
            valid_until_ms: 0,
            sent_renewals: VecDeque::new(),
            last_sent_ms: None,
            observed_renewals: SortedMap::default(),
            claimed_at_ms: SortedMap::default(),
            free_since_ms: SortedMap::default(),
            last_contact_ms: None,
        }
    }

    /// Records that the log answered at `heard_at_ms`.
    ///
    /// Guards against a takeover of all leases after an outage of the log, during which no holder could
    /// renew: after a gap every lease gets its full TTL again.
    pub fn on_contact(&mut self, heard_at_ms: u64) {
        let previous_ms = self.last_contact_ms.unwrap_or(heard_at_ms);
        if heard_at_ms > previous_ms + CONTACT_GAP_MS {
            for (_, renewal) in self.observed_renewals.iter_mut() {
                renewal.observed_at_ms = renewal.observed_at_ms.max(heard_at_ms);
            }
        }
        self.last_contact_ms = Some(previous_ms.max(heard_at_ms));
    }

    /// The session's name.
    pub fn session(&self) -> &Arc<str> {
        &self.session
    }

    /// The epoch of a shard that this daemon owns according to the log, even if its lease has expired
    /// since. Actions require [`LeaseAgent::epoch`].
    pub fn owned_epoch(&self, table: &LeaseTable, shard: &str) -> Option<u64> {
        let current = table.shard(shard)?;
        let is_owner = current.owner.as_ref() == Some(&self.session);
        is_owner.then_some(current.epoch)
    }

    /// The epoch of a shard if this daemon owns it and its lease is valid at `now_ms`.
    pub fn epoch(&self, table: &LeaseTable, shard: &str, now_ms: u64) -> Option<u64> {
        self.owned_epoch(table, shard)
            .filter(|_| now_ms < self.valid_until_ms)
    }

    /// Records that a renewal was handed to the proposer under `sequence` at `now_ms`.
    pub fn on_renewal_sent(&mut self, sequence: u64, now_ms: u64) {
        self.sent_renewals.push_back((sequence, now_ms));
        self.last_sent_ms = Some(now_ms);
    }

    /// Processes a record that was applied to the lease table.
    pub fn on_applied(&mut self, offset: u64, envelope: &Envelope<LeaseRecord>, now_ms: u64) {
        match &envelope.body {
            LeaseRecord::Renew { session, ttl_ms } => {
                self.on_renewal(session, *ttl_ms, envelope.sequence, offset, now_ms);
            }
            LeaseRecord::Claim { session, shards } if *session == self.session => {
                for claim in shards {
                    self.claimed_at_ms.remove(&claim.shard);
                }
            }
            _ => {}
        }
    }

    fn on_renewal(
        &mut self,
        session: &Arc<str>,
        ttl_ms: u64,
        sequence: u64,
        offset: u64,
        now_ms: u64,
    ) {
        self.observed_renewals.insert(
            session.clone(),
            ObservedRenewal {
                offset,
                observed_at_ms: now_ms,
            },
        );
        if *session != self.session {
            return;
        }
        while let Some((sent_sequence, sent_at_ms)) = self.sent_renewals.front().copied() {
            if sent_sequence > sequence {
                break;
            }
            self.sent_renewals.pop_front();
            if sent_sequence == sequence {
                let until_ms = sent_at_ms + ttl_ms.saturating_sub(margin_ms(ttl_ms));
                self.valid_until_ms = self.valid_until_ms.max(until_ms);
            }
        }
    }

    /// Returns the records to append now: a renewal if one is due, and claims on free shards among
    /// `candidacies`.
    pub fn tick(
        &mut self,
        table: &LeaseTable,
        candidacies: &[Candidacy],
        ttl_ms: u64,
        now_ms: u64,
    ) -> Vec<LeaseRecord> {
        self.track_sessions(table, now_ms);
        let claims = self.due_claims(table, candidacies, now_ms);
        let needs_session = table.owns_any(&self.session) || !claims.is_empty();
        let mut records = Vec::new();
        if needs_session && self.renewal_due(ttl_ms, now_ms) {
            records.push(LeaseRecord::Renew {
                session: self.session.clone(),
                ttl_ms,
            });
        }
        if now_ms >= self.valid_until_ms || claims.is_empty() {
            return records;
        }
        for claim in &claims {
            self.claimed_at_ms.insert(claim.shard.clone(), now_ms);
        }
        records.push(LeaseRecord::Claim {
            session: self.session.clone(),
            shards: claims,
        });
        records
    }

    fn renewal_due(&self, ttl_ms: u64, now_ms: u64) -> bool {
        match self.last_sent_ms {
            None => true,
            Some(sent_ms) => now_ms >= sent_ms + ttl_ms / RENEWALS_PER_TTL,
        }
    }

    /// Starts the TTL of sessions restored from a snapshot, whose renewals were not read.
    fn track_sessions(&mut self, table: &LeaseTable, now_ms: u64) {
        for (name, session) in table.sessions() {
            let offset = session.renewed_offset;
            let known = self
                .observed_renewals
                .get(name)
                .is_some_and(|renewal| renewal.offset >= offset);
            if !known {
                self.observed_renewals.insert(
                    name.clone(),
                    ObservedRenewal {
                        offset,
                        observed_at_ms: now_ms,
                    },
                );
            }
        }
        self.observed_renewals
            .retain(|name, _| table.session(name).is_some());
    }

    fn due_claims(
        &mut self,
        table: &LeaseTable,
        candidacies: &[Candidacy],
        now_ms: u64,
    ) -> Vec<ShardClaim> {
        let mut claims = Vec::new();
        for candidacy in candidacies {
            let Some(claim) = self.claim_if_free(table, &candidacy.shard, now_ms) else {
                self.free_since_ms.remove(&candidacy.shard);
                continue;
            };
            let free_since_ms = *self
                .free_since_ms
                .get_or_insert_with(candidacy.shard.clone(), || now_ms);
            let last_claim = self.claimed_at_ms.get(&candidacy.shard);
            if last_claim.is_some_and(|claimed_ms| now_ms < claimed_ms + CLAIM_RETRY_MS) {
                continue;
            }
            if now_ms >= free_since_ms + candidacy.rank * CANDIDATE_STAGGER_MS {
                claims.push(claim);
            }
        }
        claims
    }

    /// The claim for a shard that has no owner or whose owner's lease has expired.
    fn claim_if_free(
        &self,
        table: &LeaseTable,
        shard: &Arc<str>,
        now_ms: u64,
    ) -> Option<ShardClaim> {
        let current = table.shard(shard);
        let observed_epoch = current.map_or(0, |current| current.epoch);
        let free = ShardClaim {
            shard: shard.clone(),
            observed_epoch,
            observed_renewal: None,
        };
        let Some(owner) = current.and_then(|current| current.owner.as_ref()) else {
            return Some(free);
        };
        let Some(session) = table.session(owner) else {
            return Some(free);
        };
        if *owner == self.session {
            return None;
        }
        let renewal = self.observed_renewals.get(owner)?;
        let expires_at_ms = renewal.observed_at_ms + session.ttl_ms + margin_ms(session.ttl_ms);
        let observed_renewal = Some(renewal.offset);
        (now_ms >= expires_at_ms).then_some(ShardClaim {
            observed_renewal,
            ..free
        })
    }
}
