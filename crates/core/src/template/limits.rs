//! Limits of an organisation.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Limits on the resources that an organisation may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrgLimits {
    /// Maximum number of open jobs in a shard.
    #[serde(rename = "jobs")]
    pub open_jobs: u32,
    /// Maximum number of queued requests on an entry instance.
    #[serde(rename = "queue")]
    pub queued_requests: u32,
    /// Retries as a percentage of recent requests.
    #[serde(rename = "retries")]
    pub retry_percent: u32,
    /// Maximum number of evictions of a task.
    #[serde(rename = "evictions")]
    pub task_evictions: u32,
    /// How long tasks keep running without the table service.
    pub hold: Millis,
}
