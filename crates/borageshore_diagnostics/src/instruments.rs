//! The metrics of a daemon, recorded by OpenTelemetry instruments.

use std::sync::Arc;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::exposition::Exposition;

/// The bucket bounds of the duration histogram. They reach from a response of the store to the deadline of a step.
const DURATION_BOUNDS_MS: [f64; 14] = [
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0,
    12_000.0,
];

/// The instruments of a daemon.
#[derive(Debug)]
pub struct Instruments {
    exposition: Exposition,
    events: Counter<u64>,
    durations_ms: Histogram<f64>,
    state: Gauge<u64>,
}

impl Instruments {
    /// Creates the instruments.
    pub fn open() -> Self {
        let exposition = Exposition::open();
        let meter = exposition.meter();
        Self {
            events: meter.u64_counter("borageshore_events").build(),
            durations_ms: meter
                .f64_histogram("borageshore_duration_ms")
                .with_boundaries(DURATION_BOUNDS_MS.to_vec())
                .build(),
            state: meter.u64_gauge("borageshore_state").build(),
            exposition,
        }
    }

    /// Counts an event `what` with its outcome.
    pub fn count(&self, what: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("what", what),
            KeyValue::new("outcome", outcome),
        ];
        self.events.add(1, &labels);
    }

    /// Counts an event `what` with its outcome at a service.
    pub fn count_at(&self, what: &'static str, outcome: &'static str, service: &Arc<str>) {
        let labels = [
            KeyValue::new("what", what),
            KeyValue::new("outcome", outcome),
            KeyValue::new("service", service.clone()),
        ];
        self.events.add(1, &labels);
    }

    /// Records the duration of `what`.
    pub fn record_ms(&self, what: &'static str, duration_ms: u64) {
        let labels = [KeyValue::new("what", what)];
        self.durations_ms.record(duration_ms as f64, &labels);
    }

    /// Sets the gauge of `what`.
    pub fn set(&self, what: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("what", what)]);
    }

    /// Sets the gauge of `what` for one of its kinds.
    pub fn set_kind(&self, what: &'static str, kind: &'static str, value: u64) {
        let labels = [KeyValue::new("what", what), KeyValue::new("kind", kind)];
        self.state.record(value, &labels);
    }

    /// Sets the gauge of `what` for a service.
    pub fn set_at(&self, what: &'static str, service: &Arc<str>, value: u64) {
        let labels = [
            KeyValue::new("what", what),
            KeyValue::new("service", service.clone()),
        ];
        self.state.record(value, &labels);
    }

    /// Encodes all instruments as Prometheus text.
    pub fn to_text(&self) -> Vec<u8> {
        self.exposition.to_text()
    }
}
