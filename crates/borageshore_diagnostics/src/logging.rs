//! Logs as JSON lines on standard output, bounded, and never waited for.

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

/// A pipe takes a line up to this length whole or not at all.
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

/// Collects the fields of a record.
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
    // All lines of a daemon come from its one thread.
    static RATE_LIMITER: RefCell<LogRateLimiter> = RefCell::default();
}

/// Sends log lines to standard output; a line that cannot be written at once is dropped and counted.
///
/// Guards against a reader of the logs that stands still: a full pipe would stop the one loop of the
/// process, and with it every request.
pub fn install_logger(daemon: &Arc<str>) -> Result<(), log::SetLoggerError> {
    let daemon = daemon.clone();
    let started = Instant::now();
    // Where standard output cannot be switched, it is a file, which is always ready.
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
    // A field that cannot be shown is left out; the line is worth more than the field.
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

/// Writes a line at once; a pipe that is full takes none of it.
fn write_whole(line: &[u8]) -> rustix::io::Result<()> {
    rustix::io::write(stdio::stdout(), line).map(|_| ())
}

/// Follows the level in the settings tree.
pub fn set_level(name: &str) {
    let level = name.parse().unwrap_or(LevelFilter::Info);
    if log::max_level() != level {
        log::set_max_level(level);
        log::info!("log level is now {level}");
    }
}
