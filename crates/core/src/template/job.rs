//! Job templates for batch jobs and long-running tasks.

use serde::{Deserialize, Serialize};

use super::Priority;
use crate::{Millis, name::Name, size::Size};

/// A kind of job that callers may submit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobTemplate {
    /// Name, unique among the services and job templates of the organisation.
    pub name: Name,
    /// Team whose quota the tasks use.
    pub team: Name,
    /// Declared size of a task.
    pub size: Size,
    /// Maximum number of tasks of a job.
    #[serde(rename = "tasks")]
    pub max_tasks: u32,
    /// Declared run time of a task; with 0 it runs until it is cancelled.
    #[serde(rename = "run")]
    pub run_time: Millis,
    /// Priority of the tasks.
    pub priority: Priority,
    /// Whether tasks can write checkpoints and resume from them.
    pub checkpoint: bool,
    /// Number of failures after which a task fails permanently.
    pub attempts: u32,
}
