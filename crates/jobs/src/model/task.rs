//! One task and the run it has.

use std::sync::Arc;

use crate::model::{
    changes::RowNumber,
    checkpoint::{Checkpoint, Origin},
    crash::Crashes,
    record::TaskRecord,
};

/// A figure below this share of its target is below it, whatever it is off by.
const FAR_BELOW_TARGET: f64 = 0.6;

/// A figure below this share of its target is clearly below it, if others say the same:
/// figures are usually off by a tenth.
const CLEARLY_BELOW_TARGET: f64 = 0.9;

/// A run's pace where nobody knows what its worker was told last.
pub(crate) const UNKNOWN_PACE: u32 = u32::MAX;

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its place is not durable yet; nothing was sent.
    Planned,
    /// Its start was sent at this time and is unanswered.
    Sent(u64),
    /// Its worker said at this time that it is there.
    Confirmed(u64),
    /// Its start got no answer by this time.
    Unanswered(u64),
    /// An earlier owner placed it; its worker was not heard yet.
    Inherited,
    /// A stop is wanted; the time of the last order, if one is under way.
    Stopping(Option<u64>),
    /// Its worker said at this time that it ends, or will never begin.
    StopConfirmed(u64),
}

/// A run of a task.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Its worker's slot.
    pub(crate) worker: u32,
    /// Where it stands.
    pub(crate) stage: Stage,
    /// When its place was chosen.
    pub(crate) placed_at: u64,
    /// When its start was sent; nothing before, and of one that an earlier owner sent.
    pub(crate) sent_at: Option<u64>,
    /// Whether its start was answered, so that it can't be carried out any more.
    pub(crate) answered: bool,
    /// Whether an answer to its start tells which life of its worker's name has it, or that none
    /// does.
    pub(crate) attributed: bool,
    /// Progress in percent, as last listed.
    pub(crate) percent: u32,
    /// When it was first listed, on the worker's clock.
    pub(crate) reported_at: Option<u64>,
    /// When the progress last changed, on the worker's clock; nothing before it was listed.
    pub(crate) progressed_at: Option<u64>,
    /// Share of its pace that its worker was told, in percent, or [`UNKNOWN_PACE`].
    pub(crate) pace: u32,
    /// Share of its pace that is wanted.
    pub(crate) wanted_pace: u32,
    /// Whether its time tells nothing of the task: it was slowed, went on from saved
    /// progress, or began under an earlier owner.
    pub(crate) partial: bool,
    /// No order for its pace before this time; [`u64::MAX`] while one is under way.
    pub(crate) next_pace_at: u64,
    /// Since when it is slowed much.
    pub(crate) slowed_since: Option<u64>,
    /// For a task that serves: since when its tail is over its target.
    pub(crate) over_since: Option<u64>,
    /// Whether its last figure was not over its target.
    was_below: bool,
}

impl Run {
    pub(crate) fn new(worker: u32, stage: Stage, now: u64) -> Run {
        // One that is there already may have been slowed by an earlier owner.
        let pace = match stage {
            Stage::Planned => 100,
            _ => UNKNOWN_PACE,
        };
        Run {
            worker,
            stage,
            placed_at: now,
            sent_at: None,
            answered: false,
            attributed: false,
            percent: 0,
            reported_at: None,
            progressed_at: None,
            pace,
            wanted_pace: 100,
            partial: stage != Stage::Planned,
            next_pace_at: 0,
            slowed_since: None,
            over_since: None,
            was_below: false,
        }
    }

    /// Returns for how long its progress has stood still when its worker's clock showed
    /// `clock`, in milliseconds.
    pub(crate) fn stalled_for(&self, clock: u64) -> u64 {
        self.progressed_at
            .map_or(0, |progressed_at| clock.saturating_sub(progressed_at))
    }

    /// Takes a tail as a share of its target; `worst` is the headroom that the tasks of its
    /// step had of late at the least, less what fills beside it.
    ///
    /// Figures are off by a quarter at times. So one that is over the target counts at once,
    /// and one below it among others over it ends nothing: the users count on. But what is
    /// below it twice in a row is not over it, however close: at the peak of a load tails are
    /// at four fifths of their targets for seconds, and all that fills would be halted. Where
    /// figures counted from 0.9 of the target on, and until one was below 0.75, half of the
    /// workers took nothing to fill for half of the time.
    ///
    /// The other tasks of the step tell as well: where they were well below their targets all
    /// the while, one clearly lower figure is enough (filling jobs earn 0.75 of their worth so,
    /// 0.72 without, on 350 full workers, 15 days with trouble).
    pub(crate) fn record_latency(&mut self, share: f64, min_headroom: f64, now: u64) {
        let is_below = share < 1.0;
        let expected = share < CLEARLY_BELOW_TARGET && min_headroom > 1.0 / CLEARLY_BELOW_TARGET;
        if !is_below {
            self.over_since = self.over_since.or(Some(now));
        } else if self.was_below || share < FAR_BELOW_TARGET || expected {
            self.over_since = None;
        }
        self.was_below = is_below;
    }

