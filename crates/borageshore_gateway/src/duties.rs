//! Duties that one daemon holds at a time: orders to engines, orders for endpoints and reports of usage. All are
//! announced in one partition, so that one conditional append decides the holder and each daemon follows all of them
//! with one long poll.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_batch::{ModelVersion, OrderLeases, SwapRound};
use borageshore_diagnostics::LogOnce;
use borageshore_duty::{DutyTiming, SendWindow, choose_holder};
use borageshore_net::boot_time_ms;
use borageshore_platform::{KeyedRecord, StoreError, Topic};
use bytes::Bytes;
use tokio::sync::{Notify, futures::Notified};

use crate::{
    endpoints::Endpoints,
    feed::FeedTopicSource,
    follow::{FollowSpec, Follower, ONLY_PARTITION, RecordView},
    members::Members,
    scaling::{EndpointOrders, OrderRecord},
    store_transport::Store,
    usage::{ReportRecord, USAGE_SUBJECT, UsageReports},
};

/// The key of all rounds of orders, as only the newest round is needed.
const ROUND_KEY: &str = "round";
/// The rendezvous key that selects a new holder when the previous one is not eligible; the same on all daemons.
const RANKING_KEY: &str = "orders";
/// An announced action is sent within this time of the append, or not at all.
const SEND_WINDOW_MS: u64 = 500;
/// The margin for the latency of a call and the delay of a successor's reads.
const MARGIN_MS: u64 = 300;

/// The announcements that have been read; the same on all daemons.
#[derive(Debug)]
struct Announcements {
    endpoints: Rc<Endpoints>,
    usage: Rc<UsageReports>,
    endpoint_orders: Rc<EndpointOrders>,
    undecodable: LogOnce,
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
        self.on_action(&report.holder, USAGE_SUBJECT.into(), &report.others);
    }

    fn on_endpoint_order(&self, order: &OrderRecord) {
        self.endpoint_orders.on_order(order, boot_time_ms());
        self.on_action(&order.holder, order.subject(), &order.others);
    }

    fn on_action(&self, holder: &Arc<str>, subject: Arc<str>, others: &[Arc<str>]) {
        let mut leases = self.leases.borrow_mut();
        let duties = leases.duties_mut();
        duties.on_announcement(holder, &[subject], others, boot_time_ms());
    }

    /// Applies the announcement that a record holds.
    fn on_announcement(&self, record: &KeyedRecord, value: &[u8]) -> Result<(), serde_json::Error> {
        if let Some(report) = UsageReports::decode(record) {
            return report.map(|report| self.on_report(&report));
        }
        if let Some(order) = EndpointOrders::decode(record) {
            return order.map(|order| self.on_endpoint_order(&order));
        }
        serde_json::from_slice(value).map(|round| self.on_round(round))
    }
}

impl RecordView for Announcements {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some(value) = &record.value else {
                self.usage.on_removed(&record.key);
                continue;
            };
            if let Err(error) = self.on_announcement(record, value)
                && self.undecodable.is_new(&record.key)
            {
                log::error!(key = &*record.key, error:% = error; "cannot decode an announcement; ignoring it");
            }
        }
    }

    fn on_gap(&self) {
        self.leases.borrow_mut().reset();
    }

    fn on_loaded(&self, next_offset: u64) {
        let mut leases = self.leases.borrow_mut();
        leases.on_loaded(boot_time_ms());
        let duties = leases.duties();
        log::info!(
            next_offset, holder = duties.newest_holder().map_or("", |holder| &**holder),
            subjects = duties.known_subjects();
            "announcements of duties loaded; a daemon that is not their newest holder waits for the leases of others"
        );
    }
}

/// Announces the actions of duties, and tells whether this daemon holds the duties.
///
/// Receivers do not check the sender, so actions of two holders on one subject must be a lease apart. An action is
/// announced before it is sent, by an append conditional on the offset up to which this daemon has read, so a paused
/// holder that was replaced cannot announce any. What it announced before the pause is sent within [`SEND_WINDOW_MS`]
/// of the append or not at all, and a new holder waits for the lease of each subject to expire.
#[derive(Debug)]
pub(crate) struct Duties {
    store: Store,
    members: Rc<Members>,
    announcements: Rc<Announcements>,
    follow: Rc<Follower<Announcements, FeedTopicSource>>,
    timing: DutyTiming,
}

/// Permission to send an announced action within the send window, with its epoch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendPermit {
    pub(crate) epoch: u64,
    window: SendWindow,
}

impl SendPermit {
    /// Whether the send window is still open.
    pub(crate) fn may_send(&self) -> bool {
        self.window.is_open(boot_time_ms())
    }
}

impl Duties {
    /// Follows the duties; `lease_ms` is the minimum time between actions of two holders on one subject.
    pub(crate) fn spawn(
        spec: FollowSpec<FeedTopicSource>,
        store: Store,
        members: Rc<Members>,
        endpoints: Rc<Endpoints>,
        usage: Rc<UsageReports>,
        endpoint_orders: Rc<EndpointOrders>,
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
            endpoint_orders,
            undecodable: LogOnce::default(),
            leases: RefCell::new(OrderLeases::open(timing.takeover_delay_ms())),
            round_announced: Notify::new(),
        });
        Rc::new(Self {
            store,
            members,
            follow: Follower::spawn(spec, announcements.clone()),
            announcements,
            timing,
        })
    }

    /// Completes when a round of orders is announced.
    pub(crate) fn round_announced(&self) -> Notified<'_> {
        self.announcements.round_announced.notified()
    }

    /// The next offset of the partition if this daemon holds the duties. Decisions made from here on are announced on
    /// the condition that nothing is appended before them.
    pub(crate) fn offset_if_holder(&self) -> Option<u64> {
        let eligible = self.members.eligible_names();
        let holder = {
            let leases = self.announcements.leases.borrow();
            let last = leases.newest_holder();
            choose_holder(RANKING_KEY, last, &eligible).map(Arc::<str>::from)
        };
        let is_own = holder.as_deref() == Some(&*self.members.own_name());
        self.follow.next_offset().filter(|_| is_own)
    }

    /// Whether this daemon may send an order to an engine now.
    pub(crate) fn may_order(&self, engine: &str) -> bool {
        let leases = self.announcements.leases.borrow();
        leases.may_order(&self.members.own_name(), engine, boot_time_ms())
    }

    /// Whether this daemon may act now on a subject that is not an engine.
    pub(crate) fn may_act(&self, subject: &str) -> bool {
        let leases = self.announcements.leases.borrow();
        let own_name = self.members.own_name();
        leases.duties().may_act(&own_name, subject, boot_time_ms())
    }

    /// The subjects that other holders may be acting on.
    pub(crate) fn held_by_others(&self) -> Vec<Arc<str>> {
        let leases = self.announcements.leases.borrow();
        leases.held_by_others(&self.members.own_name(), boot_time_ms())
    }

    /// Announces a round of orders.
    pub(crate) async fn announce_round(&self, at: u64, round: &SwapRound) -> Option<SendPermit> {
        let value = serde_json::to_vec(round).expect("plain data");
        self.announce(at, &[(ROUND_KEY.into(), value.into())]).await
    }

    /// Announces what is about to be sent, if the partition still ends at offset `at`; `None` if it was not announced.
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
                log::info!(end; "announcement not appended: a newer one came first; nothing is sent");
                None
            }
            Err(error) => {
                log::warn!(error:% = error; "announcement failed; nothing is sent");
                None
            }
        }
    }
}
