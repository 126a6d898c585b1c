//! The cause that a job's story ends in.

use std::fmt;

use serde::Serialize;

use crate::explain::timeline::{JobTimeline, LOST, Run};

/// Why a job ended as it did, or took as long as it did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// No line is about it.
    Unknown,
    /// It was refused each time.
    Refused {
        /// How often.
        times: usize,
        /// What the last refusal says of its reason.
        err: Option<String>,
    },
    /// A task failed too often.
    Failed {
        /// The task.
        task: String,
        /// Its failures.
        failures: usize,
        /// Workers on which it failed.
        workers: usize,
    },
    /// A task crashed the workers that started it.
    Crashed {
        /// The task.
        task: String,
        /// Workers that were lost under it.
        workers: usize,
    },
    /// Its caller cancelled it.
    Cancelled,
    /// Most of its time nothing ran since no instance owned the lease.
    NoOwner {
        /// Milliseconds.
        ms: u64,
    },
    /// Most of its time nothing ran: it waited for room, or its turn.
    Waited {
        /// Milliseconds.
        ms: u64,
    },
    /// Runs that failed took most of its time.
    FailedRuns {
        /// Milliseconds.
        ms: u64,
    },
    /// Runs that were stopped or lost took most of its time.
    StoppedRuns {
        /// Milliseconds.
        ms: u64,
    },
    /// Its runs were slowed for most of its time, since they disturbed others.
    Slowed {
        /// Milliseconds.
        ms: u64,
    },
    /// Its tasks were at work for most of its time.
    Worked {
        /// Milliseconds.
        ms: u64,
    },
}

impl Cause {
    /// Returns the cause that a story ends in.
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
            _ => Cause::longest(timeline),
        }
    }

    /// Returns a short name.
    pub fn name(&self) -> &'static str {
        match self {
            Cause::Unknown => "unknown",
            Cause::Refused { .. } => "refused",
            Cause::Failed { .. } => "failed",
            Cause::Crashed { .. } => "crashed workers",
            Cause::Cancelled => "cancelled",
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
        // Runs go on beside each other: their sums count as far as something was at work.
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

/// Returns the number of workers on which runs of a task ended so.
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
            Cause::NoOwner { ms } => write!(f, "no instance owned the lease for {ms} ms"),
            Cause::Waited { ms } => write!(f, "it waited for room or its turn for {ms} ms"),
            Cause::FailedRuns { ms } => write!(f, "runs of {ms} ms in all failed"),
            Cause::StoppedRuns { ms } => write!(f, "runs of {ms} ms in all were stopped or lost"),
            Cause::Slowed { ms } => write!(f, "its runs were slowed for {ms} ms in all"),
            Cause::Worked { ms } => write!(f, "its tasks were at work for {ms} ms"),
        }
    }
}
