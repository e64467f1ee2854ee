//! The settings of one daemon process on the platform.

use std::sync::Arc;

use borageshore_base::{Fault, ResultCode};
use borageshore_batch::most_started;
use borageshore_feed::FeedLimits;
use borageshore_net::MemoryLimits;
use borageshore_platform::{DutyKind, Features};
use borageshore_routing::ColdBounds;
use borageshore_settings::{FileFault, malformed_file};
use borageshore_topology::Topology;
use borageshore_usage::UsageTiming;
use serde::Deserialize;

use crate::mechanisms::Mechanism;

/// The memory that the process may use if the settings do not say: what the users allow a daemon for control.
const DEFAULT_MEMORY_MB: u64 = 256;
/// The share of the process's memory for items that were started and have no result yet, in percent.
const STARTED_ITEMS_PERCENT: u64 = 10;

/// The largest bound on requests to cold endpoints that makes sense.
const MAX_COLD_BOUND: f64 = 1_000.0;

/// The settings of one daemon process, read at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayConfig {
    /// The VM's name; one daemon runs on a VM.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The region of each zone of the deployment; without it, all zones count as one region.
    #[serde(default)]
    pub zone_regions: Vec<ZoneRegion>,
    /// Where callers connect.
    pub http_address: Arc<str>,
    /// Where the platform checks whether this daemon is ready.
    pub ready_address: Arc<str>,
    /// Where callers request the list of addresses.
    pub directory_address: Arc<str>,
    /// Where other daemons send heartbeats, store calls to forward, and quarantine and clock messages.
    pub peer_address: Arc<str>,
    /// Where counters and histograms are served as text.
    pub metrics_address: Arc<str>,
    /// The CPU share of the process, as a fraction of a core.
    pub processor_share: f64,
    /// The platform's store.
    pub store_address: Arc<str>,
    /// Tells the daemons of different deployments apart, which pass nothing on to each other; without it, the store's
    /// address does.
    #[serde(default)]
    pub deployment: Option<Arc<str>>,
    /// The number of partitions of a topic.
    pub store_partitions: u64,
    /// The read calls a second that the store allows all daemons together; without it, any number.
    #[serde(default)]
    pub store_reads_per_s: Option<f64>,
    /// The megabytes a second that the store's reads return to all daemons together; without it, any number.
    #[serde(default)]
    pub store_read_mb_per_s: Option<f64>,
    /// Whether all daemons start for the first time now.
    #[serde(default)]
    pub is_first_start: bool,
    /// How long a caller may keep an address list.
    pub address_ttl_s: u64,
    /// The time from SIGTERM to SIGKILL.
    pub stop_grace_s: u64,
    /// How long results can be read after their submission.
    pub results_kept_s: u64,
    /// The minimum time between orders of two holders to one engine.
    pub order_lease_ms: u64,
    /// How long requests with a revoked key may still run; without it, as long as the store is unreachable.
    #[serde(default)]
    pub key_revocation_ms: Option<u64>,
    /// The factor by which all daemons together may exceed what a cold endpoint tolerates in a second; without it, cold
    /// endpoints are sent to like others.
    #[serde(default)]
    pub cold_excess: Option<f64>,
    /// The requests to a cold endpoint in a second beyond that.
    #[serde(default)]
    pub cold_slack: Option<f64>,
    /// The names by which the deployment says what it expects of the system; see [`Features`].
    #[serde(default)]
    pub features: Vec<Arc<str>>,
    /// The memory that the process may use; without it, or with 0, 256 MB.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// The platform's duties, if it has any.
    #[serde(default)]
    pub duties: Option<DutyConfig>,
    /// The share of the engines that may load weights at once, in percent.
    pub parallel_loads_percent: usize,
    /// The share of a model's engines that load each version, in percent.
    pub load_share_percent: usize,
    /// Mechanisms that are switched off for comparison; empty in production.
    #[serde(default)]
    pub mechanisms_off: Vec<Mechanism>,
}

/// The region of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRegion {
    /// The zone.
    pub zone: Arc<str>,
    /// The region that it belongs to.
    pub region: Arc<str>,
}

/// The duties that the platform expects of one daemon at a time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutyConfig {
    /// The platform's address for calls of the duties.
    pub address: Arc<str>,
    /// The duties that the platform expects.
    #[serde(default)]
    pub kinds: Vec<DutyKind>,
    /// The length of a usage window; without it, usage is not reported.
    pub usage_window_s: Option<u64>,
    /// The deadline of a window's report, counted from the window's end.
    pub usage_late_s: Option<u64>,
}

