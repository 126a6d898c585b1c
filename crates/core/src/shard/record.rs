//! Records of a shard's journal.

use serde::{Deserialize, Serialize};

use super::{AttemptId, JobSpec};
use crate::{name::Name, size::Size};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The task is done.
    Done,
    /// The task failed by itself.
    Failed,
    /// The worker lost it, or its lease lapsed.
    Lost,
    /// The worker refused the start; it never ran.
    Refused,
    /// It was stopped and is to resume elsewhere, from a checkpoint if `saved`.
    Evicted {
        /// Whether this attempt wrote a checkpoint.
        saved: bool,
    },
    /// It was stopped because its job was cancelled.
    Stopped,
}

/// A transition of the book.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job was taken over from the inbox.
    Submitted(JobSpec),
    /// A job can't run; all its tasks fail.
    Rejected {
        /// Number of the job.
        job: u32,
        /// Why it can't run.
        reason: Name,
    },
    /// A task was given to a worker.
    Started {
        /// The new attempt.
        attempt: AttemptId,
        /// The worker.
        worker: Name,
        /// Size that is reserved for it.
        size: Size,
    },
    /// An attempt ended; its task may be queued again by the same record.
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
    /// A finished job leaves the book.
    Closed {
        /// Number of the job.
        job: u32,
    },
}
