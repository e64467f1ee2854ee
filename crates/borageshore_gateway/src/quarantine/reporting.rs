//! Propagation of crash reports and clearances: through the store, and among peers while the store is slow or
//! unreachable.

use std::{pin::pin, rc::Rc, sync::Arc};

use borageshore_net::{
    EdgeRequest, EdgeResponse, HttpClient, Timeouts, full_body, read_body, sleep_ms,
};
use borageshore_platform::{StoreError, Topic};
use borageshore_routing::{CrashEffect, CrashReport, Fingerprint};
use bytes::Bytes;
use futures_util::future::{Either, join_all, select};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::{
    Quarantine,
    records::{decode_cleared, decode_reports, encode_cleared, encode_crash, encode_reports},
};
use crate::{follow::ONLY_PARTITION, server::peer_limits};

/// The largest response of a peer, which has no body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;
/// Path for crash reports, served only at the address for peers.
pub(crate) const CRASHES_PATH: &str = "/crashes";
/// Path for clearances, served only at the address for peers.
pub(crate) const CLEARED_PATH: &str = "/cleared";
/// Delay before a failed write is repeated or the report budget is checked again.
const RETRY_MS: u64 = 200;
/// An append that takes longer than this is also propagated from peer to peer. The store takes a record in 5 ms, a slow
/// one in 200.
const STORE_SLOW_MS: u64 = 150;
/// Gossip fan-out: the number of peers to which each daemon forwards a new report. With 4, a report reaches 98 of 100
/// daemons, and 680 within five steps.
const PEER_FANOUT: usize = 4;
/// Interval between messages to peers, which bounds the control traffic of a daemon. Four messages of 1 KB in this time
/// are within what control may cost.
const PEER_MESSAGE_INTERVAL_MS: u64 = 300;
const MAX_REPORTS_PER_MESSAGE: usize = 8;
/// The capacity of each queue for peers. A full queue of crash reports drops the oldest, as the newest are the most
/// useful; a full queue of clearances drops new ones. The loss of a zone causes more.
const MAX_PENDING_PEER_REPORTS: usize = 64;
const PEER_TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 200,
    first_byte_ms: 300,
};

impl Quarantine {
    /// Writes pending records and reports to the store, within the report budget.
    pub(super) async fn write_records(self: Rc<Self>) {
        loop {
            self.write_requested.notified().await;
            while !self.reports.borrow().is_empty() || !self.pending_records.borrow().is_empty() {
                if !self.write_batch().await {
                    sleep_ms(RETRY_MS).await;
                }
            }
        }
    }

    /// Writes what the budget permits now; returns whether there was anything to write and the store accepted it.
    async fn write_batch(&self) -> bool {
        let daemons = self.members.count() as u64;
        let reports = {
            let table = self.table.borrow();
            let mut reports = self.reports.borrow_mut();
            reports.take(&table, daemons, self.clock.now_ms())
        };
        let pending_records = std::mem::take(&mut *self.pending_records.borrow_mut());
        let cleared = self.cleared.take();
        let mut records: Vec<(Arc<str>, Bytes)> = reports.iter().map(encode_crash).collect();
        records.extend(pending_records.iter().cloned());
        if records.is_empty() {
            return false;
        }
        let written = self.append(&records, &reports, &cleared).await;
        if let Err(error) = &written {
            log::info!(records = records.len(), error:% = error; "quarantine records not written to the store; will retry");
            self.reports.borrow_mut().put_back(reports);
            self.pending_records.borrow_mut().extend(pending_records);
        }
        written.is_ok()
    }

    /// Appends records to the store; falls back to peers when the append is slow or fails.
    async fn append(
        &self,
        records: &[(Arc<str>, Bytes)],
        reports: &[CrashReport],
        cleared: &[Fingerprint],
    ) -> Result<(), StoreError> {
        let store = &self.store;
        let appending = pin!(store.append(Topic::Members, ONLY_PARTITION, records, None));
        let appended = match select(appending, pin!(sleep_ms(STORE_SLOW_MS))).await {
            Either::Left((appended, _)) => appended,
            Either::Right((_, appending)) => {
                self.is_store_late.set(true);
                self.queue_for_peers(reports);
                // Reports that arrived since the append began would wait for its end, while peers lose endpoints of
                // their own to the same request.
                self.queue_for_peers(self.reports.borrow().waiting());
                self.queue_clearance_for_peers(cleared);
                appending.await
            }
        };
        self.is_store_late.set(appended.is_err());
        if appended.is_err() {
            self.queue_for_peers(reports);
            self.queue_clearance_for_peers(cleared);
        }
        appended.map(|_| ())
    }

