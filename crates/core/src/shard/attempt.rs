//! Identity of one attempt to run a task.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One attempt of one task; unique in its shard for all time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Number of the job in its shard.
    pub job: u32,
    /// Index of the task in its job.
    pub task: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.task, self.attempt)
    }
}
