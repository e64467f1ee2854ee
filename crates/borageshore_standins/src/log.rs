//! A fake append-only log service.

use std::{
    cell::RefCell,
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use borageshore_base::SortedMap;
use borageshore_log::{LogPage, LogRecord};
use borageshore_net::{
    Clock, EdgeRequest, EdgeResponse, Handler, HttpServer, json_response, sleep_ms, within_ms,
};
use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::http;

/// Maximum records in one page.
const PAGE_RECORDS: usize = 1_024;

/// Injected faults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSwitches {
    /// How long every call fails from now on.
    pub outage_ms: u64,
    /// How many of the next appends take effect without a response.
    pub lose_answers: u64,
    /// Extra latency of each call.
    pub slow_ms: u64,
    /// Maximum records retained per stream; 0 retains all.
    pub retention_records: usize,
    /// Maximum appends per second; 0 for no limit.
    pub appends_per_second: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<LogRecord>,
    appended: Rc<Notify>,
}

#[derive(Debug)]
struct State {
    streams: SortedMap<Arc<str>, Stream>,
    switches: LogSwitches,
    outage_until_ms: u64,
    appends: u64,
    /// The current second and the number of appends in it.
    rate_window: (u64, u64),
    clock: Clock,
}

/// A running log service.
#[derive(Debug, Clone)]
pub struct LogStandin {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Debug, Serialize)]
struct Counts {
    appends: u64,
    streams: Vec<(Arc<str>, u64)>,
}

impl LogStandin {
    /// Binds an address and serves an empty log.
    pub fn bind(address: &str) -> io::Result<HttpServer> {
        let state = State {
            streams: SortedMap::default(),
            switches: LogSwitches::default(),
            outage_until_ms: 0,
            appends: 0,
            rate_window: (0, 0),
            clock: Clock::start(),
        };
        HttpServer::bind(
            address,
            http::limits(),
            Self {
                state: Rc::new(RefCell::new(state)),
            },
        )
    }

    async fn append(&self, stream: Arc<str>, request: EdgeRequest) -> EdgeResponse {
        let records: Vec<String> = match http::read_json(request).await {
            Ok(records) => records,
            Err(response) => return response,
        };
        if !self.take_append_permit() {
            return http::status(429);
        }
        let offset = self.append_records(stream, records);
        let is_lost = {
            let mut state = self.state.borrow_mut();
            let is_lost = state.switches.lose_answers > 0;
            state.switches.lose_answers -= u64::from(is_lost);
            is_lost
        };
        if is_lost {
            // Long enough that the client times out.
            sleep_ms(60_000).await;
        }
        json_response(200, &AppendResponse { offset })
    }

    fn take_append_permit(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let second = state.clock.now_ms() / 1_000;
        if state.rate_window.0 != second {
            state.rate_window = (second, 0);
        }
        let limit = state.switches.appends_per_second;
        if limit > 0 && state.rate_window.1 >= limit {
            return false;
        }
        state.rate_window.1 += 1;
        state.appends += 1;
        true
    }

    fn append_records(&self, name: Arc<str>, records: Vec<String>) -> u64 {
        let mut state = self.state.borrow_mut();
        let retention = state.switches.retention_records;
        let stream = state.streams.get_or_insert_with(name, Stream::default);
        let first = stream.first_offset + stream.records.len() as u64;
        for (at, data) in records.into_iter().enumerate() {
            stream.records.push_back(LogRecord {
                offset: first + at as u64,
                at_ms: unix_ms(),
                data,
            });
        }
        while retention > 0 && stream.records.len() > retention {
            stream.records.pop_front();
            stream.first_offset += 1;
        }
        stream.appended.notify_waiters();
        first
    }

    async fn read(&self, stream: Arc<str>, from: u64, wait_ms: u64) -> EdgeResponse {
        let (page, appended) = self.page(&stream, from);
        if !page.records.is_empty() || wait_ms == 0 {
            return json_response(200, &page);
        }
        within_ms(wait_ms, appended.notified()).await;
        json_response(200, &self.page(&stream, from).0)
    }

    fn page(&self, name: &Arc<str>, from: u64) -> (LogPage, Rc<Notify>) {
        let mut state = self.state.borrow_mut();
        let stream = state
            .streams
            .get_or_insert_with(name.clone(), Stream::default);
        let skipped = from.saturating_sub(stream.first_offset) as usize;
        let page = LogPage {
            first_offset: stream.first_offset,
            end_offset: stream.first_offset + stream.records.len() as u64,
            records: stream
                .records
                .iter()
                .skip(skipped)
                .take(PAGE_RECORDS)
                .cloned()
                .collect(),
        };
        (page, stream.appended.clone())
    }

    async fn set_switches(&self, request: EdgeRequest) -> EdgeResponse {
        let switches: LogSwitches = match http::read_json(request).await {
            Ok(switches) => switches,
            Err(response) => return response,
        };
        let mut state = self.state.borrow_mut();
        state.outage_until_ms = state.clock.now_ms() + switches.outage_ms;
        state.switches = switches;
        json_response(200, &switches)
    }

    fn counts(&self) -> EdgeResponse {
        let state = self.state.borrow();
        let streams = state.streams.iter();
        let streams =
            streams.map(|(name, s)| (name.clone(), s.first_offset + s.records.len() as u64));
        json_response(
            200,
            &Counts {
                appends: state.appends,
                streams: streams.collect(),
            },
        )
    }

    fn has_outage(&self) -> bool {
        let state = self.state.borrow();
        state.clock.now_ms() < state.outage_until_ms
    }
}

impl Handler for LogStandin {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        if parts == ["switches"] {
            return self.set_switches(request).await;
        }
        if parts == ["counts"] {
            return self.counts();
        }
        let slow_ms = self.state.borrow().switches.slow_ms;
        if slow_ms > 0 {
            sleep_ms(slow_ms).await;
        }
        if self.has_outage() {
            return http::status(503);
        }
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["streams", stream]) => self.append((*stream).into(), request).await,
            (&Method::GET, ["streams", stream]) => {
                let from = http::query_number(&request, "from").unwrap_or(0);
                let wait_ms = http::query_number(&request, "wait_ms").unwrap_or(0);
                self.read((*stream).into(), from, wait_ms).await
            }
            _ => http::status(404),
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
