//! Limits of an organisation.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Limits on what an organisation may ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrgLimits {
    /// Most open jobs in a shard.
    #[serde(rename = "jobs")]
    pub open_jobs: u32,
    /// Most requests waiting at one entry instance.
    #[serde(rename = "queue")]
    pub queued_requests: u32,
    /// Share of recent requests that may be sent again, in hundredths.
    #[serde(rename = "retries")]
    pub retry_percent: u32,
    /// Most evictions of one task.
    #[serde(rename = "evictions")]
    pub task_evictions: u32,
    /// How long tasks go on without the table service.
    pub hold: Millis,
}
