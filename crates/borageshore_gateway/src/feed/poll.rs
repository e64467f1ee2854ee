//! Reads the shared topics from peers.

use std::{rc::Rc, sync::Arc};

use borageshore_feed::current_at_ms;
use borageshore_net::{CallError, Timeouts, boot_time_ms, sleep_ms, within_ms};
use borageshore_wire::{WireFeedPosition, WireFeedReply, WireFeedRequest, decode, encode};
use http_body_util::Full;
use hyper::{Request, StatusCode};

use super::{
    FEED_PATH, Feed, FeedTopic, Phase,
    pages::{decode_page, topic_of},
    topics::FeedPosition,
};

/// How long a peer may wait for news before it answers; peers that read the store hear from it twice a second.
const WAIT_MS: u64 = 600;
/// The time that a response may take beyond the wait: a page of 256 KB beside those of other readers.
const RESPONSE_SLACK_MS: u64 = 400;
/// The connect timeout; peers are a few ms away.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// The pause after the first failures in a row, and the longest one.
const RETRY_MS: u64 = 30;
const MAX_RETRY_MS: u64 = 480;
/// The interval at which a daemon without a peer to read from looks for one.
const IDLE_CHECK_MS: u64 = 100;

/// The outcome of a read from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Polled {
    /// It brought records, or this daemon's topics are current now.
    Progress,
    /// The peer is loading what this daemon waits for.
    Loading,
    /// The peer has nothing newer, and this daemon's topics are old.
    Stale,
}

impl Feed {
    /// Reads from peers whenever this daemon does not read the store, or does not hear from it.
    pub(super) async fn poll_peers(self: Rc<Self>) {
        let mut last: Option<(Arc<str>, i64)> = None;
        loop {
            let Some(peer) = self.next_peer() else {
                within_ms(IDLE_CHECK_MS, self.role_changed.notified()).await;
                continue;
            };
            let seen = last.take().filter(|(known, _)| *known == peer);
            let seen_revision = seen.map_or(0, |(_, revision)| revision);
            match self.poll(&peer, seen_revision).await {
                Ok((revision, Polled::Progress)) => {
                    let now_ms = self.now_ms();
                    self.selector.borrow_mut().on_progress(now_ms);
                    last = Some((peer, revision));
                    continue;
                }
                Ok((revision, Polled::Loading)) => {
                    self.parts.instruments.count("feed_poll", "loading");
                    last = Some((peer, revision));
                    sleep_ms(RETRY_MS).await;
                    continue;
                }
                Ok((revision, Polled::Stale)) => {
                    self.parts.instruments.count("feed_poll", "stale");
                    last = Some((peer, revision));
                }
                Err(error) => {
                    self.parts.instruments.count("feed_poll", "failed");
                    log::debug!(peer = &*peer, error:% = error; "could not read shared topics from a peer; trying another one");
                }
            }
            self.selector.borrow_mut().on_failure();
            sleep_ms(self.pause_ms()).await;
        }
    }

    /// Doubles with each failure in a row, and varies, so that daemons that lose their source together do not return
    /// together.
    fn pause_ms(&self) -> u64 {
        let doublings = self.selector.borrow().failures().min(8);
        let pause_ms = (RETRY_MS << doublings).min(MAX_RETRY_MS);
        pause_ms / 2 + self.random() % pause_ms
    }

    /// The peer that this daemon reads from, or would read from.
    pub(super) fn current_peer(&self) -> Option<Arc<str>> {
        let current = self.selector.borrow().current().cloned();
        current.or_else(|| self.next_peer())
    }

    fn next_peer(&self) -> Option<Arc<str>> {
        let random = self.random();
        match &*self.phase.borrow() {
            Phase::Looking => None,
            Phase::Joining(addresses) => {
                // Stays with a peer that passes on: what is loaded from one cannot be continued at another.
                let next = self
                    .parts
                    .seed
                    .wrapping_add(self.selector.borrow().failures());
                let index = next.checked_rem(addresses.len() as u64)?;
                addresses.get(index as usize).cloned()
            }
            Phase::Joined => {
                let tree = self.tree();
                let now_ms = self.now_ms();
                self.selector
                    .borrow_mut()
                    .choose_peer(&tree, random, now_ms)
            }
        }
    }

