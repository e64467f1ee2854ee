//! Instruments of a meter, read as Prometheus text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Collects what the instruments of its meter record.
#[derive(Debug)]
pub struct Exposition {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Opens an exposition without instruments.
    pub fn open() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// The meter that makes instruments; they work as long as the exposition lives.
    pub fn meter(&self) -> Meter {
        self.provider.meter("borageshore")
    }

    /// All instruments as Prometheus text.
    pub fn to_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:% = error; "metrics cannot be encoded");
        }
        text
    }
}
