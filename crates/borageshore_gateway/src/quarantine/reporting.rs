//! How a daemon tells the others of crashes: by the store, and from peer to peer while the store does not take it.

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
use crate::{follow::ONLY_PARTITION, server::server_limits};

/// Where peers tell of crashes, at the address that callers do not have.
pub(crate) const CRASHES_PATH: &str = "/crashes";
/// Where peers tell which requests are free again.
pub(crate) const CLEARED_PATH: &str = "/cleared";
/// The pause before records are written again that the store did not take, and before a budget is looked at again.
const RETRY_MS: u64 = 200;
/// The store takes a record in 5 ms, a slow one in 200; after this time peers are told as well.
const STORE_SLOW_MS: u64 = 150;
/// The peers that each daemon tells once of what it did not know: so 98 of 100 hear of it, 680 within five steps.
const PEER_FANOUT: usize = 4;
/// The pause after peers were told, which holds 4 messages of 1 KB each within what control may cost a daemon.
const PEER_MESSAGE_INTERVAL_MS: u64 = 300;
/// Reports in one message to a peer.
const MAX_REPORTS_PER_MESSAGE: usize = 8;
/// Reports that wait to be told; with a zone more are lost, and the newest tell most of what still comes.
const MAX_PENDING_PEER_REPORTS: usize = 64;
/// A peer is a few ms away.
const PEER_TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 200,
    first_byte_ms: 300,
};

impl Quarantine {
    /// Tells the other daemons what there is to tell, as far as the budget goes.
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

    /// Says whether the store took what could be told now.
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
            log::info!(records = records.len(), error:% = error; "crashes are not told by the store yet");
            self.reports.borrow_mut().put_back(reports);
            self.pending_records.borrow_mut().extend(pending_records);
        }
        written.is_ok()
    }

    /// Appends records to the store; peers are told as well when that takes long.
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
                // What was seen since the append began would wait for its end, two seconds in an outage; meanwhile
                // each peer loses endpoints of its own to the same request.
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

    /// Notes what peers are to be told, each report once.
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

    /// Tells some peers of crashes, who tell others in turn.
    ///
    /// Guards against the time in which the store is away: each daemon would lose three endpoints of its own to
    /// a request before it holds it back, 9 of 12 with three daemons in a test.
    pub(super) async fn notify_peers(self: Rc<Self>) {
        let http = HttpClient::open();
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
                let peers = self.members.some_relays(PEER_FANOUT);
                // What was cleared comes last, as a crash may have been told before it.
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

    /// Lets peers know that requests are free, while the store does not tell them.
    pub(super) fn queue_clearance_for_peers(&self, contents: &[Fingerprint]) {
        let of_others = |report: &CrashReport| !contents.contains(&report.content);
        self.peer_reports.borrow_mut().retain(of_others);
        let mut peer_clearances = self.peer_clearances.borrow_mut();
        peer_clearances.retain(|known| !contents.contains(known));
        let room = MAX_PENDING_PEER_REPORTS.saturating_sub(peer_clearances.len());
        peer_clearances.extend(contents.iter().take(room));
        self.peer_queue_changed.notify_one();
    }

    /// Takes over which requests a peer knows to be free.
    pub(crate) async fn on_cleared(&self, request: EdgeRequest) -> EdgeResponse {
        let body = read_body(request.into_body(), server_limits()).await;
        let contents = body.ok().and_then(|body| decode_cleared(&body));
        let Some(contents) = contents else {
            log::warn!("a peer's message about free requests cannot be read");
            return status(StatusCode::BAD_REQUEST);
        };
        let newly_cleared: Vec<Fingerprint> = contents
            .into_iter()
            .filter(|content| self.clear(content))
            .collect();
        if !newly_cleared.is_empty() {
            log::info!(contents:? = newly_cleared; "peers say that requests are free");
            self.queue_clearance_for_peers(&newly_cleared);
            self.notify_change();
        }
        status(StatusCode::OK)
    }

    /// Takes over what a peer tells.
    pub(crate) async fn on_crash_reports(&self, request: EdgeRequest) -> EdgeResponse {
        let body = read_body(request.into_body(), server_limits()).await;
        let reports = body.ok().and_then(|body| decode_reports(&body));
        let Some(reports) = reports else {
            log::warn!("a peer's message about crashes cannot be read");
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
            log::info!(peer = &**peer, path, error:% = error; "a peer is not told of crashes");
        }
    };
    join_all(peers.iter().map(post_to_peer)).await;
}

fn status(status: StatusCode) -> EdgeResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
