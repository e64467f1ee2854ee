//! OpenTelemetry metrics, exposed in the Prometheus text format.

use borageshore_base::ResultCode;
use borageshore_diagnostics::Exposition;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// Metric instruments of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    request_duration_ms: Histogram<u64>,
    retries: Counter<u64>,
    dropped_chunks: Counter<u64>,
    settings_lag_ms: Histogram<u64>,
    control_bytes: Counter<u64>,
    gauges: Gauge<u64>,
}

/// Direction of control traffic.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Direction {
    Sent,
    Received,
}

impl Metrics {
    /// Creates the instruments.
    pub(crate) fn open() -> Self {
        let exposition = Exposition::open();
        let meter = exposition.meter();
        Self {
            requests: meter.u64_counter("borageshore_requests").build(),
            request_duration_ms: meter
                .u64_histogram("borageshore_request_duration_ms")
                .build(),
            retries: meter.u64_counter("borageshore_retries").build(),
            dropped_chunks: meter.u64_counter("borageshore_dropped_chunks").build(),
            settings_lag_ms: meter
                .u64_histogram("borageshore_settings_in_force_lag_ms")
                .build(),
            control_bytes: meter.u64_counter("borageshore_control_bytes").build(),
            gauges: meter.u64_gauge("borageshore_state").build(),
            exposition,
        }
    }

    /// Records an answered request and its duration.
    pub(crate) fn on_request(&self, route: &'static str, code: ResultCode, duration_ms: u64) {
        let labels = [
            KeyValue::new("route", route),
            KeyValue::new("code", i64::from(code.number())),
        ];
        self.requests.add(1, &labels);
        self.request_duration_ms.record(duration_ms, &labels[..1]);
    }

    /// Counts a retry.
    pub(crate) fn on_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a chunk dropped because it belongs to another request or is out of order.
    pub(crate) fn on_dropped_chunk(&self) {
        self.dropped_chunks.add(1, &[]);
    }

    /// Records the time between the append of a settings change and its processing here.
    pub(crate) fn on_settings_in_force(&self, lag_ms: u64) {
        self.settings_lag_ms.record(lag_ms, &[]);
    }

    /// Counts bytes of control traffic: gossip, streams, VM lists and load reports.
    pub(crate) fn on_control_bytes(
        &self,
        channel: &'static str,
        direction: Direction,
        bytes: usize,
    ) {
        let direction = match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        };
        let labels = [
            KeyValue::new("channel", channel),
            KeyValue::new("direction", direction),
        ];
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Sets the state gauge with the label `what`.
    pub(crate) fn set_state(&self, what: &'static str, value: u64) {
        self.gauges.record(value, &[KeyValue::new("what", what)]);
    }

    /// Encodes all instruments in the Prometheus text format.
    pub(crate) fn to_text(&self) -> Vec<u8> {
        self.exposition.to_text()
    }
}
