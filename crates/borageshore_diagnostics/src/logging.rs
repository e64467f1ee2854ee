//! Logs as JSON lines.

use std::{io, sync::Arc};

use log::{
    LevelFilter,
    kv::{self, Key, Value as FieldValue, VisitSource},
};
use serde::Serialize;
use serde_json::{Map, Value};

#[derive(Debug, Serialize)]
struct Line<'l> {
    at: String,
    level: &'l str,
    daemon: &'l str,
    target: &'l str,
    message: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
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

/// Sends log lines to standard error; the settings tree changes the level later on.
pub fn install_logger(daemon: &Arc<str>) -> Result<(), log::SetLoggerError> {
    let daemon = daemon.clone();
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .format(move |out, message, record| {
            let mut fields = Fields::default();
            // A field that cannot be shown is left out; the line is worth more than the field.
            let _ = record.key_values().visit(&mut fields);
            let line = Line {
                at: jiff::Timestamp::now().to_string(),
                level: record.level().as_str(),
                daemon: &daemon,
                target: record.target(),
                message: message.to_string(),
                fields: fields.0,
            };
            let encoded = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{encoded}"));
        })
        .chain(io::stderr());
    dispatch.apply()?;
    log::set_max_level(LevelFilter::Info);
    Ok(())
}

/// Follows the level in the settings tree.
pub(crate) fn set_level(name: &str) {
    let level = name.parse().unwrap_or(LevelFilter::Info);
    if log::max_level() != level {
        log::set_max_level(level);
        log::info!("log level is now {level}");
    }
}
