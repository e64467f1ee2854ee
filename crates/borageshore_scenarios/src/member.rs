//! The decision logic of one daemon.

use std::sync::Arc;

use borageshore_lease::{Candidacy, LeaseAgent, LeaseRecord, LeaseTable};
use borageshore_log::{Fold, Follower, Proposer, ProposerAction};
use borageshore_rollout::{JobController, Ledger, LedgerRecord};
use borageshore_routing::KeyTable;
use borageshore_settings::SettingsFold;

use crate::{
    log::{AppendOutcome, MemoryLog},
    world::{JOB, LEDGER, shard_of_job},
};

const BATCH_RECORDS: usize = 8;
const PAGE_RECORDS: usize = 16;
/// The default lease duration.
const LEASE_TTL_MS: u64 = 5_000;
const KEY_WINDOW_MS: u64 = 60_000;
const KEY_BYTES: usize = 4_096;

/// A log stream with its reader and its writer.
#[derive(Debug)]
pub struct Stream<State> {
    name: Arc<str>,
    writer: Arc<str>,
    /// The reader.
    pub follower: Follower<State>,
    /// The writer.
    pub proposer: Proposer,
}

impl<State> Stream<State>
where
    State: Fold + Default,
{
    fn open(name: &str, writer: Arc<str>) -> Self {
        Self {
            name: name.into(),
            follower: Follower::open(State::default()),
            proposer: Proposer::open(writer.clone(), BATCH_RECORDS),
            writer,
        }
    }

    fn append(&mut self, log: &mut MemoryLog, now_ms: u64) {
        // The log timestamps records with its own clock; the folds work with any clock.
        let ProposerAction::Append(records) = self.proposer.poll(now_ms) else {
            return;
        };
        match log.append(&self.name, records, now_ms) {
            AppendOutcome::Acknowledged => self.proposer.on_acknowledged(),
            AppendOutcome::ResponseLost | AppendOutcome::Delayed => self.proposer.on_unknown(),
            AppendOutcome::Refused => self.proposer.on_refused(now_ms, 0),
        }
    }

    /// Reads one page; returns whether the log responded.
    fn read<Observe>(&mut self, log: &MemoryLog, now_ms: u64, mut observe: Observe) -> bool
    where
        Observe: FnMut(u64, &borageshore_log::Envelope<State::Body>),
    {
        let Some(page) = log.read(&self.name, self.follower.next_offset(), PAGE_RECORDS) else {
            return false;
        };
        let writer = self.writer.clone();
        let mut own_sequence = 0;
        self.follower.on_page(page, |record, envelope| {
            if envelope.writer == writer {
                own_sequence = envelope.sequence;
            }
            observe(record.offset, envelope);
        });
        if own_sequence > 0 {
            self.proposer.on_seen(own_sequence);
        }
        let end = self.follower.end_offset().unwrap_or(0);
        self.proposer
            .on_progress(self.follower.applied_offset(), end, now_ms, 0);
        true
    }
}

/// A daemon incarnation.
#[derive(Debug)]
pub struct Member {
    /// The daemon's name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it is suspended, as by SIGSTOP.
    pub is_paused: bool,
    /// Whether it is partitioned from the log, which others can reach.
    pub is_partitioned: bool,
    /// The settings stream.
    pub settings: Stream<SettingsFold>,
    /// The lease stream.
    pub leases: Stream<LeaseTable>,
    /// The ledger and the controller of the only job, while this member owns it.
    pub job: Option<(Stream<Ledger>, JobController)>,
    /// Decides when it may act, and which leases to renew or claim.
    pub agent: LeaseAgent,
    /// The request keys that it ran.
    pub keys: KeyTable,
    /// Its rank among the candidates for shards.
    pub rank: u64,
    /// The lease duration that it requests.
    pub lease_ttl_ms: u64,
    /// The rate of its clock, in thousandths of true time.
    pub clock_permille: u64,
}

impl Member {
    /// Starts a daemon incarnation.
    pub fn open(name: &str, incarnation: u64, rank: u64) -> Self {
        let session: Arc<str> = format!("{name}.{incarnation}").into();
        Self {
            name: name.into(),
            incarnation,
            is_paused: false,
            is_partitioned: false,
            settings: Stream::open("settings", session.clone()),
            leases: Stream::open("leases", session.clone()),
            job: None,
            agent: LeaseAgent::open(session),
            keys: KeyTable::open(name.into(), incarnation, KEY_WINDOW_MS, KEY_BYTES),
            rank,
            lease_ttl_ms: LEASE_TTL_MS,
            clock_permille: 1_000,
        }
    }

    /// The time on its own clock.
    pub fn local_ms(&self, true_ms: u64) -> u64 {
        true_ms * self.clock_permille / 1_000
    }

    /// The epoch under which it may act for a shard at a true time.
    pub fn epoch(&self, shard: &str, true_ms: u64) -> Option<u64> {
        self.agent
            .epoch(self.leases.follower.fold(), shard, self.local_ms(true_ms))
    }

    /// Runs one round of the event loop at a true time: read, decide, append.
    pub fn tick(&mut self, log: &mut MemoryLog, true_ms: u64) {
        let now_ms = self.local_ms(true_ms);
        self.settings.read(log, now_ms, |_, _| {});
        let agent = &mut self.agent;
        let has_log_answered = self.leases.read(log, now_ms, |offset, envelope| {
            agent.on_applied(offset, envelope, now_ms);
        });
        if has_log_answered {
            self.agent.on_contact(now_ms);
        }
        self.tick_leases(now_ms);
        self.tick_job(log, true_ms);
        self.settings.append(log, now_ms);
        self.leases.append(log, now_ms);
        if let Some((ledger, _)) = &mut self.job {
            ledger.append(log, now_ms);
        }
    }

    fn tick_leases(&mut self, now_ms: u64) {
        let candidacies = [Candidacy {
            shard: shard_of_job(),
            rank: self.rank,
        }];
        let table = self.leases.follower.fold();
        for record in self
            .agent
            .tick(table, &candidacies, self.lease_ttl_ms, now_ms)
        {
            let is_renewal = matches!(record, LeaseRecord::Renew { .. });
            let sequence = self.leases.proposer.propose(record);
            if is_renewal {
                self.agent.on_renewal_sent(sequence, now_ms);
            }
        }
    }

    fn tick_job(&mut self, log: &MemoryLog, true_ms: u64) {
        let now_ms = self.local_ms(true_ms);
        let table = self.leases.follower.fold();
        let owned_epoch = self.agent.owned_epoch(table, &shard_of_job());
        let open_epoch = self.job.as_ref().map(|(_, controller)| controller.epoch());
        if open_epoch != owned_epoch {
            self.job = owned_epoch.map(|epoch| self.open_job(epoch));
        }
        if let Some((ledger, controller)) = &mut self.job {
            ledger.read(log, now_ms, |_, _| {});
            controller.on_ledger(ledger.follower.fold());
        }
    }

    fn open_job(&self, epoch: u64) -> (Stream<Ledger>, JobController) {
        let writer: Arc<str> = format!("{}.{}/{epoch}", self.name, self.incarnation).into();
        let mut ledger = Stream::open(LEDGER, writer);
        ledger.proposer.propose(LedgerRecord::Open { epoch });
        (ledger, JobController::open(JOB.into(), epoch))
    }
}