    /// Takes note that there is no tail, since nobody was served in the last half second.
    pub(crate) fn record_no_latency(&mut self) {
        if self.was_below {
            self.over_since = None;
        }
        self.was_below = true;
    }

    /// Returns when its start was sent, if its worker has not listed it: it may not have begun
    /// yet, or in another life than the one that was meant. An answer does not say which.
    pub(crate) fn unreported_since(&self) -> Option<u64> {
        self.sent_at.filter(|_| self.reported_at.is_none())
    }

    /// Tells whether the run is wanted to go on.
    pub(crate) fn is_wanted(&self) -> bool {
        !matches!(self.stage, Stage::Stopping(_) | Stage::StopConfirmed(_))
    }
}

/// A task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    /// Whether it is done.
    pub(crate) done: bool,
    /// Number of the last run; 0 before the first.
    pub(crate) last_run: u32,
    /// The run that may be there; apart, since most tasks of waiting jobs have none.
    pub(crate) run: Option<Box<Run>>,
    /// Numbers of the runs that failed.
    pub(crate) failed_runs: Vec<u32>,
    /// Workers that crashed under its runs.
    pub(crate) crashes: Crashes,
    /// What its next run goes on from; apart, since most tasks have none.
    pub(crate) checkpoint: Option<Box<Checkpoint>>,
    /// No new run before this time, after a failure.
    pub(crate) retry_at: u64,
    /// Worker on which the last run failed.
    pub(crate) failed_worker: Option<u32>,
    /// When it last lost its run; 0 if it had none.
    pub(crate) idle_since: u64,
    /// What the log tells of it; apart, since most tasks of waiting jobs never ran.
    pub(crate) logged: Option<Box<Logged>>,
    /// The row of the log that does.
    pub(crate) logged_row: RowNumber,
}

/// What the log tells of a task, as far as it is needed to see that the task has changed since.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Logged {
    done: bool,
    run: u32,
    /// The slot of the run's worker.
    worker: Option<u32>,
    /// How many of its runs failed.
    failed: u32,
    checkpoint: Option<Arc<str>>,
    crashes: Option<Box<Crashes>>,
}

impl Task {
    /// Tells whether the task needs a run now.
    pub(crate) fn is_waiting(&self, now: u64) -> bool {
        !self.done && self.run.is_none() && self.retry_at <= now
    }

    /// Tells whether it has changed since it was logged.
    pub(crate) fn has_changed(&self) -> bool {
        let unchanged = self.logged.as_ref().is_some_and(|l| {
            let crashes = l.crashes.as_deref();
            l.done == self.done
                && l.run == self.last_run
                && l.worker == self.run.as_ref().map(|r| r.worker)
                && l.failed as usize == self.failed_runs.len()
                && l.checkpoint.as_ref() == self.checkpoint.as_ref().map(|c| &c.text)
                && crashes.map_or(self.crashes.is_empty(), |c| *c == self.crashes)
        });
        !unchanged
    }

    /// Takes note that a row of the log tells of it as it is now.
    pub(crate) fn note_logged(&mut self, row: RowNumber) {
        let crashes = Some(&self.crashes).filter(|c| !c.is_empty());
        self.logged_row = row;
        self.logged = Some(Box::new(Logged {
            done: self.done,
            run: self.last_run,
            worker: self.run.as_ref().map(|r| r.worker),
            failed: self.failed_runs.len() as u32,
            checkpoint: self.checkpoint.as_ref().map(|c| c.text.clone()),
            crashes: crashes.map(|c| Box::new(c.clone())),
        }));
    }

    /// Returns what is kept of it; `name` gives the name of a worker's slot.
    pub(crate) fn record(&self, at: (u32, u32, u32), name: impl Fn(u32) -> Arc<str>) -> TaskRecord {
        TaskRecord {
            at,
            done: self.done,
            run: self.last_run,
            worker: self.run.as_ref().map(|r| name(r.worker)),
            failed: self.failed_runs.clone(),
            saved: self.checkpoint_text(),
            crashes: self.crashes.clone(),
        }
    }

    /// Returns the text that its next run goes on from; empty for none.
    pub(crate) fn checkpoint_text(&self) -> Arc<str> {
        let text = self.checkpoint.as_ref().map(|c| c.text.clone());
        text.unwrap_or_default()
    }

    /// Takes over a checkpoint that a run of it listed; an empty text is none.
    pub(crate) fn save_checkpoint(&mut self, text: &Arc<str>, origin: Origin) {
        let known = self.checkpoint.as_ref().is_some_and(|c| c.text == *text);
        if text.is_empty() || known {
            return;
        }
        self.checkpoint = Some(Box::new(Checkpoint {
            text: text.clone(),
            origin: Some(origin),
        }));
    }
}
