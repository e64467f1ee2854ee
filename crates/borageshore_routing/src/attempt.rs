//! The outcome of handing a request to an endpoint.

use std::sync::OnceLock;

use borageshore_chart::Chart;
use serde::Deserialize;

/// Where an attempt stands; the chart in `charts/attempt.yaml` says what leads where.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// Not given to any endpoint yet.
    Waiting,
    /// A connection is being opened.
    Connecting,
    /// A connection is there, nothing was sent.
    Connected,
    /// Bytes of the request may have reached the endpoint.
    HandedOver,
    /// It certainly did not run.
    NotRun,
    /// Nobody can say whether it ran.
    Unknown,
    /// It ran, and the answer is here.
    Done,
}

/// What happens to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEvent {
    /// An endpoint was chosen.
    Start,
    /// The connection is open.
    Connected,
    /// The first byte of the request is about to be sent.
    Sent,
    /// The endpoint says that it refused the request before running it.
    Refused,
    /// The whole answer came.
    Answered,
    /// The connection failed or went silent.
    Lost,
    /// The deadline passed.
    Expired,
}

/// What may truthfully be told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It did not run.
    NotRun,
    /// It ran.
    Done,
    /// It may have run.
    Unknown,
}

/// The chart of an attempt.
pub fn attempt_chart() -> &'static Chart<AttemptState, AttemptEvent> {
    static CHART: OnceLock<Chart<AttemptState, AttemptEvent>> = OnceLock::new();
    CHART.get_or_init(|| {
        Chart::open(include_str!("../charts/attempt.yaml")).expect("the chart is checked by a test")
    })
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt {
    state: AttemptState,
}

impl Attempt {
    /// Opens an attempt that nothing has happened to.
    pub fn open() -> Self {
        Self {
            state: attempt_chart().initial(),
        }
    }

    /// Notes an event.
    pub fn on_event(&mut self, event: AttemptEvent) {
        self.state = attempt_chart().next(self.state, event);
    }

    /// What may be told if nothing more happens.
    pub fn outcome(&self) -> Outcome {
        match self.state {
            AttemptState::Done => Outcome::Done,
            AttemptState::HandedOver | AttemptState::Unknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Says whether another attempt may follow: only when this one certainly did not run, or when
    /// running twice does no harm.
    pub fn may_retry(&self, idempotent: Idempotent) -> bool {
        match self.outcome() {
            Outcome::NotRun => true,
            Outcome::Unknown => idempotent == Idempotent::Yes,
            Outcome::Done => false,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotent {
    /// Running it again has no further effect.
    Yes,
    /// It must run at most once.
    No,
}
