//! Faults that can be switched on.

use serde::{Deserialize, Serialize};

/// Faults of the platform; a new message replaces the ones before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The table service refuses every call.
    pub table_down: bool,
    /// The object store refuses every call.
    pub objects_down: bool,
    /// The membership list refuses every call.
    pub members_down: bool,
    /// Milliseconds added to each call.
    pub slow_ms: u64,
    /// Share of writes that take effect without an answer, in hundredths.
    pub lost_percent: u32,
    /// Zones that are cut off.
    pub cut: Vec<String>,
}

/// Faults of a worker; a new message replaces the ones before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every task that is not a service fails at once.
    pub fail_all: bool,
    /// Kinds of jobs whose tasks fail at once.
    pub fail_kinds: Vec<String>,
    /// Exchanges are refused, as if the owner could not reach it.
    pub cut: bool,
    /// Exchanges take effect without an answer.
    pub lose_answers: bool,
    /// The worker says that it is about to leave.
    pub leaving: bool,
    /// Milliseconds added to each request to a service.
    pub slow_ms: u64,
    /// Requests to services are answered with a cut body.
    pub cut_answers: bool,
    /// Requests to services are answered with another request's id.
    pub swap_answers: bool,
    /// Requests to services run and are answered by a closed connection.
    pub drop_answers: bool,
}
