//! Callers' JSON.

use gorsespur_core::shard::{JobState, JobStatus};
use serde::{Deserialize, Serialize};

/// A submission.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SubmitJson {
    /// Kind of job, as the organisation's template names it.
    pub kind: String,
    /// Number of tasks.
    #[serde(default = "one")]
    pub tasks: u32,
}

fn one() -> u32 {
    1
}

/// Jobs to cancel.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CancelJson {
    /// Their ids.
    pub ids: Vec<String>,
}

/// Answer to a cancellation.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CancelledJson {
    /// Jobs whose cancellation is recorded or that had ended.
    pub cancelled: usize,
    /// Ids without a job.
    pub unknown: Vec<String>,
    /// Ids whose owner could not be reached; to be asked again.
    pub unreached: Vec<String>,
}

/// A job's state.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct JobJson<'a> {
    /// Id.
    pub id: &'a str,
    /// Kind.
    pub kind: &'a str,
    /// Shard.
    pub shard: &'a str,
    /// State; `recorded` while no owner of its shard can be reached.
    pub state: &'a str,
    /// Counts of its tasks, if its owner was reached or it has ended.
    pub status: Option<&'a JobStatus>,
}

/// Returns the name of a state.
pub(crate) fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}
