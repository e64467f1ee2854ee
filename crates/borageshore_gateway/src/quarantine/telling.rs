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
    records::{crash_record, decode_cleared, decode_reports, encode_cleared, encode_reports},
};
use crate::{follow::ONLY_PARTITION, server::server_limits};

/// Where peers tell of crashes, at the address that callers do not have.
pub(crate) const CRASHES_PATH: &str = "/crashes";
/// Where peers tell which requests are free again.
pub(crate) const CLEARED_PATH: &str = "/cleared";
/// The pause before records are written again that the store did not take, and before a budget is looked at again.
const AGAIN_MS: u64 = 200;
/// The store takes a record in 5 ms, a slow one in 200; after this time peers are told as well.
const STORE_TAKES_MS: u64 = 150;
/// The peers that each daemon tells once of what it did not know: so 98 of 100 hear of it, 680 within five steps.
const PEERS_TOLD: usize = 4;
/// The pause after peers were told, which holds 4 messages of 1 KB each within what control may cost a daemon.
const TOLD_PAUSE_MS: u64 = 300;
/// Reports in one message to a peer.
const MOST_TOLD: usize = 8;
/// Reports that wait to be told; with a zone more are lost, and the newest tell most of what still comes.
const MOST_TO_TELL: usize = 64;
/// A peer is a few ms away.
const PEER_TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 200,
    first_byte_ms: 300,
};

impl Quarantine {
    /// Tells the other daemons what there is to tell, as far as the budget goes.
    pub(super) async fn write(self: Rc<Self>) {
        loop {
            self.to_write.notified().await;
            while !self.reports.borrow().is_empty() || !self.notes.borrow().is_empty() {
                if !self.write_some().await {
                    sleep_ms(AGAIN_MS).await;
                }
            }
        }
    }

    /// Says whether the store took what could be told now.
    async fn write_some(&self) -> bool {
        let daemons = self.members.count() as u64;
        let reports = {
            let table = self.table.borrow();
            let mut reports = self.reports.borrow_mut();
            reports.take(&table, daemons, self.clock.now_ms())
        };
        let notes = std::mem::take(&mut *self.notes.borrow_mut());
        let freed = self.freed.take();
        let mut records: Vec<(Arc<str>, Bytes)> = reports.iter().map(crash_record).collect();
        records.extend(notes.iter().cloned());
        if records.is_empty() {
            return false;
        }
        let written = self.append(&records, &reports, &freed).await;
        if let Err(error) = &written {
            log::info!(records = records.len(), error:% = error; "crashes are not told by the store yet");
            self.reports.borrow_mut().put_back(reports);
            self.notes.borrow_mut().extend(notes);
        }
        written.is_ok()
    }

    /// Appends records to the store; peers are told as well when that takes long.
    async fn append(
        &self,
        records: &[(Arc<str>, Bytes)],
        reports: &[CrashReport],
        freed: &[Fingerprint],
    ) -> Result<(), StoreError> {
        let store = &self.store;
        let appending = pin!(store.append(Topic::Members, ONLY_PARTITION, records, None));
        let appended = match select(appending, pin!(sleep_ms(STORE_TAKES_MS))).await {
            Either::Left((appended, _)) => appended,
            Either::Right((_, appending)) => {
                self.is_store_late.set(true);
                self.tell_on(reports);
                // What was seen since the append began would wait for its end, two seconds in an outage; meanwhile
                // each peer loses endpoints of its own to the same request.
                self.tell_on(self.reports.borrow().waiting());
                self.clear_at_peers(freed);
                appending.await
            }
        };
        self.is_store_late.set(appended.is_err());
        if appended.is_err() {
            self.tell_on(reports);
            self.clear_at_peers(freed);
        }
        appended.map(|_| ())
    }

    /// Notes what peers are to be told, each report once.
    pub(super) fn tell_on(&self, reports: &[CrashReport]) {
        let mut told = self.told_peers.borrow_mut();
        told.retain(|report| self.table.borrow().is_suspected(&report.content));
        let news: Vec<CrashReport> = reports
            .iter()
            .filter(|report| !told.contains(report))
            .cloned()
            .collect();
        told.extend(news.iter().cloned());
        let mut to_tell = self.to_tell.borrow_mut();
        to_tell.extend(news);
        let surplus = to_tell.len().saturating_sub(MOST_TO_TELL);
        to_tell.drain(..surplus);
        self.peers_to_tell.notify_one();
    }

