//! Logs as JSON lines.

use std::{io, sync::Arc};

use log::LevelFilter;
use serde::Serialize;

#[derive(Debug, Serialize)]
struct Line<'l> {
    at: String,
    level: &'l str,
    daemon: &'l str,
    target: &'l str,
    message: String,
}

/// Sends log lines to standard error; the settings tree changes the level later on.
pub fn install_logger(daemon: &Arc<str>) -> Result<(), log::SetLoggerError> {
    let daemon = daemon.clone();
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .format(move |out, message, record| {
            let line = Line {
                at: jiff::Timestamp::now().to_string(),
                level: record.level().as_str(),
                daemon: &daemon,
                target: record.target(),
                message: message.to_string(),
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
