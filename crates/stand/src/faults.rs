//! Faults that can be switched on while a stand-in runs.

use serde::{Deserialize, Serialize};

/// Faults of the platform; a new value replaces all earlier faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The table service refuses every call.
    pub table_down: bool,
    /// The object store refuses every call.
    pub objects_down: bool,
    /// The membership list refuses every call.
    pub members_down: bool,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// Percentage of writes that take effect without an answer.
    pub lost_percent: u32,
    /// Zones whose endpoints refuse every call.
    pub cut: Vec<String>,
}

/// Faults of a worker; a new value replaces all earlier faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every task that is not a replica of a service fails at its start.
    pub fail_all: bool,
    /// Kinds of tasks that fail at their start, except replicas of services.
    pub fail_kinds: Vec<String>,
    /// Exchanges are refused, as if the owner could not reach the worker.
    pub cut: bool,
    /// Exchanges take effect without an answer.
    pub lose_answers: bool,
    /// The worker announces that it is leaving.
    pub leaving: bool,
    /// Delay of each request to a service in milliseconds.
    pub slow_ms: u64,
    /// Requests to services are answered with a cut body.
    pub cut_answers: bool,
    /// Requests to services are answered with another request's id.
    pub swap_answers: bool,
    /// Requests to services run, but their answers are lost.
    pub drop_answers: bool,
}