    /// Tells some peers of crashes, who tell others in turn.
    ///
    /// Guards against the time in which the store is away: each daemon would lose three endpoints of its own to
    /// a request before it holds it back, 9 of 12 with three daemons in a test.
    pub(super) async fn tell_peers(self: Rc<Self>) {
        let http = HttpClient::open();
        loop {
            self.peers_to_tell.notified().await;
            loop {
                let reports: Vec<CrashReport> = {
                    let mut to_tell = self.to_tell.borrow_mut();
                    let count = to_tell.len().min(MOST_TOLD);
                    to_tell.drain(..count).collect()
                };
                let cleared: Vec<Fingerprint> = {
                    let mut to_clear = self.to_clear.borrow_mut();
                    let count = to_clear.len().min(MOST_TOLD);
                    to_clear.drain(..count).collect()
                };
                if reports.is_empty() && cleared.is_empty() {
                    break;
                }
                let peers = self.members.pick_peer_addresses(PEERS_TOLD);
                // What was cleared comes last, as a crash may have been told before it.
                if !reports.is_empty() {
                    tell(&http, &peers, CRASHES_PATH, &encode_reports(&reports)).await;
                }
                if !cleared.is_empty() {
                    tell(&http, &peers, CLEARED_PATH, &encode_cleared(&cleared)).await;
                }
                sleep_ms(TOLD_PAUSE_MS).await;
            }
        }
    }

    /// Lets peers know that requests are free, while the store does not tell them.
    pub(super) fn clear_at_peers(&self, contents: &[Fingerprint]) {
        let of_others = |report: &CrashReport| !contents.contains(&report.content);
        self.to_tell.borrow_mut().retain(of_others);
        let mut to_clear = self.to_clear.borrow_mut();
        to_clear.retain(|known| !contents.contains(known));
        let room = MOST_TO_TELL.saturating_sub(to_clear.len());
        to_clear.extend(contents.iter().take(room));
        self.peers_to_tell.notify_one();
    }

    /// Takes over which requests a peer knows to be free.
    pub(crate) async fn on_cleared(&self, request: EdgeRequest) -> EdgeResponse {
        let body = read_body(request.into_body(), server_limits()).await;
        let contents = body.ok().and_then(|body| decode_cleared(&body));
        let Some(contents) = contents else {
            log::warn!("a peer's message about free requests cannot be read");
            return status(StatusCode::BAD_REQUEST);
        };
        let news: Vec<Fingerprint> = contents
            .into_iter()
            .filter(|content| self.forget(content))
            .collect();
        if !news.is_empty() {
            log::info!(contents:? = news; "peers say that requests are free");
            self.clear_at_peers(&news);
            self.note_change();
        }
        status(StatusCode::OK)
    }

    /// Takes over what a peer tells.
    pub(crate) async fn on_told(&self, request: EdgeRequest) -> EdgeResponse {
        let body = read_body(request.into_body(), server_limits()).await;
        let reports = body.ok().and_then(|body| decode_reports(&body));
        let Some(reports) = reports else {
            log::warn!("a peer's message about crashes cannot be read");
            return status(StatusCode::BAD_REQUEST);
        };
        let is_news = |report: &CrashReport| self.on_crash(report.clone()) != CrashEffect::Known;
        let news: Vec<CrashReport> = reports.into_iter().filter(is_news).collect();
        if !news.is_empty() {
            self.tell_on(&news);
        }
        status(StatusCode::OK)
    }
}

async fn tell(http: &HttpClient, peers: &[Arc<str>], path: &str, body: &Bytes) {
    let tell_one = async |peer: &Arc<str>| {
        let request = Request::post(path).body(Full::new(body.clone()));
        let request = request.expect("a path and a body");
        if let Err(error) = http.call(peer, request, PEER_TIMEOUTS).await {
            log::info!(peer = &**peer, path, error:% = error; "a peer is not told of crashes");
        }
    };
    join_all(peers.iter().map(tell_one)).await;
}

fn status(status: StatusCode) -> EdgeResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
