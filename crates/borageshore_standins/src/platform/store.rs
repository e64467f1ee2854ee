//! A fake store of the platform with partitioned logs, keyed topics, long polls and injected faults.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    rc::Rc,
};

use borageshore_net::{
    Clock, EdgeRequest, EdgeResponse, Handler, HttpServer, full_body, json_response, read_body,
    sleep_ms, within_ms,
};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::Response;
use serde_json::json;
use tokio::sync::Notify;

use super::query_parameter;
use crate::http::{limits, status};

/// Maximum bytes of one read; the platform's default.
const READ_BYTES: usize = 1_024 * 1_024;

/// The injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// No fault.
    Up,
    /// Answers every call with 503.
    Busy,
    /// Answers every append with 503.
    BusyAppends,
    /// Never responds.
    Silent,
    /// Delays every call by this many ms.
    Slow(u64),
    /// Says of each list that there is more, and begins again behind its end.
    EndlessLists,
    /// Applies appends without responding to them.
    LostAnswers,
    /// Applies appends after this many ms if their condition still holds, without responding to them.
    DelayedAppends(u64),
}

#[derive(Debug, Clone)]
struct Record {
    offset: u64,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct Partition {
    end: u64,
    records: Vec<Record>,
    /// The newest record of each key, for keyed topics. Keys may be any bytes.
    newest: BTreeMap<Bytes, Record>,
}

impl Partition {
    fn first(&self) -> u64 {
        self.records
            .first()
            .map_or(self.end, |record| record.offset)
    }

    fn push(&mut self, bytes: Bytes) {
        let record = Record {
            offset: self.end,
            bytes,
        };
        self.end += 1;
        if let Some((key, value)) = split_key(&record.bytes) {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, record.clone());
            }
        }
        self.records.push(record);
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    mode: Cell<StoreMode>,
    partitions: RefCell<BTreeMap<(String, u64), Partition>>,
    /// The requests for the newest records of each topic.
    loads: RefCell<BTreeMap<String, usize>>,
    /// The appends to each topic.
    appends: RefCell<BTreeMap<String, usize>>,
    appended: Notify,
}

/// A running store.
#[derive(Debug, Clone)]
pub struct PlatformStore {
    shared: Rc<Shared>,
    server: HttpServer,
}

#[derive(Debug, Clone)]
struct Service(Rc<Shared>);

impl PlatformStore {
    /// Binds an address and serves an empty store.
    pub fn bind(address: &str) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            clock: Clock::start(),
            mode: Cell::new(StoreMode::Up),
            partitions: RefCell::default(),
            loads: RefCell::default(),
            appends: RefCell::default(),
            appended: Notify::new(),
        });
        let server = HttpServer::bind(address, limits(), Service(shared.clone()))?;
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault of calls that arrive from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.mode.set(mode);
    }

    /// Appends a keyed record as an operator or endpoint would, regardless of the mode. A key has at most 255 bytes.
    pub fn put<Key>(&self, topic: &str, key: Key, value: &[u8])
    where
        Key: AsRef<[u8]>,
    {
        let key = key.as_ref();
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).expect("keys have at most 255 bytes"));
        record.put_slice(key);
        record.put_slice(value);
        self.shared.append(topic, 0, vec![record.freeze()]);
    }

    /// The newest record of each key of a topic's first partition.
    pub fn newest(&self, topic: &str) -> Vec<(String, Bytes)> {
        let partitions = self.shared.partitions.borrow();
        let partition = partitions.get(&(topic.to_owned(), 0));
        let records = partition
            .into_iter()
            .flat_map(|partition| partition.newest.values());
        let keyed = records.filter_map(|record| split_key(&record.bytes));
        keyed.map(|(key, value)| (text(&key), value)).collect()
    }

    /// The number of keys in all topics whose names start with `topics`.
    pub fn key_count(&self, topics: &str) -> usize {
        let partitions = self.shared.partitions.borrow();
        let matching = partitions
            .iter()
            .filter(|((topic, _), _)| topic.starts_with(topics));
        matching.map(|(_, partition)| partition.newest.len()).sum()
    }

    /// The number of requests for the newest records of a topic, also those that were not answered.
    pub fn loads(&self, topic: &str) -> usize {
        self.shared.loads.borrow().get(topic).copied().unwrap_or(0)
    }

    /// The number of appends to a topic, also those that were not answered.
    pub fn appends(&self, topic: &str) -> usize {
        self.shared
            .appends
            .borrow()
            .get(topic)
            .copied()
            .unwrap_or(0)
    }

    /// Appends a record to each partition of the topics whose names start with `topics`, regardless of the mode.
    pub fn append_to_all(&self, topics: &str) {
        let mut partitions = self.shared.partitions.borrow_mut();
        let matching = partitions
            .iter_mut()
            .filter(|((topic, _), _)| topic.starts_with(topics));
        for (_, partition) in matching {
            partition.push(Bytes::from_static(b"\x05otherrecord"));
        }
        drop(partitions);
        self.shared.appended.notify_waiters();
    }

    /// Drops the log records of all topics; the newest record of each key is kept.
    pub fn drop_history(&self) {
        for partition in self.shared.partitions.borrow_mut().values_mut() {
            partition.records.clear();
        }
    }
}

