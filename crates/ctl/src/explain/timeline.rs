//! What the logs tell of one job.

use std::sync::Arc;

use serde::Serialize;

use crate::explain::{LogLine, logs::CollectedLogs};

/// An instance has become the owner.
pub(crate) const LEASE_TAKEN: &str = "lease: taken";

/// A run of a task.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Run {
    /// The task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// Its worker.
    pub worker: Arc<str>,
    /// When its start was sent.
    #[serde(rename = "begun")]
    pub started_ms: u64,
    /// When it ended, and how; nothing if the logs do not say.
    #[serde(rename = "ended")]
    pub ended_ms: Option<u64>,
    /// How it ended.
    #[serde(rename = "how")]
    pub outcome: Option<String>,
    /// Since when it was slowed, if it is.
    #[serde(skip)]
    slowed_since: Option<u64>,
    /// For how long it was slowed, in milliseconds.
    pub slowed_ms: u64,
}

/// Where the time of a job went, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TimeSpent {
    /// From its acceptance to its end, or to the last line about it.
    #[serde(rename = "all")]
    pub total: u64,
    /// A run was at work.
    pub at_work: u64,
    /// Nothing ran, and the lease was not renewed until another instance took it.
    pub no_owner: u64,
    /// Nothing ran otherwise.
    pub waiting: u64,
    /// Sum over its runs that failed.
    pub failed: u64,
    /// Sum over its runs that were stopped or lost.
    pub stopped: u64,
    /// Sum over its runs that were slowed, while they were.
    pub slowed: u64,
}

impl TimeSpent {
    /// Adds another job's.
    pub fn add(&mut self, other: &TimeSpent) {
        self.total += other.total;
        self.at_work += other.at_work;
        self.no_owner += other.no_owner;
        self.waiting += other.waiting;
        self.failed += other.failed;
        self.stopped += other.stopped;
        self.slowed += other.slowed;
    }
}

/// How a run ended that its worker no longer has.
pub(crate) const LOST: &str = "Lost";

/// What a job did for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Activity {
    /// A run was at work.
    AtWork,
    /// Nothing ran, and the lease was not renewed until another instance took it.
    NoOwner,
    /// Nothing ran otherwise.
    Waiting,
}

/// A while of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Span {
    /// When it began.
    pub from: u64,
    /// When it was over.
    pub to: u64,
    /// What the job did.
    #[serde(rename = "doing")]
    pub activity: Activity,
}

/// What the logs tell of one job.
#[derive(Debug, Clone, Default, Serialize)]
pub struct JobTimeline {
    /// The lines about it, and changes of owner between them.
    pub lines: Vec<LogLine>,
    /// Its runs.
    pub runs: Vec<Run>,
    /// When it was accepted, or first heard of if the logs miss that.
    #[serde(rename = "accepted")]
    pub accepted_ms: Option<u64>,
    /// Answers that refused it: when, and by which status.
    #[serde(rename = "refused")]
    pub refusals: Vec<Refusal>,
    /// The last error that a line about it tells.
    #[serde(rename = "err")]
    pub last_error: Option<String>,
    /// The task for which it was given up, since it crashed its workers.
    #[serde(rename = "crashed")]
    pub crashing_task: Option<String>,
    /// What became of it; nothing if the logs do not say.
    pub outcome: Option<String>,
    /// The queue it was handed in to.
    pub queue: Option<Arc<str>>,
    /// Where its time went.
    pub spent: TimeSpent,
    /// The same in order; the spans add up to all of its time.
    pub spans: Vec<Span>,
}

/// An answer that refused it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// When.
    pub ms: u64,
    /// By which instance.
    pub node: Arc<str>,
    /// Status of the answer.
    pub status: u16,
}

impl JobTimeline {
    /// Collects what the logs tell of a job.
    pub fn for_job(logs: &CollectedLogs, job: &str) -> JobTimeline {
        let job_lines: Vec<&LogLine> = logs.lines.iter().filter(|l| l.is_about(job)).collect();
        JobTimeline::from_lines(&job_lines, &logs.takeovers())
    }

    /// Collects what lines about one job tell; `takeovers` are all changes of owner.
    pub fn from_lines(job_lines: &[&LogLine], takeovers: &[&LogLine]) -> JobTimeline {
        let mut timeline = JobTimeline::default();
        let (Some(first), Some(last)) = (job_lines.first(), job_lines.last()) else {
            return timeline;
        };
        let (first, last) = (first.ms, last.ms);
        let lease_changes = takeovers.iter().filter(|l| (first..=last).contains(&l.ms));
        let mut lines: Vec<&LogLine> = job_lines.iter().chain(lease_changes).copied().collect();
        lines.sort_by_key(|l| l.ms);
        for line in lines {
            timeline.apply_line(line);
            timeline.lines.push(line.clone());
        }
        if !timeline.runs.is_empty() || timeline.has_ended_runs() {
            timeline.accepted_ms = timeline.accepted_ms.or(Some(first));
        }
        timeline.sum_time(last);
        timeline
    }

    /// Tells whether a run of it ended: it was accepted then, though its start may be
    /// missing.
    fn has_ended_runs(&self) -> bool {
        self.lines.iter().any(|l| l.msg == "run: ended")
    }