impl DutyConfig {
    /// The timing of usage reports, if they are configured.
    pub fn usage_timing(&self) -> Option<UsageTiming> {
        Some(UsageTiming {
            window_ms: self.usage_window_s? * 1_000,
            report_deadline_ms: self.usage_late_s? * 1_000,
        })
    }

    /// Whether the platform takes orders for endpoints.
    pub(crate) fn has_endpoint_orders(&self) -> bool {
        self.kinds.contains(&DutyKind::EndpointOrders)
    }

    fn check(&self) -> Result<(), &'static str> {
        match (self.usage_window_s, self.usage_late_s) {
            (Some(0), _) => Err("duties.usage_window_s: must not be 0"),
            (Some(_), None) => Err("duties.usage_late_s: missing"),
            (None, Some(_)) => Err("duties.usage_window_s: missing"),
            _ => Ok(()),
        }
    }
}

impl GatewayConfig {
    /// The name of the deployment in messages between daemons.
    pub(crate) fn deployment(&self) -> Arc<str> {
        self.deployment
            .as_ref()
            .unwrap_or(&self.store_address)
            .clone()
    }

    /// The deployment's zones and regions, seen from this daemon's zone.
    pub(crate) fn topology(&self) -> Topology {
        let pair = |entry: &ZoneRegion| (entry.zone.clone(), entry.region.clone());
        Topology::open(
            self.zone.clone(),
            self.zone_regions.iter().map(pair).collect(),
        )
    }

    /// Each zone has one region.
    fn check_zone_regions(&self) -> Result<(), &'static str> {
        let mut zones: Vec<&Arc<str>> = self.zone_regions.iter().map(|entry| &entry.zone).collect();
        zones.sort_unstable();
        match zones.windows(2).any(|pair| pair[0] == pair[1]) {
            true => Err("zone_regions: a zone stands twice"),
            false => Ok(()),
        }
    }

    /// What the deployment expects beyond the basic service.
    pub(crate) fn features(&self) -> Features {
        Features::decode(&self.features)
    }

    /// Limits on what is held for callers.
    pub fn memory_limits(&self) -> MemoryLimits {
        MemoryLimits::of_process(self.memory_mb())
    }

    /// The memory that the process may use.
    pub(crate) fn memory_mb(&self) -> u64 {
        let stated_mb = self.memory_mb.filter(|memory_mb| *memory_mb > 0);
        stated_mb.unwrap_or(DEFAULT_MEMORY_MB)
    }

    /// The started items that fit into the process's memory.
    pub(crate) fn most_started_items(&self) -> u64 {
        let memory_bytes = self.memory_mb() * 1024 * 1024;
        most_started(memory_bytes / 100 * STARTED_ITEMS_PERCENT)
    }

    /// What the store gives to all daemons together.
    pub(crate) fn feed_limits(&self) -> FeedLimits {
        FeedLimits {
            read_bytes_per_s: self.store_read_mb_per_s.map(|mb| (mb * 1e6) as u64),
            reads_per_s: self.store_reads_per_s.map(|reads| reads as u64),
        }
    }

    /// How far requests to cold endpoints may exceed what these tolerate.
    pub(crate) fn cold_bounds(&self) -> Option<ColdBounds> {
        Some(ColdBounds {
            excess: self.cold_excess?,
            slack: self.cold_slack.unwrap_or(0.0),
        })
    }

    fn check_cold_bounds(&self) -> Result<(), &'static str> {
        let is_valid =
            |bound: Option<f64>| bound.is_none_or(|bound| (0.0..=MAX_COLD_BOUND).contains(&bound));
        if !is_valid(self.cold_excess) {
            return Err("cold_excess: must be from 0 to 1000");
        }
        if !is_valid(self.cold_slack) {
            return Err("cold_slack: must be from 0 to 1000");
        }
        Ok(())
    }

    fn check_store_limits(&self) -> Result<(), &'static str> {
        let is_positive = |limit: Option<f64>| limit.is_none_or(|limit| limit > 0.0);
        if !is_positive(self.store_reads_per_s) {
            return Err("store_reads_per_s: must be above 0");
        }
        if !is_positive(self.store_read_mb_per_s) {
            return Err("store_read_mb_per_s: must be above 0");
        }
        Ok(())
    }

    /// Parses the text of a settings file; a fault names the file, the line and the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, FileFault> {
        let config: Self =
            serde_saphyr::from_str(text).map_err(|error| malformed_file(file, &error))?;
        let duties = config.duties.as_ref().map_or(Ok(()), DutyConfig::check);
        duties
            .and(config.check_store_limits())
            .and(config.check_zone_regions())
            .and(config.check_cold_bounds())
            .map_err(|reason| FileFault {
                file: file.into(),
                line: None,
                fault: Fault::new(ResultCode::OutOfRange, reason),
            })?;
        Ok(config)
    }
}
