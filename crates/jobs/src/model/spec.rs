//! The specification of a job as its caller submits it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::model::{
    bounds::{self, MAX_AMOUNT, MAX_DURATION_MS, MAX_TIME_MS, Number, NumberError},
    ids::JobId,
};

/// Maximum number of tasks of a job over all repetitions, so that its state fits a few rows of
/// the store.
const MAX_TASKS: u64 = 4000;

/// The error for an invalid spec.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// There is no step, or a step has no tasks.
    #[snafu(display("step {step} has no tasks"))]
    Empty {
        /// The step.
        step: usize,
    },
    /// A step depends on itself or on a later one.
    #[snafu(display("step {step} depends on step {dependency}, which is not an earlier step"))]
    Order {
        /// The step.
        step: usize,
        /// The step that it depends on.
        dependency: u32,
    },
    /// There are too many tasks.
    #[snafu(display("job has {tasks} tasks, more than {MAX_TASKS}"))]
    TooManyTasks {
        /// Number of tasks over all steps and repetitions.
        tasks: u64,
    },
    /// A number of a step is too large.
    #[snafu(display("step {step}: {source}"))]
    StepNumber {
        /// The step.
        step: usize,
        /// The number and its bound.
        source: NumberError,
    },
    /// A number of the schedule is too large.
    #[snafu(display("schedule: {source}"))]
    ScheduleNumber {
        /// The number and its bound.
        source: NumberError,
    },
}

/// A step of a job: a number of tasks of the same kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// CPU that a task requests, in thousandths of a core.
    pub cpu: u64,
    /// Memory that a task requests, in MB.
    pub memory: u64,
    /// Accelerators that a task requests.
    pub gpu: u64,
    /// The caller's estimate of the time of a task, in milliseconds; 0 for none.
    pub estimate: u64,
    /// Earlier steps that have to be done before the tasks of this step begin.
    pub deps: Vec<u32>,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks are a gang: they make progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slow unless they run in the same rack.
    pub same_rack: bool,
    /// Label that a worker needs to run the tasks.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data of the step.
    #[serde(rename = "rack")]
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run.
    pub image: Option<Arc<str>>,
    /// Target for the tail latency of a serving task, in milliseconds; 0 for none.
    #[serde(rename = "target")]
    pub latency_target: u64,
    /// Whether the tasks are best-effort: they use the CPU time that other tasks leave.
    #[serde(rename = "fill")]
    pub best_effort: bool,
    /// Maximum number of tasks that the scheduler itself may keep from running at one time;
    /// `None` for no limit.
    #[serde(rename = "away")]
    pub disruption_budget: Option<u32>,
}

impl Step {
    fn numbers(&self) -> [Number; 5] {
        [
            Number::new("cpu", self.cpu, MAX_AMOUNT),
            Number::new("memory", self.memory, MAX_AMOUNT),
            Number::new("gpu", self.gpu, MAX_AMOUNT),
            Number::new("estimate", self.estimate, MAX_DURATION_MS),
            Number::new("target", self.latency_target, MAX_DURATION_MS),
        ]
    }

    fn limit_numbers(&mut self) {
        self.cpu = self.cpu.min(MAX_AMOUNT);
        self.memory = self.memory.min(MAX_AMOUNT);
        self.gpu = self.gpu.min(MAX_AMOUNT);
        self.estimate = self.estimate.min(MAX_DURATION_MS);
        self.latency_target = self.latency_target.min(MAX_DURATION_MS);
    }
}

/// When the repetitions of a job are due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of repetitions; 0 for a job that runs once and immediately.
    #[serde(rename = "times")]
    pub repetitions: u32,
    /// When the first repetition is due, in milliseconds since the Unix epoch.
    pub first: u64,
    /// Milliseconds from one repetition to the next.
    pub interval: u64,
}

impl Schedule {
    fn numbers(&self) -> [Number; 2] {
        [
            Number::new("first", self.first, MAX_TIME_MS),
            Number::new("interval", self.interval, MAX_DURATION_MS),
        ]
    }

    fn limit_numbers(&mut self) {
        self.first = self.first.min(MAX_TIME_MS);
        self.interval = self.interval.min(MAX_DURATION_MS);
    }

    /// Returns when a repetition is due, in milliseconds since the Unix epoch.
    pub(crate) fn due(&self, repetition: usize) -> u64 {
        self.first + repetition as u64 * self.interval
    }
}

/// The specification of a job: the payload for the workers, the steps and the schedule.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that is passed to the workers unchanged.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the steps run.
    pub schedule: Schedule,
}

impl Spec {
    /// Checks the constraints that hold whatever the configuration is.
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
        let tasks = per_repetition.saturating_mul(u64::from(self.repetitions()));
        ensure!(tasks <= MAX_TASKS, TooManyTasksSnafu { tasks });
        self.check_numbers()
    }

    /// Checks that all numbers are within their bounds.
    fn check_numbers(&self) -> Result<(), SpecError> {
        bounds::check(&self.schedule.numbers()).context(ScheduleNumberSnafu)?;
        for (step, s) in self.steps.iter().enumerate() {
            bounds::check(&s.numbers()).context(StepNumberSnafu { step })?;
        }
        Ok(())
    }

    /// Reduces all numbers to their bounds. Such amounts are beyond any worker all the same.
    fn limit_numbers(&mut self) {
        self.schedule.limit_numbers();
        self.steps.iter_mut().for_each(Step::limit_numbers);
    }

    /// Returns how many times the steps run, at least once.
    pub fn repetitions(&self) -> u32 {
        self.schedule.repetitions.max(1)
    }

    /// Returns the length of the critical path by the estimates, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.deps.iter().map(|&d| ends[d as usize]).max();
            ends.push(start.unwrap_or(0) + step.estimate);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier of the job.
    pub id: JobId,
    /// Name of the queue that the job was submitted to.
    pub queue: Arc<str>,
    /// When the job was accepted, in milliseconds on the store's clock.
    pub accepted: u64,
    /// The specification.
    pub spec: Arc<Spec>,
}

impl Job {
    /// Returns the job with all numbers within their bounds. Earlier versions accepted jobs without
    /// checking them.
    pub(crate) fn within_bounds(self: Arc<Job>) -> Arc<Job> {
        let Err(err) = self.spec.check_numbers() else {
            return self;
        };
        log::warn!(job = self.id.to_string().as_str(), err = err.to_string().as_str(); "jobs: numbers are limited");
        let mut spec = Spec::clone(&self.spec);
        spec.limit_numbers();
        Arc::new(Job {
            spec: Arc::new(spec),
            ..Job::clone(&self)
        })
    }
}
