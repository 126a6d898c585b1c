//! JSON of requests and replies about jobs.

use gorsespur_core::shard::{JobState, JobStatus};
use serde::{Deserialize, Serialize};

/// A submission of a job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SubmitJson {
    /// Kind of job in the organisation's template.
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
    /// Ids of the jobs.
    pub ids: Vec<String>,
}

/// Reply to a cancellation.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CancelledJson {
    /// Number of jobs whose cancellation is recorded or that had already ended.
    pub cancelled: usize,
    /// Ids without a job.
    pub unknown: Vec<String>,
    /// Ids of jobs whose owner could not be reached; the caller may retry.
    pub unreached: Vec<String>,
}

/// A job's state.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct JobJson<'a> {
    /// Id of the job.
    pub id: &'a str,
    /// Kind of the job.
    pub kind: &'a str,
    /// Shard of the job.
    pub shard: &'a str,
    /// State of the job; `recorded` while its shard's owner can't be reached.
    pub state: &'a str,
    /// Counts of its tasks, if its owner was reached or the job has ended.
    pub status: Option<&'a JobStatus>,
}

/// Returns the name of a state in replies.
pub(crate) fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}
