//! The response types of a daemon's operator API, shared by the daemon and the command line.
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

/// The values set at the nodes of the tree, without inherited ones.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettingsView {
    /// The first offset of the settings stream that is not applied yet.
    pub revision: u64,
    /// The nodes in order.
    pub nodes: Vec<NodeView>,
}

/// The values set at one node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeView {
    /// The node.
    pub node: Arc<str>,
    /// Its keys in order.
    pub keys: Vec<KeyView>,
}

/// A value set at a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyView {
    /// The key.
    pub key: Arc<str>,
    /// The value; `None` after it was unset.
    pub value: Option<SettingValue>,
    /// The revision on which a change of the key must be based.
    pub revision: u64,
    /// The operator who set it.
    pub actor: Arc<str>,
    /// When it was set, by the log service's clock.
    pub at_ms: u64,
}

/// The state of a daemon and its view of the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub daemon: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its lifecycle state.
    pub life: String,
    /// The streams that it reads.
    pub streams: Vec<StreamStatus>,
    /// The known daemons.
    pub daemons: Vec<DaemonStatus>,
    /// The leases on shards of work.
    pub leases: Vec<LeaseStatus>,
    /// The jobs that it owns.
    pub jobs: Vec<JobStatus>,
    /// The known endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// The read position in a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StreamStatus {
    /// The stream.
    pub stream: Arc<str>,
    /// The first offset that is not applied yet.
    pub applied_offset: u64,
    /// The number of records from there to the last known end of the stream.
    pub behind: u64,
}

/// One daemon's view of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The address that callers connect to.
    pub http_address: Arc<str>,
    /// The state that it reports.
    pub state: String,
    /// The verdict of the failure detector.
    pub health: String,
}

/// The lease on a shard of work.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The shard.
    pub shard: Arc<str>,
    /// The session that holds the lease.
    pub owner: Option<Arc<str>>,
    /// The fencing token.
    pub epoch: u64,
}

/// A job, as reported by its owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: Arc<str>,
    /// Generated samples.
    pub generated: u64,
    /// Duplicate samples from second attempts.
    pub repeated: u64,
    /// Samples dropped as too old.
    pub stale: u64,
    /// Stragglers that were placed a second time.
    pub replaced: u64,
    /// Failed attempts.
    pub failed: u64,
    /// Finished samples that wait for the trainer.
    pub buffered: usize,
}

/// A daemon's view of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its state in the VM list.
    pub state: String,
    /// This daemon's requests in flight at it.
    pub in_flight: u64,
    /// The number of requests in its last report.
    pub reported_requests: Option<u64>,
    /// Whether it receives new requests.
    pub is_usable: bool,
}

/// The origin of an effective value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// The key.
    pub key: Arc<str>,
    /// The effective value.
    pub value: SettingValue,
    /// The node that sets it; `None` for the default of the schema.
    pub from_node: Option<Arc<str>>,
    /// The revision that set it.
    pub revision: u64,
    /// The description of the key.
    pub meaning: Arc<str>,
}

/// The body of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FaultBody {
    /// The result code.
    pub code: u16,
    /// The description of the code.
    pub meaning: String,
    /// The details of this case.
    pub detail: String,
}
