//! Duties of one daemon at a time: orders to engines, reports of usage. All are announced in one partition, so that
//! one conditional append decides who holds them, and one waiting read a daemon tells of them.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_batch::{ModelVersion, OrderLeases, SwapRound};
use borageshore_duty::{DutyTiming, SendWindow, select_holder};
use borageshore_net::boot_time_ms;
use borageshore_platform::{KeyedRecord, StoreError, Topic};
use bytes::Bytes;
use tokio::sync::{Notify, futures::Notified};

use crate::{
    endpoints::Endpoints,
    follow::{Fold, Follow, FollowSpec, ONLY_PARTITION},
    members::Members,
    store_transport::Store,
    usage::{ReportRecord, USAGE, UsageReports},
};

/// The key of rounds of orders; readers that start late need the newest only.
const ROUND_KEY: &str = "round";
/// What ranks the daemons where no holder is known; the same at all of them.
const RANKING_KEY: &str = "orders";
/// What was announced leaves within this time of the append, or not at all.
const SEND_WINDOW_MS: u64 = 500;
/// What a call takes on its way, and the delay of a successor's own reads.
const MARGIN_MS: u64 = 300;

/// The announcements as all daemons see them.
#[derive(Debug)]
struct Announcements {
    endpoints: Rc<Endpoints>,
    usage: Rc<UsageReports>,
    leases: RefCell<OrderLeases>,
    round_announced: Notify,
}

impl Announcements {
    fn on_round(&self, round: SwapRound) {
        for (instance, model, version) in &round.done {
            self.endpoints.on_version(instance, model, *version);
            self.endpoints.on_load_done(instance);
        }
        for (instance, model, version) in &round.orders {
            let target = ModelVersion {
                model: model.clone(),
                version: *version,
            };
            self.endpoints.on_load_ordered(instance, target);
        }
        let mut leases = self.leases.borrow_mut();
        leases.on_round(&round, boot_time_ms());
        self.round_announced.notify_waiters();
    }
}

impl Announcements {
    fn on_report(&self, report: &ReportRecord) {
        self.usage.on_report(report);
        let mut leases = self.leases.borrow_mut();
        let subjects = [USAGE.into()];
        let duties = leases.duties_mut();
        duties.on_announcement(&report.holder, &subjects, &report.others, boot_time_ms());
    }
}

impl Fold for Announcements {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some(value) = &record.value else {
                self.usage.on_removed(&record.key);
                continue;
            };
            let taken = match UsageReports::decode(record) {
                Some(report) => report.map(|report| self.on_report(&report)),
                None => serde_json::from_slice(value).map(|round| self.on_round(round)),
            };
            if let Err(error) = taken {
                log::error!(key = &*record.key, error:% = error; "an announcement cannot be read");
            }
        }
    }

    fn on_gap(&self) {
        self.leases.borrow_mut().begin_again(boot_time_ms());
    }
}

/// The duties, and whether this daemon holds them.
///
/// Nobody checks who acts, and two holders must not take turns within the lease. An act is announced before it is
/// sent, on the condition that nothing was appended since this daemon read the partition; so a holder that was
/// replaced while it stood still cannot announce anything. It might have announced something just before: that leaves
/// within [`SEND_WINDOW_MS`] of the append or not at all, and a new holder lets the lease of each subject pass.
#[derive(Debug)]
pub(crate) struct Duties {
    store: Store,
    members: Rc<Members>,
    announcements: Rc<Announcements>,
    follow: Rc<Follow<Announcements>>,
    timing: DutyTiming,
}

/// What was announced: its epoch, and until when it may be sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendPermit {
    pub(crate) epoch: u64,
    window: SendWindow,
}

impl SendPermit {
    /// Says whether it may still be sent.
    pub(crate) fn may_send(&self) -> bool {
        self.window.is_open(boot_time_ms())
    }
}

impl Duties {
    /// Follows the duties; `lease_ms` is the least time between acts of two holders on one subject.
    pub(crate) fn spawn(
        spec: FollowSpec,
        members: Rc<Members>,
        endpoints: Rc<Endpoints>,
        usage: Rc<UsageReports>,
        lease_ms: u64,
    ) -> Rc<Self> {
        let timing = DutyTiming {
            lease_ms,
            send_window_ms: SEND_WINDOW_MS,
            margin_ms: MARGIN_MS,
        };
        let announcements = Rc::new(Announcements {
            endpoints,
            usage,
            leases: RefCell::new(OrderLeases::open(
                boot_time_ms(),
                timing.takeover_delay_ms(),
            )),
            round_announced: Notify::new(),
        });
        Rc::new(Self {
            store: spec.store.clone(),
            members,
            follow: Follow::spawn(spec, announcements.clone()),
            announcements,
            timing,
        })
    }

    /// Told when a round of orders was announced.
    pub(crate) fn round_announced(&self) -> Notified<'_> {
        self.announcements.round_announced.notified()
    }

    /// Where the partition ends as far as this daemon has read, if it holds the duties: what it decides from here on is
    /// announced on the condition that nothing came meanwhile.
    pub(crate) fn offset_if_holder(&self) -> Option<u64> {
        let eligible = self.members.eligible_names();
        let holder = {
            let leases = self.announcements.leases.borrow();
            let last = leases.newest_holder();
            select_holder(RANKING_KEY, last, &eligible).map(Arc::<str>::from)
        };
        let is_own = holder.as_deref() == Some(&*self.members.own_name());
        self.follow.next_offset().filter(|_| is_own)
    }

    /// Says whether this daemon may order an engine now.
    pub(crate) fn may_order(&self, engine: &str) -> bool {
        let leases = self.announcements.leases.borrow();
        leases.may_order(&self.members.own_name(), engine, boot_time_ms())
    }

    /// Says whether this daemon may act on another subject than an engine now.
    pub(crate) fn may_act(&self, subject: &str) -> bool {
        let leases = self.announcements.leases.borrow();
        let own_name = self.members.own_name();
        leases.duties().may_act(&own_name, subject, boot_time_ms())
    }

    /// The subjects that another holder may be acting on.
    pub(crate) fn held_by_others(&self) -> Vec<Arc<str>> {
        let leases = self.announcements.leases.borrow();
        leases.ordered_by_others(&self.members.own_name(), boot_time_ms())
    }

    /// Announces a round of orders.
    pub(crate) async fn announce_round(&self, at: u64, round: &SwapRound) -> Option<SendPermit> {
        let value = serde_json::to_vec(round).expect("plain data");
        self.announce(at, &[(ROUND_KEY.into(), value.into())]).await
    }

    /// Announces what is about to be sent, if nothing was announced after `at`.
    pub(crate) async fn announce(
        &self,
        at: u64,
        records: &[(Arc<str>, Bytes)],
    ) -> Option<SendPermit> {
        let window = self.timing.send_window(boot_time_ms());
        let appended = self
            .store
            .append(Topic::Orders, ONLY_PARTITION, records, Some(at))
            .await;
        match appended {
            Ok(appended) => Some(SendPermit {
                epoch: appended.offset,
                window,
            }),
            Err(StoreError::OffsetConflict { end }) => {
                log::info!(end; "another announcement came first");
                None
            }
            Err(error) => {
                log::warn!(error:% = error; "nothing can be announced, nothing is sent");
                None
            }
        }
    }
}
