//! The schema: every settings key with its type, range, inheritance and default.

/// The kind of a settings node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeKind {
    /// Groups other nodes, which inherit its values.
    Folder,
    /// A set of endpoints that serve the same requests.
    Service,
    /// A rollout job of one trainer.
    Job,
    /// Live requests from callers.
    Traffic,
}

impl NodeKind {
    /// The names of the kinds in settings.
    pub const NAMES: &[&str] = &["folder", "service", "job", "traffic"];

    /// Finds a kind by name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "folder" => Some(NodeKind::Folder),
            "service" => Some(NodeKind::Service),
            "job" => Some(NodeKind::Job),
            "traffic" => Some(NodeKind::Traffic),
            _ => None,
        }
    }
}

/// The values that a key accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueSpec {
    /// An integer within bounds.
    Integer {
        /// The smallest value, inclusive.
        minimum: u64,
        /// The largest value, inclusive.
        maximum: u64,
    },
    /// One of a fixed set of names.
    Choice(&'static [&'static str]),
    /// Free text of limited length.
    Text {
        /// The maximum length in bytes.
        max_bytes: usize,
    },
    /// The name of any node.
    NodeName,
    /// The name of a node of kind `service`.
    ServiceName,
}

/// Where a key can be set and whether children inherit it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Inheritance {
    /// Children inherit the value unless they override it.
    Inherited,
    /// The value applies to the node that sets it and is not inherited.
    NodeOnly,
    /// The value applies to all daemons and can be set at the root only.
    RootOnly,
}

/// One key of the schema.
#[derive(Debug, Clone, Copy)]
pub struct KeySpec {
    /// The key, with its unit as a suffix.
    pub name: &'static str,
    /// The accepted values.
    pub values: ValueSpec,
    /// Whether children inherit it.
    pub inheritance: Inheritance,
    /// The default value as text, used when no node sets the key.
    pub default: Option<&'static str>,
    /// A one-sentence description for operators.
    pub meaning: &'static str,
}

const fn key(
    name: &'static str,
    values: ValueSpec,
    inheritance: Inheritance,
    default: Option<&'static str>,
    meaning: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        values,
        inheritance,
        default,
        meaning,
    }
}

const fn range(minimum: u64, maximum: u64) -> ValueSpec {
    ValueSpec::Integer { minimum, maximum }
}

use Inheritance::{Inherited, NodeOnly, RootOnly};

const MAX_DURATION_MS: u64 = 86_400_000;

