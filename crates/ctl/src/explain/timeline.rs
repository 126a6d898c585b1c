//! What the logs tell of one job.

use std::sync::Arc;

use serde::Serialize;

use crate::explain::{Line, logs::Book};

/// An instance has become the owner.
pub(crate) const TAKEN: &str = "lease: taken";

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
    pub begun: u64,
    /// When it ended, and how; nothing if the logs do not say.
    pub ended: Option<u64>,
    /// How it ended.
    pub how: Option<String>,
    /// Since when it was slowed, if it is.
    #[serde(skip)]
    slowed: Option<u64>,
    /// For how long it was slowed, in milliseconds.
    pub slowed_ms: u64,
}

/// Where the time of a job went, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Spent {
    /// From its acceptance to its end, or to the last line about it.
    pub all: u64,
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

impl Spent {
    /// Adds another job's.
    pub fn add(&mut self, other: &Spent) {
        self.all += other.all;
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
pub enum Doing {
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
    pub doing: Doing,
}

/// What the logs tell of one job.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Story {
    /// The lines about it, and changes of owner between them.
    pub lines: Vec<Line>,
    /// Its runs.
    pub runs: Vec<Run>,
    /// When it was accepted, or first heard of if the logs miss that.
    pub accepted: Option<u64>,
    /// Answers that refused it: when, and by which status.
    pub refused: Vec<Refusal>,
    /// The last error that a line about it tells.
    pub err: Option<String>,
    /// The task for which it was given up, since it crashed its workers.
    pub crashed: Option<String>,
    /// What became of it; nothing if the logs do not say.
    pub outcome: Option<String>,
    /// The queue it was handed in to.
    pub queue: Option<Arc<str>>,
    /// Where its time went.
    pub spent: Spent,
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

impl Story {
    /// Collects what the logs tell of a job.
    pub fn of(book: &Book, job: &str) -> Story {
        let about: Vec<&Line> = book.lines.iter().filter(|l| l.is_about(job)).collect();
        Story::told(&about, &book.takeovers())
    }

    /// Collects what lines about one job tell; `takeovers` are all changes of owner.
    pub fn told(about: &[&Line], takeovers: &[&Line]) -> Story {
        let mut story = Story::default();
        let (Some(first), Some(last)) = (about.first(), about.last()) else {
            return story;
        };
        let (first, last) = (first.ms, last.ms);
        let beside = takeovers.iter().filter(|l| (first..=last).contains(&l.ms));
        let mut lines: Vec<&Line> = about.iter().chain(beside).copied().collect();
        lines.sort_by_key(|l| l.ms);
        for line in lines {
            story.take(line);
            story.lines.push(line.clone());
        }
        if !story.runs.is_empty() || story.has_ends() {
            story.accepted = story.accepted.or(Some(first));
        }
        story.account(last);
        story
    }

    /// Tells whether a run of it ended: it was accepted then, though its start may be
    /// missing.
    fn has_ends(&self) -> bool {
        self.lines.iter().any(|l| l.msg == "run: ended")
    }

    fn take(&mut self, line: &Line) {
        if line.err.is_some() {
            self.err = line.err.clone();
        }
        match line.msg.as_str() {
            "front: answered" if line.method.as_deref() == Some("POST") => self.answered(line),
            "jobs: taken up" => {
                self.accepted = self.accepted.or(Some(line.ms));
                self.queue = line.queue.clone();
            }
            "job: a task crashes its workers" => self.crashed = line.task.clone(),
            "jobs: ended" => self.outcome = line.outcome.clone(),
            "start: sent" => self.begin(line, line.ms),
            "run: ended" => self.ended(line, line.how.clone()),
            "run: not there" | "run: lost with its worker" => {
                self.ended(line, Some(LOST.to_owned()))
            }
            "pace: changed" => self.paced(line),
            _ => {}
        }
    }

    fn answered(&mut self, line: &Line) {
        match line.status {
            Some(200) => self.accepted = self.accepted.or(Some(line.ms)),
            Some(status) => self.refused.push(Refusal {
                ms: line.ms,
                node: line.node.clone(),
                status,
            }),
            None => {}
        }
    }

    fn begin(&mut self, line: &Line, begun: u64) {
        let (Some(task), Some(run)) = (&line.task, line.run) else {
            return;
        };
        self.runs.push(Run {
            task: task.clone(),
            run,
            worker: line.worker.clone().unwrap_or_default(),
            begun,
            ended: None,
            how: None,
            slowed: None,
            slowed_ms: 0,
        });
    }

    fn open_run(&mut self, line: &Line) -> Option<&mut Run> {
        let same = |r: &&mut Run| {
            Some(&r.task) == line.task.as_ref() && line.run.is_none_or(|run| run == r.run)
        };
        self.runs
            .iter_mut()
            .rev()
            .filter(|r| r.ended.is_none())
            .find(same)
    }

    fn ended(&mut self, line: &Line, how: Option<String>) {
        let ms = line.ms;
        if self.open_run(line).is_none() {
            // The line of its start is missing; the end tells how long ago that was.
            self.begin(line, ms.saturating_sub(line.ran_ms.unwrap_or(0)));
        }
        if let Some(run) = self.open_run(line) {
            run.ended = Some(ms);
            run.how = how;
            run.slowed_ms += run
                .slowed
                .take()
                .map_or(0, |since| ms.saturating_sub(since));
        }
    }

    fn paced(&mut self, line: &Line) {
        let (ms, full) = (line.ms, line.to.is_none_or(|to| to >= 100));
        let Some(run) = self.open_run(line) else {
            return;
        };
        if full {
            run.slowed_ms += run
                .slowed
                .take()
                .map_or(0, |since| ms.saturating_sub(since));
        } else {
            run.slowed = run.slowed.or(Some(ms));
        }
    }

    /// Adds up where the time went until `last`.
    fn account(&mut self, last: u64) {
        let Some(accepted) = self.accepted else {
            return;
        };
        let mut runs = self.runs.clone();
        runs.sort_by_key(|r| r.begun);
        let mut busy = accepted;
        for run in &runs {
            let end = run.ended.unwrap_or(last);
            self.idle(busy, run.begun);
            busy = busy.max(run.begun);
            self.span(busy, end, Doing::AtWork);
            busy = busy.max(end);
            self.add_run(run, end);
        }
        self.idle(busy, last);
        self.spent.all = last.saturating_sub(accepted);
    }

    /// Adds the length of a run to what it came to.
    fn add_run(&mut self, run: &Run, end: u64) {
        let length = end.saturating_sub(run.begun);
        let slowed = run.slowed.map_or(0, |since| end.saturating_sub(since));
        self.spent.slowed += run.slowed_ms + slowed;
        match run.how.as_deref() {
            Some("Failed") => self.spent.failed += length,
            Some("Done") | None => {}
            Some(_) => self.spent.stopped += length,
        }
    }

    /// Counts a time in which nothing ran: there was no owner from the last renewal of a
    /// lease to its taking.
    fn idle(&mut self, from: u64, to: u64) {
        let taken = self.lines.iter().filter(|l| l.msg == TAKEN);
        let away = taken.map(|l| (l.ms.saturating_sub(l.age_ms.unwrap_or(0)), l.ms));
        let away: Vec<(u64, u64)> = away.collect();
        let mut at = from;
        for (lost, found) in away {
            let (lost, found) = (lost.clamp(at, to.max(at)), found.clamp(at, to.max(at)));
            self.span(at, lost, Doing::Waiting);
            self.span(lost, found, Doing::NoOwner);
            at = found;
        }
        self.span(at, to, Doing::Waiting);
    }

    fn span(&mut self, from: u64, to: u64, doing: Doing) {
        if to <= from {
            return;
        }
        self.spans.push(Span { from, to, doing });
        let sum = match doing {
            Doing::AtWork => &mut self.spent.at_work,
            Doing::NoOwner => &mut self.spent.no_owner,
            Doing::Waiting => &mut self.spent.waiting,
        };
        *sum += to - from;
    }
}
