//! Kinds of batch jobs and long-running tasks.

use serde::{Deserialize, Serialize};

use super::Priority;
use crate::{Millis, name::Name, size::Size};

/// A kind of job that callers may submit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobTemplate {
    /// Name, unique among the organisation's services and jobs.
    pub name: Name,
    /// Team whose quota the tasks use.
    pub team: Name,
    /// Declared size of a task.
    pub size: Size,
    /// Most tasks a job may have.
    #[serde(rename = "tasks")]
    pub max_tasks: u32,
    /// Declared run time of a task; 0 runs until it is cancelled.
    pub run: Millis,
    /// Priority of the tasks.
    pub priority: Priority,
    /// Whether tasks can write checkpoints and resume from them.
    pub checkpoint: bool,
    /// Failures after which a task has failed for good.
    pub attempts: u32,
}
