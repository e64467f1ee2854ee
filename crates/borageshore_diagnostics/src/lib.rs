//! Observability: log lines on standard output and metrics as Prometheus text.
//!
//! ```
//! use borageshore_diagnostics::Instruments;
//!
//! let instruments = Instruments::open();
//! instruments.count("requests", "done");
//! let text = String::from_utf8(instruments.to_text()).unwrap();
//! assert!(text.contains("borageshore_events"));
//! ```

mod exposition;
mod instruments;
mod log_once;
mod logging;
mod rate_limit;

pub use self::{
    exposition::Exposition,
    instruments::Instruments,
    log_once::LogOnce,
    logging::{install_logger, set_level},
    rate_limit::{LineDecision, LogRateLimiter},
};
