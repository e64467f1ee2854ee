//! The settings of one daemon process on the platform.

use std::sync::Arc;

use borageshore_base::{Fault, ResultCode};
use borageshore_settings::{FileFault, malformed};
use borageshore_usage::UsageTiming;
use serde::Deserialize;

use crate::mechanisms::Mechanism;

/// The settings of one daemon process, read at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayConfig {
    /// The VM's name; one daemon runs on a VM.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub http_address: Arc<str>,
    /// Where the platform asks whether this daemon takes callers.
    pub ready_address: Arc<str>,
    /// Where callers ask which addresses to use.
    pub directory_address: Arc<str>,
    /// Where other daemons have their calls to the store passed on.
    pub peer_address: Arc<str>,
    /// Where counters and histograms are served as text.
    pub metrics_address: Arc<str>,
    /// The part of a core that the process may use.
    pub processor_share: f64,
    /// The platform's store.
    pub store_address: Arc<str>,
    /// The number of partitions of a topic.
    pub store_partitions: u64,
    /// How long a caller may keep a list of addresses.
    pub address_ttl_s: u64,
    /// The time from SIGTERM to SIGKILL.
    pub stop_grace_s: u64,
    /// How long after its submission a result can be read.
    pub results_kept_s: u64,
    /// Orders of two holders to one engine are at least this far apart.
    pub order_lease_ms: u64,
    /// How long after a key was taken away requests with it may still run; without it, as long as the store is away.
    #[serde(default)]
    pub key_revocation_ms: Option<u64>,
    /// The platform's duties; none if it has none.
    #[serde(default)]
    pub duties: Option<DutyConfig>,
    /// The share of the engines that load weights at once without slowing each other.
    pub parallel_loads_percent: usize,
    /// The share of a model's engines that load each version.
    pub load_share_percent: usize,
    /// Mechanisms that are switched off, to measure what each is worth; none otherwise.
    #[serde(default)]
    pub mechanisms_off: Vec<Mechanism>,
}

/// What the platform wants of one daemon at a time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutyConfig {
    /// Where its calls go.
    pub address: Arc<str>,
    /// The length of a window of usage; without it, usage is not reported.
    pub usage_window_s: Option<u64>,
    /// A window's report is due so long after its end.
    pub usage_late_s: Option<u64>,
}

impl DutyConfig {
    /// The times of reports of usage, if they are wanted.
    pub fn usage_timing(&self) -> Option<UsageTiming> {
        Some(UsageTiming {
            window_ms: self.usage_window_s? * 1_000,
            report_deadline_ms: self.usage_late_s? * 1_000,
        })
    }

    fn check(&self) -> Result<(), &'static str> {
        match (self.usage_window_s, self.usage_late_s) {
            (Some(0), _) => Err("duties.usage_window_s: 0 is no length"),
            (Some(_), None) => Err("duties.usage_late_s: missing"),
            (None, Some(_)) => Err("duties.usage_window_s: missing"),
            _ => Ok(()),
        }
    }
}

impl GatewayConfig {
    /// Reads the text of a file; a fault names the file, the line and the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, FileFault> {
        let config: Self = serde_saphyr::from_str(text).map_err(|error| malformed(file, &error))?;
        let checked = config.duties.as_ref().map_or(Ok(()), DutyConfig::check);
        checked.map_err(|reason| FileFault {
            file: file.into(),
            line: None,
            fault: Fault::new(ResultCode::OutOfRange, reason),
        })?;
        Ok(config)
    }
}
