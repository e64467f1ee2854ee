//! Export of OpenTelemetry instruments as Prometheus text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// A meter provider with a Prometheus exporter.
#[derive(Debug)]
pub struct Exposition {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Creates an exposition without instruments.
    pub fn open() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// Returns the meter that creates instruments; they record while the exposition exists.
    pub fn meter(&self) -> Meter {
        self.provider.meter("borageshore")
    }

    /// Encodes all instruments as Prometheus text.
    pub fn to_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:% = error; "metrics cannot be encoded");
        }
        text
    }
}