/// All keys, sorted by name; [`key_spec`] relies on the order.
pub const SCHEMA: &[KeySpec] = &[
    key(
        "address_count",
        range(1, 16),
        RootOnly,
        Some("4"),
        "How many daemon addresses a caller is given.",
    ),
    key(
        "address_ttl_ms",
        range(500, MAX_DURATION_MS),
        RootOnly,
        Some("10000"),
        "How long a caller may keep an address list.",
    ),
    key(
        "chunk_timeout_ms",
        range(10, MAX_DURATION_MS),
        Inherited,
        Some("2000"),
        "The longest silence between two chunks of a stream before the connection counts as lost.",
    ),
    key(
        "description",
        ValueSpec::Text { max_bytes: 512 },
        NodeOnly,
        None,
        "A note for operators.",
    ),
    key(
        "first_byte_timeout_ms",
        range(10, MAX_DURATION_MS),
        Inherited,
        Some("5000"),
        "The longest wait for the first byte of an answer.",
    ),
    key(
        "groups_per_step",
        range(1, 100_000),
        Inherited,
        Some("8"),
        "How many groups of samples make a training step.",
    ),
    key(
        "idle_weight_percent",
        range(0, 100),
        Inherited,
        Some("50"),
        "Weight of trainer idle time against sample staleness.",
    ),
    key(
        "importance",
        range(0, 100),
        Inherited,
        Some("50"),
        "Callers of higher importance are served first.",
    ),
    key(
        "kind",
        ValueSpec::Choice(NodeKind::NAMES),
        NodeOnly,
        Some("folder"),
        "What the node stands for.",
    ),
    key(
        "lease_ttl_ms",
        range(500, MAX_DURATION_MS),
        RootOnly,
        Some("5000"),
        "How long a lease holds without renewal.",
    ),
    key(
        "log_level",
        ValueSpec::Choice(&["error", "warn", "info", "debug", "trace"]),
        RootOnly,
        Some("info"),
        "The least severe log lines that daemons write.",
    ),
    key(
        "max_tokens_per_sample",
        range(1, 1_000_000),
        Inherited,
        Some("64"),
        "The longest sample.",
    ),
    key(
        "minimum_serving_percent",
        range(0, 100),
        Inherited,
        Some("50"),
        "The share of a service's replicas that keeps serving during a weight swap.",
    ),
    key(
        "parent",
        ValueSpec::NodeName,
        NodeOnly,
        None,
        "The node that this node inherits from; a node exists while it has one.",
    ),
    key(
        "prompt",
        ValueSpec::Text { max_bytes: 4_096 },
        Inherited,
        None,
        "The prompt of a job's groups; {job} and {group} are replaced.",
    ),
    key(
        "protocol",
        ValueSpec::Choice(&["engine", "plain"]),
        NodeOnly,
        Some("engine"),
        "How the service's endpoints are spoken to.",
    ),
    key(
        "queue_deadline_ms",
        range(1, MAX_DURATION_MS),
        Inherited,
        Some("10000"),
        "The longest wait for an endpoint when the request names no deadline.",
    ),
    key(
        "queue_limit_requests",
        range(0, 1_000_000),
        Inherited,
        Some("256"),
        "How many requests of a node wait in one daemon.",
    ),
    key(
        "request_key_window_ms",
        range(1_000, MAX_DURATION_MS),
        RootOnly,
        Some("600000"),
        "How long a daemon remembers the request keys that it ran.",
    ),
    key(
        "retry_budget_percent",
        range(0, 100),
        RootOnly,
        Some("20"),
        "Retries as a share of requests.",
    ),
    key(
        "samples_per_group",
        range(1, 4_096),
        Inherited,
        Some("4"),
        "How many samples share one prompt.",
    ),
    key(
        "scorer",
        ValueSpec::ServiceName,
        Inherited,
        None,
        "The service that scores a job's samples.",
    ),
    key(
        "service",
        ValueSpec::ServiceName,
        Inherited,
        None,
        "The service that a job or traffic node uses.",
    ),
    key(
        "staleness_bound_ms",
        range(1, MAX_DURATION_MS),
        Inherited,
        Some("600000"),
        "The greatest age of a sample at hand-over.",
    ),
    key(
        "staleness_bound_versions",
        range(0, 1_000),
        Inherited,
        Some("1"),
        "How many weight versions a sample may be behind at hand-over.",
    ),
    key(
        "steps_ahead",
        range(1, 64),
        Inherited,
        Some("2"),
        "How many steps of samples may wait for the trainer.",
    ),
    key(
        "swap_policy",
        ValueSpec::Choice(&["keep", "restart"]),
        Inherited,
        Some("keep"),
        "What becomes of a sample when its engine's weights are swapped: keep both segments or start again.",
    ),
    key(
        "swap_wave_replicas",
        range(1, 100_000),
        Inherited,
        Some("2"),
        "How many replicas load new weights at once.",
    ),
    key(
        "training_minimum_percent",
        range(0, 90),
        Inherited,
        Some("10"),
        "The share of a service's slots that training keeps under any load.",
    ),
    key(
        "weights_version",
        range(0, u64::MAX),
        NodeOnly,
        Some("0"),
        "The newest weight version that a job's trainer published.",
    ),
];

/// Looks up a key by name.
pub fn key_spec(name: &str) -> Option<&'static KeySpec> {
    SCHEMA
        .binary_search_by(|spec| spec.name.cmp(name))
        .ok()
        .map(|at| &SCHEMA[at])
}
