//! The answers of a daemon to operators, as both sides of the interface know them.
//!
//! ```
//! use borageshore_api::StreamStatus;
//!
//! let text = r#"{"stream":"settings","applied_offset":3,"behind":0}"#;
//! let status: StreamStatus = serde_json::from_str(text).unwrap();
//! assert_eq!(status.behind, 0);
//! ```

use std::sync::Arc;

use borageshore_settings::SettingValue;
use serde::{Deserialize, Serialize};

/// All own values of the tree.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettingsView {
    /// The first offset of the settings stream that is not folded in.
    pub revision: u64,
    /// The nodes in order.
    pub nodes: Vec<NodeView>,
}

/// The own values of one node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeView {
    /// The node.
    pub node: Arc<str>,
    /// Its keys in order.
    pub keys: Vec<KeyView>,
}

/// One own value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyView {
    /// The key.
    pub key: Arc<str>,
    /// The value; `None` after it was unset.
    pub value: Option<SettingValue>,
    /// The revision to base a change on.
    pub revision: u64,
    /// Who set it.
    pub actor: Arc<str>,
    /// When, by the clock of the log.
    pub at_ms: u64,
}

/// What one daemon knows of itself and the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub daemon: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it is in its life.
    pub life: String,
    /// The streams that it follows.
    pub streams: Vec<StreamStatus>,
    /// The daemons that it knows.
    pub daemons: Vec<DaemonStatus>,
    /// The shards of work with their owners.
    pub leases: Vec<LeaseStatus>,
    /// The jobs that it owns.
    pub jobs: Vec<JobStatus>,
    /// The endpoints that it observes.
    pub endpoints: Vec<EndpointStatus>,
}

/// How far a stream is folded.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StreamStatus {
    /// The stream.
    pub stream: Arc<str>,
    /// The first offset that is not folded in.
    pub applied_offset: u64,
    /// Records between that and the end as last heard.
    pub behind: u64,
}

/// A daemon as another one sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub http_address: Arc<str>,
    /// What it says of itself.
    pub state: String,
    /// What the failure detector says.
    pub health: String,
}

/// A shard of work.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The shard.
    pub shard: Arc<str>,
    /// The session that owns it.
    pub owner: Option<Arc<str>>,
    /// Its fencing number.
    pub epoch: u64,
}

/// A job at its owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: Arc<str>,
    /// Samples generated.
    pub generated: u64,
    /// Samples that a second attempt made in vain.
    pub repeated: u64,
    /// Samples given up as too old.
    pub stale: u64,
    /// Samples placed a second time as stragglers.
    pub replaced: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Finished samples that wait for the trainer.
    pub buffered: usize,
}

/// An endpoint as a daemon sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What the VM list says.
    pub state: String,
    /// This daemon's requests at it.
    pub in_flight: u64,
    /// Requests at it by its last report.
    pub reported_requests: Option<u64>,
    /// Whether it gets new work.
    pub is_usable: bool,
}

/// Where a value in force comes from.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// The key.
    pub key: Arc<str>,
    /// The value in force.
    pub value: SettingValue,
    /// The node that sets it; `None` for the default of the schema.
    pub from_node: Option<Arc<str>>,
    /// The revision that set it.
    pub revision: u64,
    /// What the key means.
    pub meaning: Arc<str>,
}

/// The body of an answer that is a fault.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FaultBody {
    /// The result code.
    pub code: u16,
    /// What the code means.
    pub meaning: String,
    /// The particulars of this case.
    pub detail: String,
}
