//! What a process shows of itself: log lines on standard output, counters and histograms as text.
//!
//! ```
//! use borageshore_diagnostics::Instruments;
//!
//! let instruments = Instruments::open();
//! instruments.count("requests", "done");
//! let text = String::from_utf8(instruments.to_text()).unwrap();
//! assert!(text.contains("borageshore_events"));
//! ```

mod bounded;
mod exposition;
mod instruments;
mod logging;

pub use self::{
    bounded::{LineDecision, LogRateLimiter},
    exposition::Exposition,
    instruments::Instruments,
    logging::{install_logger, set_level},
};
