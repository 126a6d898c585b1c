//! Main cause of a job's outcome or duration.

use std::{fmt, sync::Arc};

use serde::Serialize;

use crate::explain::timeline::{JobTimeline, LOST, Run};

/// Main reason why a job ended as it did, or took as long as it did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// No log line concerns the job.
    Unknown,
    /// Each submission was refused.
    Refused {
        /// Number of refusals.
        times: usize,
        /// Last logged error about the job.
        err: Option<String>,
    },
    /// A task failed too often.
    Failed {
        /// Task with the most failures.
        task: String,
        /// Number of its failed runs.
        failures: usize,
        /// Number of workers on which the task failed.
        workers: usize,
    },
    /// A task crashed the workers that started it.
    Crashed {
        /// Task that crashed its workers.
        task: String,
        /// Number of workers lost while running the task.
        workers: usize,
    },
    /// The caller cancelled the job.
    Cancelled,
    /// No task starts because the owner does not know the policy of the queue.
    NoPolicy {
        /// Name of the queue.
        queue: Arc<str>,
    },
    /// The largest share of the time, nothing ran because no instance held the lease.
    NoOwner {
        /// Time without an owner, in milliseconds.
        ms: u64,
    },
    /// The largest share of the time, nothing ran because the job waited for capacity or its turn
    /// in the queue.
    Waited {
        /// Waiting time, in milliseconds.
        ms: u64,
    },
    /// Failed runs took the largest share of the time.
    FailedRuns {
        /// Sum over the failed runs, in milliseconds.
        ms: u64,
    },
    /// Stopped or lost runs took the largest share of the time.
    StoppedRuns {
        /// Sum over the stopped or lost runs, in milliseconds.
        ms: u64,
    },
    /// Runs were slowed for the largest share of the time because they interfered with others.
    Slowed {
        /// Sum of the slowed time over all runs, in milliseconds.
        ms: u64,
    },
    /// Productive runs took the largest share of the time.
    Worked {
        /// Time in which a run was active, in milliseconds.
        ms: u64,
    },
}

impl Cause {
    /// Determines the main cause from a timeline.
    ///
    /// Failure and cancellation come first; otherwise the cause is the activity that took the
    /// largest share of the time.
    pub fn of(timeline: &JobTimeline) -> Cause {
        if timeline.lines.is_empty() {
            return Cause::Unknown;
        }
        if timeline.accepted_ms.is_none() {
            return Cause::Refused {
                times: timeline.refusals.len(),
                err: timeline.last_error.clone(),
            };
        }
        match timeline.outcome.as_deref() {
            Some("Failed") => Cause::failed(timeline),
            Some("Cancelled") => Cause::Cancelled,
            None if let Some(queue) = &timeline.unknown_queue => Cause::NoPolicy {
                queue: queue.clone(),
            },
            _ => Cause::longest(timeline),
        }
    }

    /// Returns the short name that tables show.
    pub fn name(&self) -> &'static str {
        match self {
            Cause::Unknown => "unknown",
            Cause::Refused { .. } => "refused",
            Cause::Failed { .. } => "failed",
            Cause::Crashed { .. } => "crashed workers",
            Cause::Cancelled => "cancelled",
            Cause::NoPolicy { .. } => "no policy",
            Cause::NoOwner { .. } => "no owner",
            Cause::Waited { .. } => "waited",
            Cause::FailedRuns { .. } => "failed runs",
            Cause::StoppedRuns { .. } => "stopped runs",
            Cause::Slowed { .. } => "slowed",
            Cause::Worked { .. } => "at work",
        }
    }

    fn failed(timeline: &JobTimeline) -> Cause {
        if let Some(task) = &timeline.crashing_task {
            return Cause::Crashed {
                task: task.clone(),
                workers: count_workers(timeline, task, LOST),
            };
        }
        let failed = |r: &&Run| r.outcome.as_deref() == Some("Failed");
        let count = |task: &str| {
            timeline
                .runs
                .iter()
                .filter(failed)
                .filter(|r| r.task == task)
                .count()
        };
        let tasks = timeline.runs.iter().filter(failed).map(|r| r.task.as_str());
        let task = tasks.max_by_key(|t| count(t)).unwrap_or_default();
        Cause::Failed {
            task: task.to_owned(),
            failures: count(task),
            workers: count_workers(timeline, task, "Failed"),
        }
    }

    fn longest(timeline: &JobTimeline) -> Cause {
        let spent = timeline.spent;
        let lost_ms = [spent.failed, spent.stopped, spent.slowed];
        // Runs overlap, so that their sums can exceed the time in which any run was active.
        let lost_ms = lost_ms.map(|ms| ms.min(spent.at_work));
        let productive_ms = spent.at_work - lost_ms.iter().max().copied().unwrap_or(0);
        let candidates = [
            (spent.no_owner, Cause::NoOwner { ms: spent.no_owner }),
            (spent.waiting, Cause::Waited { ms: spent.waiting }),
            (lost_ms[0], Cause::FailedRuns { ms: spent.failed }),
            (lost_ms[1], Cause::StoppedRuns { ms: spent.stopped }),
            (lost_ms[2], Cause::Slowed { ms: spent.slowed }),
            (productive_ms, Cause::Worked { ms: spent.at_work }),
        ];
        let most = candidates.into_iter().max_by_key(|(ms, _)| *ms);
        most.map_or(Cause::Unknown, |(_, cause)| cause)
    }
}

/// Returns the number of distinct workers on which runs of a task had an outcome.
fn count_workers(timeline: &JobTimeline, task: &str, outcome: &str) -> usize {
    let runs = timeline.runs.iter().filter(|r| r.task == task);
    let ended = runs.filter(|r| r.outcome.as_deref() == Some(outcome));
    let mut workers: Vec<&str> = ended.map(|r| &*r.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.len()
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Unknown => write!(f, "no line of these logs is about it"),
            Cause::Refused { times, err } => {
                let err = err.as_deref().unwrap_or("no reason is logged");
                write!(f, "it was refused {times} times and never accepted: {err}")
            }
            Cause::Failed {
                task,
                failures,
                workers,
            } => write!(
                f,
                "task {task} failed {failures} times, on {workers} workers"
            ),
            Cause::Crashed { task, workers } => {
                write!(f, "task {task} crashed {workers} workers that started it")
            }
            Cause::Cancelled => write!(f, "its caller cancelled it"),
            Cause::NoPolicy { queue } => write!(
                f,
                "queue {queue} is not configured, and its policy is not known"
            ),
            Cause::NoOwner { ms } => write!(f, "no instance owned the lease for {ms} ms"),
            Cause::Waited { ms } => write!(f, "it waited for room or its turn for {ms} ms"),
            Cause::FailedRuns { ms } => write!(f, "runs of {ms} ms in all failed"),
            Cause::StoppedRuns { ms } => write!(f, "runs of {ms} ms in all were stopped or lost"),
            Cause::Slowed { ms } => write!(f, "its runs were slowed for {ms} ms in all"),
            Cause::Worked { ms } => write!(f, "its tasks were at work for {ms} ms"),
        }
    }
}
