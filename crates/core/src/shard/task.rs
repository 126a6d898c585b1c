//! Tasks and their state.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// State of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Queued for placement on a worker.
    #[default]
    Queued,
    /// The current attempt may be running on this worker.
    Active(Name),
    /// Finished successfully.
    Done,
    /// Failed permanently.
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
    /// Number of the attempt that wrote the checkpoint to resume from; 0 if there is none.
    #[serde(rename = "checkpoint")]
    pub checkpoint_attempt: u32,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of attempts that were lost.
    #[serde(rename = "lost")]
    pub lost_attempts: u32,
    /// Number of attempts that failed.
    #[serde(rename = "fails")]
    pub failures: u32,
    /// Distinct workers that the task failed on, sorted by name.
    pub failed_on: Vec<Name>,
}
