//! One daemon's view of its own and other leases in time.

use std::{collections::VecDeque, sync::Arc};

use borageshore_base::{SortedMap, rank_within};
use borageshore_log::Envelope;

use crate::table::{LeaseRecord, LeaseTable, ShardClaim};

/// How far two clocks may run apart, as a share of the time measured.
const CLOCK_RATE_BOUND_PERCENT: u64 = 2;
/// Added to every margin, for timers that fire late.
const MARGIN_FLOOR_MS: u64 = 100;
/// A lease is renewed this many times in its life.
const RENEWALS_PER_TTL: u64 = 3;
/// How much longer each lower-ranked candidate waits before it claims a free shard.
const CANDIDATE_STAGGER_MS: u64 = 1_000;
/// A longer silence between the log and this daemon counts as an outage. Above the time that a quiet
/// log leaves between two answers, also through a relay.
const CONTACT_GAP_MS: u64 = 2_500;
/// After this long without a verdict a claim is made anew.
const CLAIM_RETRY_MS: u64 = 3_000;

/// The time by which a holder stops early and a successor waits longer.
pub fn margin_ms(ttl_ms: u64) -> u64 {
    ttl_ms * CLOCK_RATE_BOUND_PERCENT / 100 + MARGIN_FLOOR_MS
}

/// A shard that this daemon is a candidate for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidacy {
    /// The shard.
    pub shard: Arc<str>,
    /// This daemon's place among the candidates, the first being 0.
    pub rank: u64,
}

/// The shards that `own` is one of the first `candidates` members for.
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
    seen_at_ms: u64,
}

/// Decides when a daemon renews, claims and may act.
///
/// Guards against a holder that was paused and still believes that it holds its lease: its time is
/// counted from before it sent the renewal, and [`LeaseAgent::epoch`] checks it at each action, so it
/// stops a margin before any successor, who counts from when it saw that renewal, may claim.
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
    /// Opens an agent for a daemon incarnation.
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

    /// Notes that the state of the log at `heard_at_ms` is known.
    ///
    /// Guards against all leases changing hands after an outage of the log: no holder could renew
    /// meanwhile, and whoever had waited would claim first. The wait for a renewal counts only while
    /// there is contact, so after a gap every holder gets its whole time again.
    pub fn on_contact(&mut self, heard_at_ms: u64) {
        let previous_ms = self.last_contact_ms.unwrap_or(heard_at_ms);
        if heard_at_ms > previous_ms + CONTACT_GAP_MS {
            for (_, seen) in self.observed_renewals.iter_mut() {
                seen.seen_at_ms = seen.seen_at_ms.max(heard_at_ms);
            }
        }
        self.last_contact_ms = Some(previous_ms.max(heard_at_ms));
    }

    /// The session's name.
    pub fn session(&self) -> &Arc<str> {
        &self.session
    }

    /// The epoch of a shard that the log says is this daemon's. Its lease may have run out meanwhile:
    /// whoever wants to act asks [`LeaseAgent::epoch`].
    pub fn owned_epoch(&self, table: &LeaseTable, shard: &str) -> Option<u64> {
        let found = table.shard(shard)?;
        let is_owner = found.owner.as_ref() == Some(&self.session);
        is_owner.then_some(found.epoch)
    }

    /// The epoch of a shard if this daemon may act on it at `now_ms`.
    pub fn epoch(&self, table: &LeaseTable, shard: &str, now_ms: u64) -> Option<u64> {
        self.owned_epoch(table, shard)
            .filter(|_| now_ms < self.valid_until_ms)
    }

    /// Notes that a renewal was handed to the proposer under `sequence` at `now_ms`.
    pub fn on_renewal_sent(&mut self, sequence: u64, now_ms: u64) {
        self.sent_renewals.push_back((sequence, now_ms));
        self.last_sent_ms = Some(now_ms);
    }

    /// Notes a folded record.
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
                seen_at_ms: now_ms,
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

    /// Says what to append now. `candidacies` are the shards that should be owned by somebody.
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

    /// Starts the clock of sessions that came with a snapshot, whose renewals were never seen.
    fn track_sessions(&mut self, table: &LeaseTable, now_ms: u64) {
        for (name, session) in table.sessions() {
            let offset = session.renewed_offset;
            let known = self
                .observed_renewals
                .get(name)
                .is_some_and(|seen| seen.offset >= offset);
            if !known {
                self.observed_renewals.insert(
                    name.clone(),
                    ObservedRenewal {
                        offset,
                        seen_at_ms: now_ms,
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

    /// The claim to make for a shard whose owner is gone or has run out of time.
    fn claim_if_free(
        &self,
        table: &LeaseTable,
        shard: &Arc<str>,
        now_ms: u64,
    ) -> Option<ShardClaim> {
        let found = table.shard(shard);
        let observed_epoch = found.map_or(0, |found| found.epoch);
        let free = ShardClaim {
            shard: shard.clone(),
            observed_epoch,
            observed_renewal: None,
        };
        let Some(owner) = found.and_then(|found| found.owner.as_ref()) else {
            return Some(free);
        };
        let Some(session) = table.session(owner) else {
            return Some(free);
        };
        if *owner == self.session {
            return None;
        }
        let seen = self.observed_renewals.get(owner)?;
        let expires_at_ms = seen.seen_at_ms + session.ttl_ms + margin_ms(session.ttl_ms);
        let observed_renewal = Some(seen.offset);
        (now_ms >= expires_at_ms).then_some(ShardClaim {
            observed_renewal,
            ..free
        })
    }
}
