//! Serves the shared topics to peers.

use std::{cell::Cell, rc::Rc};

use borageshore_feed::LogRecord;
use borageshore_net::{EdgeRequest, EdgeResponse, boot_time_ms, full_body, read_body, within_ms};
use borageshore_wire::{
    WireFeedPage, WireFeedRecord, WireFeedReply, WireFeedRequest, decode, encode,
};
use hyper::{Response, StatusCode};

use super::{Feed, FeedTopic, pages::encode_record};
use crate::server::peer_limits;

/// The path of requests for shared topics, served only at the address for peers.
pub(crate) const FEED_PATH: &str = "/feed";
/// The maximum size of the records in a reply, shared by its pages.
const MAX_REPLY_BYTES: usize = 256 * 1_024;
/// The longest wait for news.
const MAX_WAIT_MS: u64 = 2_000;
/// A reader is told of urgent news this long after its request at the soonest, so that records that follow closely are
/// sent together.
const COALESCE_MS: u64 = 20;
/// The same for all other news.
const COLLECT_MS: u64 = 200;
/// The maximum number of readers; others are refused and find another peer.
const MAX_READERS: usize = 64;

/// What a reader does not have yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    /// Nothing.
    None,
    /// Records, or the confirmation that there are none.
    Other,
    /// Records that it is told of at once.
    Urgent,
    /// The rest of a topic that it is loading.
    Waiting,
}

/// Counts a reader until it is answered.
#[derive(Debug)]
struct ReaderGuard<'f>(&'f Cell<usize>);

impl Drop for ReaderGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Feed {
    /// Answers a peer as soon as there is something new for it, or after the wait that it asks for.
    pub(crate) async fn on_poll(self: &Rc<Self>, request: EdgeRequest) -> EdgeResponse {
        let received_at_ms = boot_time_ms();
        let Ok(body) = read_body(request.into_body(), peer_limits()).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let request: WireFeedRequest = match decode(&body) {
            Ok(request) => request,
            Err(error) => {
                log::warn!(error:% = error; "request for shared topics cannot be decoded; refusing it");
                return empty(StatusCode::BAD_REQUEST);
            }
        };
        if *request.deployment != *self.parts.deployment {
            log::warn!(deployment = &*request.deployment; "request for shared topics from another deployment; refusing it");
            return empty(StatusCode::BAD_REQUEST);
        }
        if self.polls_in_flight.get() >= MAX_READERS {
            self.parts.instruments.count("feed_serve", "refused");
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.polls_in_flight.set(self.polls_in_flight.get() + 1);
        let _guard = ReaderGuard(&self.polls_in_flight);
        self.wait_for_news(&request).await;
        let mut reply = WireFeedReply::new(
            self.parts.deployment.to_string(),
            self.revision.get() as i64,
            0,
            self.pages(&request),
            self.loading_ms().map(|loading_ms| loading_ms as i64),
        );
        reply.held_ms = (boot_time_ms() - received_at_ms) as i64;
        match encode(&reply) {
            Ok(reply) => {
                self.parts.instruments.count("feed_serve", "answered");
                Response::new(full_body(reply))
            }
            Err(error) => {
                log::error!(error:% = error; "shared topics cannot be encoded");
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    async fn wait_for_news(&self, request: &WireFeedRequest) {
        let wait_ms = u64::try_from(request.wait_ms).unwrap_or(0).min(MAX_WAIT_MS);
        let received_at_ms = self.now_ms();
        loop {
            let updated = self.updated.notified();
            let due_ms = match self.news(request) {
                News::Waiting => return,
                News::Urgent => received_at_ms + COALESCE_MS,
                News::Other => received_at_ms + COLLECT_MS,
                News::None => received_at_ms + wait_ms,
            };
            let remaining_ms = due_ms.saturating_sub(self.now_ms());
            if remaining_ms == 0 {
                return;
            }
            within_ms(remaining_ms, updated).await;
        }
    }

    fn news(&self, request: &WireFeedRequest) -> News {
        let mut news = match self.revision.get() as i64 == request.seen_revision {
            true => News::None,
            false => News::Other,
        };
        for position in &request.positions {
            let Some(topic) = FeedTopic::from_number(position.topic) else {
                continue;
            };
            let next_offset = self.log(topic).next_offset() as i64;
            if next_offset <= position.from_offset {
                continue;
            }
            if position.from_offset == 0 || position.load.is_some() {
                return News::Waiting;
            }
            if topic.is_urgent() {
                news = News::Urgent;
            }
        }
        news
    }

    fn pages(&self, request: &WireFeedRequest) -> Vec<WireFeedPage> {
        let mut max_bytes = MAX_REPLY_BYTES;
        let mut pages = Vec::new();
        for position in &request.positions {
            let Some(topic) = FeedTopic::from_number(position.topic) else {
                continue;
            };
            let Ok(from) = u64::try_from(position.from_offset) else {
                continue;
            };
            if let Some(page) = self.page(topic, from, position.load, &mut max_bytes) {
                pages.push(page);
            }
        }
        pages
    }

    /// A page of a topic; `None` if this daemon has not read as far as the reader, or has no room left in the reply.
    fn page(
        &self,
        topic: FeedTopic,
        from: u64,
        load: Option<i64>,
        max_bytes: &mut usize,
    ) -> Option<WireFeedPage> {
        let log = self.log(topic);
        let records = log.records.borrow();
        let next_offset = records.next_offset()?;
        if *max_bytes == 0 || next_offset < from {
            return None;
        }
        // Distinguishes the loads of a process from those of its earlier runs.
        let incarnation = self.parts.members.own_identity().1;
        let load = load.map(|load| (load as u64).wrapping_sub(incarnation));
        let Ok(slice) = records.read(from, load, *max_bytes) else {
            let number = topic.number();
            return Some(WireFeedPage::new(
                number,
                true,
                Vec::new(),
                0,
                false,
                None,
                0,
            ));
        };
        let bytes: usize = slice.records.iter().map(LogRecord::bytes).sum();
        *max_bytes = max_bytes.saturating_sub(bytes);
        let age_ms = self.age_ms(topic).filter(|_| slice.is_whole);
        let records: Vec<WireFeedRecord> = slice.records.iter().map(encode_record).collect();
        Some(WireFeedPage::new(
            topic.number(),
            false,
            records,
            slice.next_offset as i64,
            slice.is_whole,
            age_ms.map(|age_ms| age_ms as i64),
            incarnation.wrapping_add(slice.load) as i64,
        ))
    }
}

fn empty(status: StatusCode) -> EdgeResponse {
    let mut response = Response::new(full_body(Vec::new()));
    *response.status_mut() = status;
    response
}