    fn apply_line(&mut self, line: &LogLine) {
        if line.err.is_some() {
            self.last_error = line.err.clone();
        }
        match line.msg.as_str() {
            "front: answered" if line.method.as_deref() == Some("POST") => {
                self.apply_response(line)
            }
            "jobs: taken up" => {
                self.accepted_ms = self.accepted_ms.or(Some(line.ms));
                self.queue = line.queue.clone();
            }
            "job: a task crashes its workers" => self.crashing_task = line.task.clone(),
            "jobs: ended" => self.outcome = line.outcome.clone(),
            "start: sent" => self.start_run(line, line.ms),
            "run: ended" => self.end_run(line, line.how.clone()),
            "run: not there" | "run: lost with its worker" => {
                self.end_run(line, Some(LOST.to_owned()))
            }
            "pace: changed" => self.change_pace(line),
            _ => {}
        }
    }

    fn apply_response(&mut self, line: &LogLine) {
        match line.status {
            Some(200) => self.accepted_ms = self.accepted_ms.or(Some(line.ms)),
            Some(status) => self.refusals.push(Refusal {
                ms: line.ms,
                node: line.node.clone(),
                status,
            }),
            None => {}
        }
    }

    fn start_run(&mut self, line: &LogLine, started_ms: u64) {
        let (Some(task), Some(run)) = (&line.task, line.run) else {
            return;
        };
        self.runs.push(Run {
            task: task.clone(),
            run,
            worker: line.worker.clone().unwrap_or_default(),
            started_ms,
            ended_ms: None,
            outcome: None,
            slowed_since: None,
            slowed_ms: 0,
        });
    }

    fn open_run(&mut self, line: &LogLine) -> Option<&mut Run> {
        let is_same_run = |r: &&mut Run| {
            Some(&r.task) == line.task.as_ref() && line.run.is_none_or(|run| run == r.run)
        };
        self.runs
            .iter_mut()
            .rev()
            .filter(|r| r.ended_ms.is_none())
            .find(is_same_run)
    }

    fn end_run(&mut self, line: &LogLine, outcome: Option<String>) {
        let ms = line.ms;
        if self.open_run(line).is_none() {
            // The line of its start is missing; the end tells how long ago that was.
            self.start_run(line, ms.saturating_sub(line.ran_ms.unwrap_or(0)));
        }
        if let Some(run) = self.open_run(line) {
            run.ended_ms = Some(ms);
            run.outcome = outcome;
            run.slowed_ms += run
                .slowed_since
                .take()
                .map_or(0, |since| ms.saturating_sub(since));
        }
    }

    fn change_pace(&mut self, line: &LogLine) {
        let (ms, is_full_pace) = (line.ms, line.to.is_none_or(|to| to >= 100));
        let Some(run) = self.open_run(line) else {
            return;
        };
        if is_full_pace {
            run.slowed_ms += run
                .slowed_since
                .take()
                .map_or(0, |since| ms.saturating_sub(since));
        } else {
            run.slowed_since = run.slowed_since.or(Some(ms));
        }
    }

    /// Adds up where the time went until `last`.
    fn sum_time(&mut self, last: u64) {
        let Some(accepted) = self.accepted_ms else {
            return;
        };
        let mut runs = self.runs.clone();
        runs.sort_by_key(|r| r.started_ms);
        let mut busy_until = accepted;
        for run in &runs {
            let end = run.ended_ms.unwrap_or(last);
            self.add_idle_time(busy_until, run.started_ms);
            busy_until = busy_until.max(run.started_ms);
            self.add_span(busy_until, end, Activity::AtWork);
            busy_until = busy_until.max(end);
            self.add_run_time(run, end);
        }
        self.add_idle_time(busy_until, last);
        self.spent.total = last.saturating_sub(accepted);
    }

    /// Adds the length of a run to what it came to.
    fn add_run_time(&mut self, run: &Run, end: u64) {
        let length = end.saturating_sub(run.started_ms);
        let slowed = run
            .slowed_since
            .map_or(0, |since| end.saturating_sub(since));
        self.spent.slowed += run.slowed_ms + slowed;
        match run.outcome.as_deref() {
            Some("Failed") => self.spent.failed += length,
            Some("Done") | None => {}
            Some(_) => self.spent.stopped += length,
        }
    }

    /// Counts a time in which nothing ran: there was no owner from the last renewal of a
    /// lease to its taking.
    fn add_idle_time(&mut self, from: u64, to: u64) {
        let takeovers = self.lines.iter().filter(|l| l.msg == LEASE_TAKEN);
        let intervals = takeovers.map(|l| (l.ms.saturating_sub(l.age_ms.unwrap_or(0)), l.ms));
        let intervals: Vec<(u64, u64)> = intervals.collect();
        let mut at = from;
        for (renewed, taken) in intervals {
            let (renewed, taken) = (renewed.clamp(at, to.max(at)), taken.clamp(at, to.max(at)));
            self.add_span(at, renewed, Activity::Waiting);
            self.add_span(renewed, taken, Activity::NoOwner);
            at = taken;
        }
        self.add_span(at, to, Activity::Waiting);
    }

    fn add_span(&mut self, from: u64, to: u64, activity: Activity) {
        if to <= from {
            return;
        }
        self.spans.push(Span { from, to, activity });
        let sum = match activity {
            Activity::AtWork => &mut self.spent.at_work,
            Activity::NoOwner => &mut self.spent.no_owner,
            Activity::Waiting => &mut self.spent.waiting,
        };
        *sum += to - from;
    }
}
