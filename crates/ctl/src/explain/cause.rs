//! The cause that a job's story ends in.

use std::fmt;

use serde::Serialize;

use crate::explain::timeline::{LOST, Run, Story};

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
    pub fn of(story: &Story) -> Cause {
        if story.lines.is_empty() {
            return Cause::Unknown;
        }
        if story.accepted.is_none() {
            return Cause::Refused {
                times: story.refused.len(),
                err: story.err.clone(),
            };
        }
        match story.outcome.as_deref() {
            Some("Failed") => Cause::failed(story),
            Some("Cancelled") => Cause::Cancelled,
            _ => Cause::longest(story),
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

    fn failed(story: &Story) -> Cause {
        if let Some(task) = &story.crashed {
            return Cause::Crashed {
                task: task.clone(),
                workers: workers(story, task, LOST),
            };
        }
        let failed = |r: &&Run| r.how.as_deref() == Some("Failed");
        let count = |task: &str| {
            story
                .runs
                .iter()
                .filter(failed)
                .filter(|r| r.task == task)
                .count()
        };
        let tasks = story.runs.iter().filter(failed).map(|r| r.task.as_str());
        let task = tasks.max_by_key(|t| count(t)).unwrap_or_default();
        Cause::Failed {
            task: task.to_owned(),
            failures: count(task),
            workers: workers(story, task, "Failed"),
        }
    }

    fn longest(story: &Story) -> Cause {
        let spent = story.spent;
        let lost = [spent.failed, spent.stopped, spent.slowed];
        // Runs go on beside each other: their sums count as far as something was at work.
        let lost = lost.map(|ms| ms.min(spent.at_work));
        let rest = spent.at_work - lost.iter().max().copied().unwrap_or(0);
        let all = [
            (spent.no_owner, Cause::NoOwner { ms: spent.no_owner }),
            (spent.waiting, Cause::Waited { ms: spent.waiting }),
            (lost[0], Cause::FailedRuns { ms: spent.failed }),
            (lost[1], Cause::StoppedRuns { ms: spent.stopped }),
            (lost[2], Cause::Slowed { ms: spent.slowed }),
            (rest, Cause::Worked { ms: spent.at_work }),
        ];
        let most = all.into_iter().max_by_key(|(ms, _)| *ms);
        most.map_or(Cause::Unknown, |(_, cause)| cause)
    }
}

/// Returns the number of workers on which runs of a task ended so.
fn workers(story: &Story, task: &str, how: &str) -> usize {
    let runs = story.runs.iter().filter(|r| r.task == task);
    let ended = runs.filter(|r| r.how.as_deref() == Some(how));
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
