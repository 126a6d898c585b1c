//! Jobs and their state.

use serde::{Deserialize, Serialize};

use super::{Task, TaskState};
use crate::{Millis, name::Name, size::Size, template::Priority};

/// Key of a job: its organisation and the caller's id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobKey {
    /// Organisation.
    pub org: Name,
    /// Caller's id.
    pub id: Name,
}

/// A job as it was accepted; later changes of the template don't affect it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Organisation and id.
    pub key: JobKey,
    /// Kind of job or name of the service.
    pub kind: Name,
    /// Team whose quota it uses; empty for services.
    pub team: Name,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of a task.
    pub size: Size,
    /// Declared run time of a task; 0 if it runs until it is cancelled.
    #[serde(rename = "run")]
    pub run_time: Millis,
    /// Priority.
    pub priority: Priority,
    /// Whether tasks can write checkpoints.
    pub checkpoint: bool,
    /// Number of distinct workers on which a task fails before it fails permanently.
    pub attempts: u32,
    /// Whether the tasks are replicas of a service; a replica may run twice at a time.
    pub service: bool,
}

/// State of a job as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// Every task is done.
    Done,
    /// At least one task failed permanently and none is open.
    Failed,
    /// Cancelled before every task was done.
    Cancelled,
}

/// A job with its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Number of the job in its shard.
    #[serde(rename = "no")]
    pub number: u32,
    /// Specification.
    pub spec: JobSpec,
    /// Tasks by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are neither done, failed nor cancelled.
    #[serde(rename = "open")]
    pub open_tasks: u32,
    /// Whether its caller cancelled it.
    pub cancelled: bool,
    /// Why the job was rejected, if it was.
    pub reason: Option<Name>,
}

impl Job {
    /// Returns a job whose tasks are all queued.
    pub fn new(number: u32, spec: JobSpec) -> Job {
        let tasks = vec![Task::default(); spec.tasks as usize];
        Job {
            number,
            open_tasks: spec.tasks,
            tasks,
            spec,
            cancelled: false,
            reason: None,
        }
    }

    /// Returns the state that is reported to the caller.
    pub fn state(&self) -> JobState {
        if self.open_tasks == 0 {
            return self.final_state();
        }
        let started = self.tasks.iter().any(|t| t.attempt > 0);
        if started {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    fn final_state(&self) -> JobState {
        let any = |s: TaskState| self.tasks.iter().any(|t| t.state == s);
        if any(TaskState::Failed) || self.reason.is_some() {
            JobState::Failed
        } else if any(TaskState::Cancelled) {
            JobState::Cancelled
        } else {
            JobState::Done
        }
    }
}
