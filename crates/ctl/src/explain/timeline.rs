//! Reconstructs the timeline of a job from log lines.

use std::sync::Arc;

use serde::Serialize;

use crate::explain::{LogLine, logs::CollectedLogs};

/// Message of the line that an instance logs when it becomes the lease owner.
pub(crate) const LEASE_TAKEN: &str = "lease: taken";

/// A run of a task; times are in milliseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Run {
    /// Task, as `job.time.step.index`.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// Worker of the run; empty if the logs don't name it.
    pub worker: Arc<str>,
    /// Time when the start was sent to the worker.
    #[serde(rename = "begun")]
    pub started_ms: u64,
    /// Time of the end; `None` if the logs don't contain it.
    #[serde(rename = "ended")]
    pub ended_ms: Option<u64>,
    /// How the run ended; `None` if the logs don't contain it.
    #[serde(rename = "how")]
    pub outcome: Option<String>,
    /// Time since when the run is slowed, while it is.
    #[serde(skip)]
    slowed_since: Option<u64>,
    /// Total time of past slowdowns, in milliseconds.
    pub slowed_ms: u64,
}

/// How a job spent its time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TimeSpent {
    /// Time from acceptance to the last line about the job.
    #[serde(rename = "all")]
    pub total: u64,
    /// Time in which a run was active.
    pub at_work: u64,
    /// Time in which nothing ran, and the lease was not renewed until another instance took it.
    pub no_owner: u64,
    /// Other time in which nothing ran.
    pub waiting: u64,
    /// Sum over failed runs.
    pub failed: u64,
    /// Sum over stopped or lost runs.
    pub stopped: u64,
    /// Sum of the slowed time over all runs.
    pub slowed: u64,
}

impl TimeSpent {
    /// Adds the times of another job.
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

/// Outcome of a run that its worker no longer has, or that was lost with its worker.
pub(crate) const LOST: &str = "Lost";

/// Activity of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Activity {
    /// A run was active.
    AtWork,
    /// Nothing ran, and the lease was not renewed until another instance took it.
    NoOwner,
    /// Nothing ran for another reason.
    Waiting,
}

/// A time span with one activity; times are in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Span {
    /// Start of the span, inclusive.
    pub from: u64,
    /// End of the span, exclusive.
    pub to: u64,
    /// Activity during the span.
    #[serde(rename = "doing")]
    pub activity: Activity,
}

/// Timeline of one job.
#[derive(Debug, Clone, Default, Serialize)]
pub struct JobTimeline {
    /// Lines about the job, and changes of the lease owner between them.
    pub lines: Vec<LogLine>,
    /// Runs of the job's tasks.
    pub runs: Vec<Run>,
    /// Time of acceptance, in milliseconds since the Unix epoch. If the logs don't contain the
    /// acceptance of a job that ran, the time of the first line about the job.
    #[serde(rename = "accepted")]
    pub accepted_ms: Option<u64>,
    /// Responses that refused the job.
    #[serde(rename = "refused")]
    pub refusals: Vec<Refusal>,
    /// Last error in a line about the job.
    #[serde(rename = "err")]
    pub last_error: Option<String>,
    /// Task that crashed its workers, which made the job fail.
    #[serde(rename = "crashed")]
    pub crashing_task: Option<String>,
    /// Queue without a policy, because of which no task of the job starts.
    #[serde(rename = "no_policy")]
    pub unknown_queue: Option<Arc<str>>,
    /// Outcome of the job; `None` if the logs don't contain it.
    pub outcome: Option<String>,
    /// Queue that the job was submitted to.
    pub queue: Option<Arc<str>>,
    /// How the job spent its time.
    pub spent: TimeSpent,
    /// Activities in order. Their lengths add up to the total time of the job.
    pub spans: Vec<Span>,
}

/// A response that refused a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Time of the response, in milliseconds since the Unix epoch.
    pub ms: u64,
    /// Instance that sent the response.
    pub node: Arc<str>,
    /// HTTP status.
    pub status: u16,
}

impl JobTimeline {
    /// Builds the timeline of a job from the logs; empty if no line concerns the job.
    pub fn for_job(logs: &CollectedLogs, job: &str) -> JobTimeline {
        let job_lines: Vec<&LogLine> = logs.lines.iter().filter(|l| l.is_about(job)).collect();
        JobTimeline::from_lines(&job_lines, &logs.takeovers())
    }

    /// Builds a timeline from all lines about one job and all changes of a lease owner, both
    /// sorted by time.
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

    /// Returns whether a run ended, which proves that the job was accepted even if the start of
    /// the run is missing from the logs.
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
            "admission: refused" => {
                let kind = line.kind.as_deref().unwrap_or("its");
                self.last_error = Some(format!("no capacity for {kind} work"));
            }
            "jobs: taken up" => {
                self.accepted_ms = self.accepted_ms.or(Some(line.ms));
                self.queue = line.queue.clone();
            }
            "job: a task crashes its workers" => self.crashing_task = line.task.clone(),
            "job: its queue has no policy" => self.unknown_queue = line.queue.clone(),
            "jobs: ended" => self.outcome = line.outcome.clone(),
            "start: sent" => {
                self.unknown_queue = None;
                self.start_run(line, line.ms);
            }
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
            // The start is missing from the logs; compute it from the duration in the end line.
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

    /// Computes the spans and sums of the time until `last`.
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

    /// Adds the duration of a run to the sum for its outcome.
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

    /// Adds a time in which nothing ran. The part between the last renewal of a lease and its
    /// takeover counts as time without an owner.
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