    /// Queues reports for peers, each report once.
    pub(super) fn queue_for_peers(&self, reports: &[CrashReport]) {
        let mut announced = self.announced_to_peers.borrow_mut();
        announced.retain(|report| self.table.borrow().is_suspected(&report.content));
        let new_reports: Vec<CrashReport> = reports
            .iter()
            .filter(|report| !announced.contains(report))
            .cloned()
            .collect();
        announced.extend(new_reports.iter().cloned());
        let mut peer_reports = self.peer_reports.borrow_mut();
        peer_reports.extend(new_reports);
        let surplus = peer_reports.len().saturating_sub(MAX_PENDING_PEER_REPORTS);
        peer_reports.drain(..surplus);
        self.peer_queue_changed.notify_one();
    }

    /// Sends queued reports and clearances to a few peers, which forward them in turn.
    ///
    /// Guards against each daemon losing endpoints of its own to the same request during a store outage. Otherwise each
    /// would lose three before it holds the request back.
    pub(super) async fn notify_peers(self: Rc<Self>) {
        let http = HttpClient::open_limited(MAX_RESPONSE_BYTES);
        loop {
            self.peer_queue_changed.notified().await;
            loop {
                let reports: Vec<CrashReport> = {
                    let mut peer_reports = self.peer_reports.borrow_mut();
                    let count = peer_reports.len().min(MAX_REPORTS_PER_MESSAGE);
                    peer_reports.drain(..count).collect()
                };
                let cleared: Vec<Fingerprint> = {
                    let mut peer_clearances = self.peer_clearances.borrow_mut();
                    let count = peer_clearances.len().min(MAX_REPORTS_PER_MESSAGE);
                    peer_clearances.drain(..count).collect()
                };
                if reports.is_empty() && cleared.is_empty() {
                    break;
                }
                let peers = self.members.choose_peer_addresses(PEER_FANOUT);
                // Clearances are sent last, because they override crash reports that were sent before.
                if !reports.is_empty() {
                    post_to_peers(&http, &peers, CRASHES_PATH, &encode_reports(&reports)).await;
                }
                if !cleared.is_empty() {
                    post_to_peers(&http, &peers, CLEARED_PATH, &encode_cleared(&cleared)).await;
                }
                sleep_ms(PEER_MESSAGE_INTERVAL_MS).await;
            }
        }
    }

    /// Queues clearances for peers and drops the queued reports of these requests.
    pub(super) fn queue_clearance_for_peers(&self, contents: &[Fingerprint]) {
        let of_others = |report: &CrashReport| !contents.contains(&report.content);
        self.peer_reports.borrow_mut().retain(of_others);
        let mut peer_clearances = self.peer_clearances.borrow_mut();
        peer_clearances.retain(|known| !contents.contains(known));
        let remaining = MAX_PENDING_PEER_REPORTS.saturating_sub(peer_clearances.len());
        peer_clearances.extend(contents.iter().take(remaining));
        self.peer_queue_changed.notify_one();
    }

    /// Handles clearances from a peer.
    pub(crate) async fn on_cleared(&self, request: EdgeRequest) -> EdgeResponse {
        let body = read_body(request.into_body(), peer_limits()).await;
        let contents = body.ok().and_then(|body| decode_cleared(&body));
        let Some(contents) = contents else {
            log::warn!("a peer's message about cleared requests cannot be decoded");
            return status(StatusCode::BAD_REQUEST);
        };
        let newly_cleared: Vec<Fingerprint> = contents
            .into_iter()
            .filter(|content| self.clear(content))
            .collect();
        if !newly_cleared.is_empty() {
            log::info!(contents:? = newly_cleared; "requests cleared by a peer");
            self.queue_clearance_for_peers(&newly_cleared);
            self.notify_change();
        }
        status(StatusCode::OK)
    }

    /// Handles crash reports from a peer.
    pub(crate) async fn on_crash_reports(&self, request: EdgeRequest) -> EdgeResponse {
        let body = read_body(request.into_body(), peer_limits()).await;
        let reports = body.ok().and_then(|body| decode_reports(&body));
        let Some(reports) = reports else {
            log::warn!("a peer's message about crashes cannot be decoded");
            return status(StatusCode::BAD_REQUEST);
        };
        let is_new = |report: &CrashReport| self.on_crash(report.clone()) != CrashEffect::Known;
        let new_reports: Vec<CrashReport> = reports.into_iter().filter(is_new).collect();
        if !new_reports.is_empty() {
            self.queue_for_peers(&new_reports);
        }
        status(StatusCode::OK)
    }
}

async fn post_to_peers(http: &HttpClient, peers: &[Arc<str>], path: &str, body: &Bytes) {
    let post_to_peer = async |peer: &Arc<str>| {
        let request = Request::post(path).body(Full::new(body.clone()));
        let request = request.expect("a path and a body");
        if let Err(error) = http.call(peer, request, PEER_TIMEOUTS).await {
            log::info!(peer = &**peer, path, error:% = error; "crash reports or clearances not delivered to a peer");
        }
    };
    join_all(peers.iter().map(post_to_peer)).await;
}

fn status(status: StatusCode) -> EdgeResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
