//! Records of a shard's journal.

use serde::{Deserialize, Serialize};

use super::{AttemptId, JobSpec};
use crate::{name::Name, size::Size};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The worker no longer has the attempt, or its lease lapsed.
    Lost,
    /// The start was refused or never sent; the attempt never ran.
    Refused,
    /// It was stopped and its task is queued again, to resume from a checkpoint if `saved`.
    Evicted {
        /// Whether this attempt wrote a checkpoint.
        saved: bool,
    },
    /// It was stopped because its job was cancelled.
    Stopped,
}

/// A transition of the shard state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted from the inbox or created for a service.
    Submitted(JobSpec),
    /// A job can't run; all its queued tasks fail.
    Rejected {
        /// Number of the job.
        job: u32,
        /// Why it can't run.
        reason: Name,
    },
    /// A task was placed on a worker.
    Started {
        /// The new attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
        /// Size that is reserved for it.
        size: Size,
    },
    /// An attempt ended; the same record may queue its task again.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: End,
    },
    /// A job's caller cancelled it.
    Cancelled {
        /// Number of the job.
        job: u32,
    },
    /// A service's number of replicas in this shard changed.
    Resized {
        /// Number of the job.
        job: u32,
        /// New number of tasks.
        tasks: u32,
    },
    /// A finished job is removed from the shard state.
    Closed {
        /// Number of the job.
        job: u32,
    },
}
