//! Tasks.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// State of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for a worker.
    #[default]
    Queued,
    /// Its current attempt may be running on this worker.
    Active(Name),
    /// Finished.
    Done,
    /// Failed for good.
    Failed,
    /// Cancelled.
    Cancelled,
}

/// One task of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// State.
    pub state: TaskState,
    /// Number of the latest attempt; 0 before the first.
    pub attempt: u32,
    /// Attempt that wrote the checkpoint to resume from; 0 for none.
    #[serde(rename = "checkpoint")]
    pub checkpoint_attempt: u32,
    /// Evictions so far.
    pub evictions: u32,
    /// Attempts that were lost with their workers.
    #[serde(rename = "lost")]
    pub lost_attempts: u32,
    /// Attempts that failed.
    #[serde(rename = "fails")]
    pub failures: u32,
    /// Distinct workers that it failed on.
    pub failed_on: Vec<Name>,
}
