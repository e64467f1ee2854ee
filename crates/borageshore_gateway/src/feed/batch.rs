//! Writes records of members for several daemons at once.
//!
//! The store takes the appends to a partition one after the other, so a fleet in which each daemon appends its own record
//! takes longer the larger it is, and repeats appends that wait for too long. A daemon that does not read the store has
//! its record written by its source instead, together with those of others.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_net::{
    CallError, EdgeRequest, EdgeResponse, Timeouts, full_body, read_body, sleep_ms, within_ms,
};
use borageshore_platform::{StoreError, Topic};
use borageshore_wire::{WireFeedRecord, decode, encode};
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use tokio::sync::{Notify, oneshot};

use super::{Feed, FeedTopic, Phase};
use crate::{follow::ONLY_PARTITION, server::peer_limits};

/// The path of records that a peer asks to be written, served only at the address for peers.
pub(crate) const REGISTER_PATH: &str = "/register";
/// The pause before a batch is written, in which more records may come.
const COLLECT_MS: u64 = 20;
/// The interval at which a starting daemon checks whether it knows who writes its record.
const PHASE_CHECK_MS: u64 = 100;
/// The pause after a refused batch. It doubles with each failure in a row, up to [`MAX_RETRY_MS`], or longer in a fleet
/// of more daemons than that has ms.
const RETRY_MS: u64 = 20;
const MAX_RETRY_MS: u64 = 500;
/// Keeps the writers, one for some eight daemons, within half of the appends that a partition takes, one in 4 ms.
const MAX_RETRY_MS_PER_DAEMON: u64 = 1;
/// The maximum number of records in a batch.
const MAX_RECORDS: usize = 512;
/// Timeouts of a record that a peer writes: a batch waits for those of other daemons at the store.
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 200,
    first_byte_ms: 2_000,
};

/// A record with the reply to whoever wants it written.
type Waiting = ((Arc<str>, Bytes), oneshot::Sender<Result<(), StoreError>>);

/// Records that wait to be written.
#[derive(Debug, Default)]
pub(super) struct RecordBatch {
    waiting: RefCell<Vec<Waiting>>,
    added: Notify,
}

impl Feed {
    /// Appends a record of this daemon to the members topic, through its source if it does not read the store itself.
    pub(crate) async fn append_member(&self, record: (Arc<str>, Bytes)) -> Result<(), StoreError> {
        self.wait_until_peers_known().await;
        let is_joined = *self.phase.borrow() == Phase::Joined;
        if is_joined && self.tree().is_flat() {
            return self.append_directly(&[record]).await;
        }
        let is_reader = is_joined && self.is_reader();
        let peer = self.current_peer().filter(|_| !is_reader);
        let Some(peer) = peer else {
            return self.append_in_batch(record).await;
        };
        let Err(error) = self.send_record(&peer, &record).await else {
            return Ok(());
        };
        // If each daemon appended the record that the store refused to its source, a busy partition would stay busy. One
        // that starts with many others asks the next peer, until it is its turn to use the store itself.
        let is_source_lost = is_joined && matches!(error, CallError::NotSent(_));
        if !is_source_lost && !self.reads_directly(FeedTopic::Members) {
            return Err(StoreError::Unknown(error.to_string()));
        }
        log::info!(peer = &*peer, error:% = error; "peer did not write this daemon's record; writing it directly");
        self.append_directly(&[record]).await
    }

    /// Waits until this daemon knows whether others write records for it, unless these find each other by the records.
    async fn wait_until_peers_known(&self) {
        while !self.parts.is_first_start && *self.phase.borrow() == Phase::Looking {
            within_ms(PHASE_CHECK_MS, self.role_changed.notified()).await;
        }
    }

