//! Rate-limited, non-blocking logging of JSON lines to standard output.

use std::{cell::RefCell, sync::Arc, time::Instant};

use log::{
    Level, LevelFilter, Record,
    kv::{self, Key, Value as FieldValue, VisitSource},
};
use rustix::{
    fs::{OFlags, fcntl_getfl, fcntl_setfl},
    stdio,
};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::rate_limit::{LineDecision, LogRateLimiter};

/// The maximum length of a line. A non-blocking write of up to `PIPE_BUF` (4,096) bytes to a pipe is
/// atomic.
const MAX_LINE_BYTES: usize = 4_000;

#[derive(Debug, Serialize)]
struct Line<'l> {
    at: String,
    level: &'l str,
    daemon: &'l str,
    target: &'l str,
    message: String,
    #[serde(skip_serializing_if = "is_zero")]
    dropped_before: u64,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Collects the key-value pairs of a record.
#[derive(Debug, Default)]
struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: FieldValue<'kvs>) -> Result<(), kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

thread_local! {
    // A daemon logs from a single thread.
    static RATE_LIMITER: RefCell<LogRateLimiter> = RefCell::default();
}

/// Installs a logger that writes to standard output; a line that would block is dropped and counted.
///
/// A blocking write to a full pipe would stall the event loop, and with it every request.
pub fn install_logger(daemon: &Arc<str>) -> Result<(), log::SetLoggerError> {
    let daemon = daemon.clone();
    let started = Instant::now();
    // If standard output cannot be made non-blocking, lines are written in blocking mode.
    if let Ok(flags) = fcntl_getfl(stdio::stdout()) {
        let _ = fcntl_setfl(stdio::stdout(), flags | OFlags::NONBLOCK);
    }
    let write = move |record: &Record<'_>| {
        let now_ms = started.elapsed().as_millis() as u64;
        let is_fault = record.level() <= Level::Warn;
        let decision = RATE_LIMITER.with_borrow_mut(|limiter| limiter.on_line(now_ms, is_fault));
        if let LineDecision::Write { dropped_before } = decision {
            let line = encode(&daemon, record, dropped_before);
            if write_whole(&line).is_err() {
                RATE_LIMITER.with_borrow_mut(LogRateLimiter::on_dropped);
            }
        }
    };
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .chain(fern::Output::call(write));
    dispatch.apply()?;
    log::set_max_level(LevelFilter::Info);
    Ok(())
}

fn encode(daemon: &str, record: &Record<'_>, dropped_before: u64) -> Vec<u8> {
    let mut fields = Fields::default();
    // A field that cannot be encoded is left out, so that the line is still written.
    let _ = record.key_values().visit(&mut fields);
    let line = Line {
        at: jiff::Timestamp::now().to_string(),
        level: record.level().as_str(),
        daemon,
        target: record.target(),
        message: record.args().to_string(),
        dropped_before,
        fields: fields.0,
    };
    let mut encoded = serde_json::to_vec(&line).unwrap_or_default();
    encoded.truncate(MAX_LINE_BYTES);
    encoded.push(b'\n');
    encoded
}

/// Writes a line without blocking; a full pipe accepts none of it.
fn write_whole(line: &[u8]) -> rustix::io::Result<()> {
    rustix::io::write(stdio::stdout(), line).map(|_| ())
}

/// Sets the log level by name; an unknown name sets `info`.
pub fn set_level(name: &str) {
    let level = name.parse().unwrap_or(LevelFilter::Info);
    if log::max_level() != level {
        log::set_max_level(level);
        log::info!("log level is now {level}");
    }
}
