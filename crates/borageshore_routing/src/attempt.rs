//! The state of an attempt to run a request at an endpoint.

use std::sync::OnceLock;

use borageshore_chart::Chart;
use serde::Deserialize;

/// The state of an attempt; its transitions are in `charts/attempt.yaml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// No endpoint is chosen yet.
    Waiting,
    /// A connection is being opened.
    Connecting,
    /// The connection is open and nothing was sent.
    Connected,
    /// Bytes of the request may have reached the endpoint.
    HandedOver,
    /// The request certainly did not run.
    NotRun,
    /// Whether the request ran cannot be known.
    Unknown,
    /// The request ran and its answer arrived.
    Done,
}

/// An event that changes the state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEvent {
    /// An endpoint was chosen.
    Start,
    /// The connection is open.
    Connected,
    /// The first byte of the request is about to be sent.
    Sent,
    /// The endpoint reported that it refused the request without running it.
    Refused,
    /// The whole answer arrived.
    Answered,
    /// The connection failed or timed out.
    Lost,
    /// The deadline passed.
    Expired,
}

/// What is known of whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It did not run.
    NotRun,
    /// It ran.
    Done,
    /// It may have run.
    Unknown,
}

/// The state chart of attempts.
pub fn attempt_chart() -> &'static Chart<AttemptState, AttemptEvent> {
    static CHART: OnceLock<Chart<AttemptState, AttemptEvent>> = OnceLock::new();
    CHART.get_or_init(|| {
        Chart::open(include_str!("../charts/attempt.yaml")).expect("the chart is checked by a test")
    })
}

/// An attempt to run a request at one endpoint.
#[derive(Debug)]
pub struct Attempt {
    state: AttemptState,
}

impl Attempt {
    /// Creates an attempt in the initial state.
    pub fn open() -> Self {
        Self {
            state: attempt_chart().initial(),
        }
    }

    /// Applies an event.
    pub fn on_event(&mut self, event: AttemptEvent) {
        self.state = attempt_chart().next(self.state, event);
    }

    /// The outcome if no further event arrives.
    pub fn outcome(&self) -> Outcome {
        match self.state {
            AttemptState::Done => Outcome::Done,
            AttemptState::HandedOver | AttemptState::Unknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns whether another attempt may follow: this one certainly did not run, or the request is
    /// idempotent and the outcome unknown.
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
