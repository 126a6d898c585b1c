//! What a caller hands in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::model::ids::JobId;

/// Tasks that one job may have in all, so that what is kept of it fits a few rows.
const MAX_TASKS: u64 = 4000;

/// Why a job is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// There is no step, or a step without tasks.
    #[snafu(display("step {step} has no tasks"))]
    Empty {
        /// The step.
        step: usize,
    },
    /// A step depends on itself or on a later one.
    #[snafu(display("step {step} depends on step {dependency}"))]
    Order {
        /// The step.
        step: usize,
        /// What it names.
        dependency: u32,
    },
    /// There are more tasks than a record can hold.
    #[snafu(display("{tasks} tasks, more than {MAX_TASKS}"))]
    TooManyTasks {
        /// Tasks of all steps and repetitions.
        tasks: u64,
    },
}

/// One step: tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Thousandths of a core that a task asks for.
    pub cpu: u64,
    /// Memory that a task asks for, in MB.
    pub memory: u64,
    /// Accelerators that a task asks for.
    pub gpu: u64,
    /// Guess of a task's time in milliseconds; 0 if there is none.
    pub estimate: u64,
    /// Earlier steps all of whose tasks come first.
    pub deps: Vec<u32>,
    /// Whether its tasks save their progress.
    pub checkpoints: bool,
    /// Whether its tasks work jointly only.
    pub gang: bool,
    /// Whether its tasks are slow unless they share a rack.
    pub same_rack: bool,
    /// Label that its workers must have.
    pub label: Option<Arc<str>>,
    /// Rack in which its data lies.
    #[serde(rename = "rack")]
    pub data_rack: Option<Arc<str>>,
    /// Tasks of the step that one worker may run at most; 0 for any number.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run beside each other.
    pub copies: bool,
    /// Whether its tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What its tasks run.
    pub image: Option<Arc<str>>,
    /// Latency in milliseconds that the tail of its answers stays under; 0 for none.
    #[serde(rename = "target")]
    pub latency_target: u64,
    /// Whether its tasks take the processor time that others leave.
    #[serde(rename = "fill")]
    pub best_effort: bool,
    /// Tasks that may be away at once by the scheduler's doing; none without a budget.
    #[serde(rename = "away")]
    pub disruption_budget: Option<u32>,
}

/// When a repeated job falls due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of repetitions; 0 for a job that runs once, at once.
    #[serde(rename = "times")]
    pub repetitions: u32,
    /// When the first is due, in milliseconds since 1970.
    pub first: u64,
    /// Milliseconds from one to the next.
    pub interval: u64,
}

/// What a caller hands in: a text for the workers, steps, and when they run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that is passed to the workers as it is.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// When they run.
    pub schedule: Schedule,
}

impl Spec {
    /// Checks what no later change can mend.
    pub fn validate(&self) -> Result<(), SpecError> {
        ensure!(!self.steps.is_empty(), EmptySnafu { step: 0_usize });
        for (step, s) in self.steps.iter().enumerate() {
            ensure!(s.count > 0, EmptySnafu { step });
            for &dependency in &s.deps {
                ensure!(
                    (dependency as usize) < step,
                    OrderSnafu { step, dependency }
                );
            }
        }
        let per_repetition: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let tasks = per_repetition * u64::from(self.repetitions());
        ensure!(tasks <= MAX_TASKS, TooManyTasksSnafu { tasks });
        Ok(())
    }

    /// Returns how many times the steps run, at least once.
    pub fn repetitions(&self) -> u32 {
        self.schedule.repetitions.max(1)
    }

    /// Returns the longest chain of estimated times, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.deps.iter().map(|&d| ends[d as usize]).max();
            ends.push(start.unwrap_or(0) + step.estimate);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The queue it was handed in to.
    pub queue: Arc<str>,
    /// When it was accepted, by the store's clock in milliseconds.
    pub accepted: u64,
    /// What was handed in.
    pub spec: Arc<Spec>,
}