    async fn poll(&self, peer: &str, seen_revision: i64) -> Result<(i64, Polled), CallError> {
        let positions: Vec<(FeedTopic, FeedPosition)> = self
            .wanted()
            .map(|topic| (topic, self.log(topic).position_at(peer)))
            .collect();
        let requested_at_ms = boot_time_ms();
        let reply = self.request(peer, &positions, seen_revision).await?;
        let held_ms = reply.held_ms;
        let mut added = 0;
        for page in reply.pages {
            let (topic, position) = topic_of(&page, &positions).map_err(refused)?;
            if page.is_expired {
                log::info!(topic:?, peer; "records expired before they were read");
                // A root that lags reads the store again before long, without loading the whole topic.
                if !self.is_reader() {
                    self.log(topic).reset();
                }
                continue;
            }
            let load = page.load;
            let page =
                decode_page(page, position.from, requested_at_ms, held_ms).map_err(refused)?;
            added += self.add(topic, page);
            self.log(topic).on_peer_page(peer, load);
        }
        self.parts.instruments.count("feed_poll", "answered");
        let polled = match reply.loading_ms {
            _ if added > 0 || self.is_current() => Polled::Progress,
            Some(loading_ms) if self.loading_ms().is_some() => {
                self.on_peer_loading(requested_at_ms, held_ms, loading_ms)?
            }
            _ => Polled::Stale,
        };
        Ok((reply.revision, polled))
    }

    /// Whether a peer is worth to wait for that was asked at `requested_at_ms`, held the request for `held_ms`, and had
    /// then made progress `loading_ms` ago.
    fn on_peer_loading(
        &self,
        requested_at_ms: u64,
        held_ms: i64,
        loading_ms: i64,
    ) -> Result<Polled, CallError> {
        let progressed_at_ms =
            current_at_ms(requested_at_ms, held_ms, loading_ms).map_err(refused)?;
        let progressed_at_ms = progressed_at_ms.unwrap_or(0);
        let known_ms = self.load_progressed_at_ms.get();
        self.load_progressed_at_ms
            .set(known_ms.max(progressed_at_ms));
        let now_ms = self.now_ms();
        let age_ms = boot_time_ms().saturating_sub(progressed_at_ms);
        let mut selector = self.selector.borrow_mut();
        match selector.on_loading(now_ms.saturating_sub(age_ms), now_ms) {
            true => Ok(Polled::Loading),
            false => Ok(Polled::Stale),
        }
    }

    async fn request(
        &self,
        peer: &str,
        positions: &[(FeedTopic, FeedPosition)],
        seen_revision: i64,
    ) -> Result<WireFeedReply, CallError> {
        let position = |(topic, position): &(FeedTopic, FeedPosition)| {
            WireFeedPosition::new(topic.number(), position.from as i64, position.load)
        };
        let request = WireFeedRequest::new(
            self.parts.deployment.to_string(),
            positions.iter().map(position).collect(),
            seen_revision,
            WAIT_MS as i64,
        );
        let body = encode(&request).map_err(|error| CallError::NotSent(error.to_string()))?;
        let request = Request::post(FEED_PATH)
            .body(Full::new(body.into()))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let timeouts = Timeouts {
            connect_ms: CONNECT_TIMEOUT_MS,
            first_byte_ms: WAIT_MS + RESPONSE_SLACK_MS,
        };
        let (status, body) = self.http.call(peer, request, timeouts).await?;
        if status != StatusCode::OK {
            return Err(CallError::NoResponse(format!("status {status}")));
        }
        let reply: WireFeedReply =
            decode(&body).map_err(|error| CallError::NoResponse(error.to_string()))?;
        if *reply.deployment != *self.parts.deployment {
            return Err(CallError::NoResponse("peer of another deployment".into()));
        }
        Ok(reply)
    }
}

fn refused<Reason>(reason: Reason) -> CallError
where
    Reason: std::fmt::Debug,
{
    log::warn!(reason:?; "peer sent an invalid page of a shared topic; discarding it");
    CallError::NoResponse(format!("invalid page: {reason:?}"))
}
