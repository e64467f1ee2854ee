//! This daemon's estimate of true time, synchronized with peers.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_net::{EdgeResponse, HttpClient, Timeouts, boot_time_ms, json_response, sleep_ms};
use borageshore_time::{ClockSample, TrueTime};
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::members::Members;

/// The path of clock requests, at the address for peers.
pub(crate) const CLOCK_PATH: &str = "/clock";
/// The number of peers that are asked: a majority still agrees if one is stepped, slow or gone.
const PEERS_ASKED: usize = 5;
/// The interval between attempts to synchronize with peers at the start.
const SYNC_INTERVAL_MS: u64 = 400;
/// The number of attempts after which a daemon starts with its own time of day.
const MAX_SYNC_ATTEMPTS: usize = 8;
/// The interval at which the estimate is slewed.
const SLEW_INTERVAL_MS: u64 = 10_000;
/// The largest reading, which has two numbers.
const MAX_READING_BYTES: usize = 4 * 1024;
/// Timeouts of a clock request; peers are a few ms away, and a slow response makes an imprecise sample.
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 200,
    first_byte_ms: 200,
};

/// A reading of a daemon's clocks.
#[derive(Debug, Serialize, Deserialize)]
struct ClockReading {
    estimate_ms: u64,
    time_of_day_ms: u64,
}

/// The estimate of true time, synchronized with peers.
#[derive(Debug)]
pub(crate) struct SharedTime {
    members: Rc<Members>,
    time: RefCell<TrueTime>,
    http: HttpClient,
}

impl SharedTime {
    /// Starts with this VM's time of day and synchronizes with peers in the background.
    pub(crate) fn spawn(members: Rc<Members>) -> Rc<Self> {
        let shared = Rc::new(Self {
            members,
            time: RefCell::new(TrueTime::new(time_of_day_ms(), boot_time_ms())),
            http: HttpClient::open_limited(MAX_READING_BYTES),
        });
        monoio::spawn(shared.clone().run());
        shared
    }

    /// The estimate, in Unix milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.time.borrow().unix_ms(boot_time_ms())
    }

    /// The response to a clock request of a peer.
    pub(crate) fn clock_response(&self) -> EdgeResponse {
        let reading = ClockReading {
            estimate_ms: self.unix_ms(),
            time_of_day_ms: time_of_day_ms(),
        };
        json_response(200, &reading)
    }

    async fn run(self: Rc<Self>) {
        for _ in 0..MAX_SYNC_ATTEMPTS {
            sleep_ms(SYNC_INTERVAL_MS).await;
            let samples = self.samples().await;
            if self.time.borrow_mut().sync_to_peers(&samples) {
                break;
            }
        }
        loop {
            sleep_ms(SLEW_INTERVAL_MS).await;
            let samples = self.samples().await;
            let now_ms = boot_time_ms();
            let mut time = self.time.borrow_mut();
            time.slew(time_of_day_ms(), now_ms, &samples);
            let away_ms = time_of_day_ms() as i64 - time.unix_ms(now_ms) as i64;
            log::debug!(peers = samples.len(), away_ms; "compared the time of day with the estimate");
        }
    }

    async fn samples(&self) -> Vec<ClockSample> {
        let peers = self.members.choose_peer_addresses(PEERS_ASKED);
        let asked = join_all(peers.iter().map(|peer| self.ask(peer))).await;
        asked.into_iter().flatten().collect()
    }

    async fn ask(&self, peer: &Arc<str>) -> Option<ClockSample> {
        let request = Request::get(CLOCK_PATH).body(Full::default()).ok()?;
        let requested_at_ms = boot_time_ms();
        let (status, body) = match self.http.call(peer, request, TIMEOUTS).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!(peer = &**peer, error:% = error; "clock request to a peer failed; leaving out its sample");
                return None;
            }
        };
        let responded_at_ms = boot_time_ms();
        let reading: ClockReading = serde_json::from_slice(&body).ok()?;
        (status == StatusCode::OK).then_some(ClockSample {
            requested_at_ms,
            responded_at_ms,
            estimate_ms: reading.estimate_ms,
            time_of_day_ms: reading.time_of_day_ms,
        })
    }
}

/// The VM's time of day as Unix time, which may be wrong or set back.
pub(crate) fn time_of_day_ms() -> u64 {
    jiff::Timestamp::now().as_millisecond() as u64
}