impl Handler for Service {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let shared = &self.0;
        shared.count_call(&request);
        match shared.mode.get() {
            StoreMode::Busy => return status(503),
            StoreMode::BusyAppends if request.uri().path() == "/api/log-append" => {
                return status(503);
            }
            StoreMode::Silent => return pending().await,
            StoreMode::Slow(ms) => sleep_ms(ms).await,
            StoreMode::Up
            | StoreMode::BusyAppends
            | StoreMode::EndlessLists
            | StoreMode::LostAnswers
            | StoreMode::DelayedAppends(_) => {}
        }
        let path = request.uri().path().to_owned();
        let query_string = request.uri().query().unwrap_or_default().to_owned();
        match path.as_str() {
            "/api/log-append" => shared.on_append(&query_string, request).await,
            "/api/log-read" => shared.on_read(&query_string).await,
            "/api/log-newest" => shared.on_newest(&query_string),
            _ => status(404),
        }
    }
}

impl Shared {
    fn count_call(&self, request: &EdgeRequest) {
        let counts = match request.uri().path() {
            "/api/log-newest" => &self.loads,
            "/api/log-append" => &self.appends,
            _ => return,
        };
        let (topic, _) = topic_partition(request.uri().query().unwrap_or_default());
        *counts.borrow_mut().entry(topic).or_default() += 1;
    }

    async fn on_append(&self, query_string: &str, request: EdgeRequest) -> EdgeResponse {
        let Ok(body) = read_body(request.into_body(), limits()).await else {
            return status(400);
        };
        let (topic, partition) = topic_partition(query_string);
        let expected_end = query_parameter(query_string, "at").and_then(|at| at.parse().ok());
        let mode = self.mode.get();
        if let StoreMode::DelayedAppends(ms) = mode {
            sleep_ms(ms).await;
        }
        let end = self.end(&topic, partition);
        if expected_end.is_some_and(|expected_end: u64| expected_end != end) {
            return json_response(412, &json!({ "end": end }));
        }
        let offset = self.append(&topic, partition, split_records(body));
        if matches!(mode, StoreMode::LostAnswers | StoreMode::DelayedAppends(_)) {
            return pending().await;
        }
        let end = self.end(&topic, partition);
        json_response(200, &json!({ "offset": offset, "end": end }))
    }

    fn append(&self, topic: &str, partition: u64, records: Vec<Bytes>) -> u64 {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry((topic.to_owned(), partition)).or_default();
        let offset = partition.end;
        for record in records {
            partition.push(record);
        }
        drop(partitions);
        self.appended.notify_waiters();
        offset
    }

    fn end(&self, topic: &str, partition: u64) -> u64 {
        let partitions = self.partitions.borrow();
        let partition = partitions.get(&(topic.to_owned(), partition));
        partition.map_or(0, |partition| partition.end)
    }

    async fn on_read(&self, query_string: &str) -> EdgeResponse {
        let (topic, partition) = topic_partition(query_string);
        let number =
            |name| query_parameter(query_string, name).and_then(|value| value.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let deadline_ms = self.clock.now_ms() + number("wait_ms").unwrap_or(0);
        loop {
            let appended = self.appended.notified();
            let remaining_ms = deadline_ms.saturating_sub(self.clock.now_ms());
            if self.end(&topic, partition) > from || remaining_ms == 0 {
                break;
            }
            within_ms(remaining_ms, appended).await;
        }
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry((topic, partition)).or_default();
        if from < partition.first() {
            return json_response(410, &json!({ "first": partition.first() }));
        }
        let mut body = BytesMut::new();
        body.put_u64(partition.end);
        body.put_u64(partition.first());
        for record in partition
            .records
            .iter()
            .filter(|record| record.offset >= from)
        {
            if body.len() > READ_BYTES {
                break;
            }
            body.put_u32(record.bytes.len() as u32);
            body.put_slice(&record.bytes);
        }
        Response::new(full_body(body.freeze()))
    }

    fn on_newest(&self, query_string: &str) -> EdgeResponse {
        let (topic, partition) = topic_partition(query_string);
        let after = query_parameter(query_string, "after").unwrap_or_default();
        let after = Bytes::copy_from_slice(after.as_bytes());
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry((topic, partition)).or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = self.mode.get() == StoreMode::EndlessLists;
        let is_behind_end = partition.newest.keys().next_back() <= Some(&after);
        let after = match has_more && is_behind_end {
            true => Bytes::new(),
            false => after,
        };
        for (key, record) in partition.newest.range(after.clone()..) {
            if *key <= after && !after.is_empty() {
                continue;
            }
            if items.len() == 500 || bytes > READ_BYTES {
                has_more = true;
                break;
            }
            let (_, value) = split_key(&record.bytes).unwrap_or_default();
            bytes += value.len();
            let value = base64(&value);
            items.push(json!({ "key": text(key), "value": value, "offset": record.offset }));
        }
        let end = partition.end;
        json_response(
            200,
            &json!({ "items": items, "has_more": has_more, "end": end }),
        )
    }
}

fn topic_partition(query_string: &str) -> (String, u64) {
    let topic = query_parameter(query_string, "topic").unwrap_or_default();
    let partition = query_parameter(query_string, "part").and_then(|part| part.parse().ok());
    (topic.into_owned(), partition.unwrap_or(0))
}

/// A key as it is listed: JSON has no text for bytes that are not UTF-8.
fn text(key: &[u8]) -> String {
    String::from_utf8_lossy(key).into_owned()
}

fn split_records(mut body: Bytes) -> Vec<Bytes> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = body.get_u32() as usize;
        records.push(body.split_to(length.min(body.len())));
    }
    records
}

fn split_key(record: &Bytes) -> Option<(Bytes, Bytes)> {
    let end = 1 + usize::from(*record.first()?);
    (record.len() >= end).then(|| (record.slice(1..end), record.slice(end..)))
}

fn base64(bytes: &[u8]) -> String {
    use base64::{Engine as _, prelude::BASE64_STANDARD};
    BASE64_STANDARD.encode(bytes)
}
