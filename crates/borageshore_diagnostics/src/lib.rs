//! What a process shows of itself: log lines on standard output, counters and histograms as text.
//!
//! ```
//! use borageshore_diagnostics::Instruments;
//!
//! let instruments = Instruments::open();
//! instruments.count("requests", "done");
//! assert!(instruments.to_text().contains("borageshore_events"));
//! ```

mod bounded;
mod instruments;
mod logging;

pub use self::{
    bounded::{LineBudget, Verdict},
    instruments::Instruments,
    logging::{install_logger, set_level},
};