    /// Appends suspicions of other daemons like records of this one, or together if it writes to the store itself.
    pub(crate) async fn append_suspicions(
        &self,
        records: &[(Arc<str>, Bytes)],
    ) -> Result<(), StoreError> {
        if *self.phase.borrow() == Phase::Joined && self.tree().is_flat() {
            return self.append_directly(records).await;
        }
        let appends = records.iter().cloned();
        let appends = appends.map(|record| self.append_member(record));
        join_all(appends).await.into_iter().collect()
    }

    async fn append_directly(&self, records: &[(Arc<str>, Bytes)]) -> Result<(), StoreError> {
        let store = &self.parts.store;
        let appended = store.append(Topic::Members, ONLY_PARTITION, records, None);
        appended.await.map(|_| ())
    }

    async fn append_in_batch(&self, record: (Arc<str>, Bytes)) -> Result<(), StoreError> {
        let (sender, receiver) = oneshot::channel();
        self.batch.waiting.borrow_mut().push((record, sender));
        self.batch.added.notify_one();
        receiver
            .await
            .unwrap_or_else(|_| Err(StoreError::Unknown("the batch was dropped".into())))
    }

    /// Writes the records that wait, as long as the process runs.
    pub(super) async fn write_batches(self: Rc<Self>) {
        let mut failures = 0;
        loop {
            self.batch.added.notified().await;
            sleep_ms(COLLECT_MS).await;
            while !self.batch.waiting.borrow().is_empty() {
                let batch: Vec<Waiting> = {
                    let mut waiting = self.batch.waiting.borrow_mut();
                    // Whoever gave up sends its record again.
                    waiting.retain(|(_, sender)| !sender.is_closed());
                    let count = waiting.len().min(MAX_RECORDS);
                    waiting.drain(..count).collect()
                };
                let (records, senders): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
                if records.is_empty() {
                    continue;
                }
                let written = self.append_directly(&records).await;
                for sender in senders {
                    // Whoever waited may have given up.
                    let _ = sender.send(written.clone());
                }
                if written.is_ok() {
                    failures = 0;
                } else {
                    sleep_ms(self.batch_retry_ms(failures)).await;
                    failures += 1;
                }
            }
        }
    }

    fn batch_retry_ms(&self, failures: u32) -> u64 {
        let daemons = self.fallback_budget().daemons as u64;
        let longest_ms = MAX_RETRY_MS.max(daemons * MAX_RETRY_MS_PER_DAEMON);
        let pause_ms = (RETRY_MS << failures.min(16)).min(longest_ms);
        pause_ms / 2 + self.random() % pause_ms
    }

    async fn send_record(&self, peer: &str, record: &(Arc<str>, Bytes)) -> Result<(), CallError> {
        let (key, value) = record;
        let value = (!value.is_empty()).then(|| value.to_vec());
        let wire = WireFeedRecord::new(0, key.to_string(), value);
        let body = encode(&wire).map_err(|error| CallError::NotSent(error.to_string()))?;
        let request = Request::post(REGISTER_PATH)
            .body(Full::new(body.into()))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        match self.http.call(peer, request, TIMEOUTS).await? {
            (StatusCode::OK, _) => Ok(()),
            (status, _) => Err(CallError::NoResponse(format!("status {status}"))),
        }
    }

    /// Writes the record of a peer, and answers when it is in the store.
    pub(crate) async fn on_register(&self, request: EdgeRequest) -> EdgeResponse {
        let decoded = match read_body(request.into_body(), peer_limits()).await {
            Ok(body) => decode::<WireFeedRecord>(&body).ok(),
            Err(_) => None,
        };
        let status = match decoded {
            Some(record) => {
                let value = record.value.map(Bytes::from).unwrap_or_default();
                let written = self.append_in_batch((record.key.into(), value)).await;
                match written {
                    Ok(()) => StatusCode::OK,
                    Err(_) => StatusCode::SERVICE_UNAVAILABLE,
                }
            }
            None => {
                log::warn!("record of a peer cannot be decoded; refusing it");
                StatusCode::BAD_REQUEST
            }
        };
        let mut response = Response::new(full_body(Vec::new()));
        *response.status_mut() = status;
        response
    }
}
