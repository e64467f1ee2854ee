//! The platform's store: partitioned logs, kept in memory.

use std::{
    collections::BTreeMap,
    io,
    net::TcpStream,
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64,
    http::{Handler, Message, write_message},
};

/// The time that an append takes, as in the sheets of the installations.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// The limits of one call, as in the settings of the installations.
const MAX_APPEND_BYTES: usize = 2 * 1024 * 1024;
const MAX_RECORD_BYTES: usize = 256 * 1024;
/// The limits of one page of the newest records.
const MAX_PAGE_RECORDS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

type Partition = Vec<Vec<u8>>;
type Partitions = BTreeMap<(String, u64), Partition>;

/// The store; it loses nothing.
#[derive(Debug, Default)]
pub struct Store {
    partitions: Mutex<Partitions>,
    appended: Condvar,
}

/// The key and the value of a record of a keyed topic.
fn key_and_value(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let key_bytes = usize::from(*record.first()?);
    record.get(1..)?.split_at_checked(key_bytes)
}

impl Store {
    /// Writes a record as the operator or a replica does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut partitions = self.partitions.lock().unwrap();
        partitions
            .entry((topic.to_owned(), 0))
            .or_default()
            .push(record);
        self.appended.notify_all();
    }

    fn append(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some(records) = split_records(&request.body) else {
            return (400, Vec::new());
        };
        let too_long = records.iter().any(|record| record.len() > MAX_RECORD_BYTES);
        if too_long || request.body.len() > MAX_APPEND_BYTES {
            return (413, Vec::new());
        }
        thread::sleep(APPEND_TIME);
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(place(request)).or_default();
        let offset = partition.len();
        let at: Option<usize> = request.query("at").and_then(|at| at.parse().ok());
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        partition.extend(records);
        let end = partition.len();
        self.appended.notify_all();
        let answer = format!("{{\"offset\":{offset},\"end\":{end}}}");
        (200, answer.into_bytes())
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let max_bytes = number("fetch_max").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let place = place(request);
        let mut partitions = self.partitions.lock().unwrap();
        while partitions.get(&place).map_or(0, Vec::len) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            partitions = self.appended.wait_timeout(partitions, left).unwrap().0;
        }
        let partition = partitions.get(&place).map_or(&[][..], Vec::as_slice);
        let mut page = (partition.len() as u64).to_be_bytes().to_vec();
        page.extend_from_slice(&0_u64.to_be_bytes());
        for record in partition.iter().skip(from) {
            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
            page.extend_from_slice(record);
            if page.len() >= max_bytes {
                break;
            }
        }
        (200, page)
    }

    fn newest(&self, request: &Message) -> (u16, Vec<u8>) {
        let after = request.query("after").unwrap_or_default();
        let partitions = self.partitions.lock().unwrap();
        let partition = partitions.get(&place(request));
        let partition = partition.map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in partition.iter().enumerate() {
            if let Some((key, value)) = key_and_value(record) {
                newest.insert(key, (value, offset));
            }
        }
        newest.retain(|key, (value, _)| !value.is_empty() && *key > after.as_bytes());
        let mut items = Vec::new();
        let mut bytes = 0;
        for (key, (value, offset)) in &newest {
            if items.len() == MAX_PAGE_RECORDS || bytes >= MAX_PAGE_BYTES {
                break;
            }
            bytes += key.len() + value.len();
            let (key, value) = (String::from_utf8_lossy(key), base64::encode(value));
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let page = format!(
            "{{\"items\":[{}],\"has_more\":{},\"end\":{}}}",
            items.join(","),
            items.len() < newest.len(),
            partition.len()
        );
        (200, page.into_bytes())
    }
}

impl Handler for Store {
    fn handle(&self, request: Message, stream: &mut TcpStream) -> io::Result<()> {
        let (status, body) = match request.path() {
            "/api/log-append" => self.append(&request),
            "/api/log-read" => self.read(&request),
            "/api/log-newest" => self.newest(&request),
            _ => (404, Vec::new()),
        };
        write_message(stream, &format!("HTTP/1.1 {status} Answer"), &[], &body)
    }
}

fn place(request: &Message) -> (String, u64) {
    let topic = request.query("topic").unwrap_or_default().to_owned();
    let part = request.query("part").and_then(|part| part.parse().ok());
    (topic, part.unwrap_or(0))
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}
