//! A task and its run.

use std::sync::Arc;

use crate::{
    model::{
        changes::RowNumber,
        checkpoint::{Checkpoint, Origin},
        crash::Crashes,
        record::TaskRecord,
    },
    runs::fencing::INHERITED_GENERATION,
};

/// A tail latency below this share of its target is below it, whatever its error.
const FAR_BELOW_TARGET: f64 = 0.6;

/// A tail latency below this share of its target is below it if the other tasks of the step
/// agree: a measured tail is usually off by a tenth.
const CLEARLY_BELOW_TARGET: f64 = 0.9;

/// Time for which a task that may have crashed as many workers as it may waits until they are back,
/// in milliseconds. Some of them may never return.
const VERDICT_WAIT_MS: u64 = 15_000;

/// The pace of a run where the last order that its worker received is unknown.
pub(crate) const UNKNOWN_PACE: u32 = u32::MAX;

/// Time for which a run works before it may be stopped for other work, in milliseconds: longer than
/// a task is away for such a stop, and than it takes to start elsewhere.
const SETTLED_MS: u64 = 8000;

/// The stage of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The placement is not durable yet; no start was sent.
    Planned,
    /// The start was sent at this time and is unanswered.
    Sent(u64),
    /// The worker confirmed the run at this time.
    Confirmed(u64),
    /// The start had got no answer by this time.
    Unanswered(u64),
    /// An earlier owner placed the run, and the worker has not reported yet.
    Inherited,
    /// The run is to be stopped; the time when the stop was sent, if one is in flight.
    Stopping(Option<u64>),
    /// The worker confirmed at this time that the run is ending, or will never start.
    StopConfirmed(u64),
}

/// A run of a task.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Slot of the worker.
    pub(crate) worker: u32,
    pub(crate) stage: Stage,
    /// When the run was placed.
    pub(crate) placed_at: u64,
    /// When the start was sent; `None` before, and if an earlier owner sent it.
    pub(crate) sent_at: Option<u64>,
    /// Generation of the start, or [`INHERITED_GENERATION`].
    pub(crate) generation: u32,
    /// Whether the start was answered, so that it can't be carried out later.
    pub(crate) answered: bool,
    /// Whether the answer to the start shows which incarnation of the worker has the run, or
    /// that none does.
    pub(crate) attributed: bool,
    /// Last reported progress in percent.
    pub(crate) percent: u32,
    /// The incarnation that the start was sent to, while a later one has the run and has not
    /// reported it.
    pub(crate) moved_from: Option<Arc<str>>,
    /// When the run was first reported, on the worker's clock.
    pub(crate) reported_at: Option<u64>,
    /// When the progress last changed, on the worker's clock; `None` before the first report.
    pub(crate) progressed_at: Option<u64>,
    /// Pace in percent that was last sent to the worker, or [`UNKNOWN_PACE`].
    pub(crate) pace: u32,
    /// Wanted pace in percent.
    pub(crate) wanted_pace: u32,
    /// Whether the time of the run is not representative of the task, because the run was
    /// slowed, resumed from a checkpoint, or began under an earlier owner.
    pub(crate) partial: bool,
    /// No change of pace is sent before this time; [`u64::MAX`] while one is in flight.
    pub(crate) next_pace_at: u64,
    /// Since when the run has been slowed strongly.
    pub(crate) slowed_since: Option<u64>,
    /// For a serving task: since when the tail latency has been over its target.
    pub(crate) over_since: Option<u64>,
    /// Whether the last tail latency was below its target.
    was_below: bool,
}

impl Run {
    pub(crate) fn new(worker: u32, stage: Stage, now: u64) -> Run {
        // An earlier owner may have slowed a run that it placed.
        let pace = match stage {
            Stage::Planned => 100,
            _ => UNKNOWN_PACE,
        };
        Run {
            worker,
            stage,
            placed_at: now,
            sent_at: None,
            generation: INHERITED_GENERATION,
            answered: false,
            attributed: false,
            percent: 0,
            moved_from: None,
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

    /// Returns the time without progress in milliseconds, at `clock` on the worker's clock.
    pub(crate) fn stalled_for(&self, clock: u64) -> u64 {
        self.progressed_at
            .map_or(0, |progressed_at| clock.saturating_sub(progressed_at))
    }

    /// Records a tail latency as a share of its target. `min_headroom` is the lowest recent
    /// headroom of the tasks of the step, less the interference from best-effort runs.
    ///
    /// A measured tail is off by up to a quarter. So a single value over the target counts, and
    /// a single value below it among others over it does not end the violation, which goes on
    /// for the users. Two values in a row below the target do end it, however close to the
    /// target: at the peak of a load, tails stay at four fifths of their targets for seconds,
    /// which must not stop all best-effort runs. With a threshold of 0.9 of the target, and a
    /// violation that lasted until a value below 0.75, half of the workers took no best-effort
    /// runs for half of the time.
    ///
    /// Where the other tasks of the step have stayed well below their targets, a single value
    /// clearly below the target is enough.
    pub(crate) fn record_latency(&mut self, share: f64, min_headroom: f64, now: u64) {
        let is_below = share < 1.0;
        let step_agrees = share < CLEARLY_BELOW_TARGET && min_headroom > 1.0 / CLEARLY_BELOW_TARGET;
        if !is_below {
            self.over_since = self.over_since.or(Some(now));
        } else if self.was_below || share < FAR_BELOW_TARGET || step_agrees {
            self.over_since = None;
        }
        self.was_below = is_below;
    }

    /// Records that there is no tail latency because no request was served in the last half
    /// second.
    pub(crate) fn record_no_latency(&mut self) {
        if self.was_below {
            self.over_since = None;
        }
        self.was_below = true;
    }

    /// Returns whether the start was sent and the worker has not reported the run to this owner.
    /// The run may not have begun yet, or may have begun in another incarnation than intended; the
    /// answer to the start does not show which.
    pub(crate) fn is_unreported(&self) -> bool {
        let was_sent = self.sent_at.is_some() || self.stage == Stage::Inherited;
        was_sent && self.reported_at.is_none()
    }

    /// Returns whether the run has worked for so long that it may be stopped for other work. A task
    /// that was moved or lent recently is not taken again.
    pub(crate) fn has_settled(&self, now: u64) -> bool {
        matches!(self.stage, Stage::Confirmed(at) if now >= at + SETTLED_MS)
    }

    /// Returns whether the run is to go on.
    pub(crate) fn is_wanted(&self) -> bool {
        !matches!(self.stage, Stage::Stopping(_) | Stage::StopConfirmed(_))
    }
}

/// A task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    /// Number of the last run; 0 before the first.
    pub(crate) last_run: u32,
    /// The run that may exist. Boxed, since most tasks of waiting jobs have none.
    pub(crate) run: Option<Box<Run>>,
    /// Numbers of the runs that failed.
    pub(crate) failed_runs: Vec<u32>,
    /// Crashes of workers under the runs of the task.
    pub(crate) crashes: Crashes,
    /// The checkpoint for the next run. Boxed, since most tasks have none.
    pub(crate) checkpoint: Option<Box<Checkpoint>>,
    /// After a failure: no new run before this time.
    pub(crate) retry_at: u64,
    /// Worker on which the last run failed.
    pub(crate) failed_worker: Option<u32>,
    /// When the task last lost its run; 0 if it had none.
    pub(crate) idle_since: u64,
    /// No new run before this time, since the capacity of the last one is lent; 0 if it is not, or
    /// was called back.
    pub(crate) lent_until: u64,
    /// The logged state. Boxed, since most tasks of waiting jobs never ran.
    pub(crate) logged: Option<Box<Logged>>,
    /// The row of the log that holds the logged state.
    pub(crate) logged_row: RowNumber,
}

/// The logged state of a task, as far as it is needed to detect later changes.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Logged {
    done: bool,
    run: u32,
    /// The slot of the run's worker.
    worker: Option<u32>,
    /// Number of failed runs.
    failed: u32,
    checkpoint: Option<Arc<str>>,
    crashes: Option<Box<Crashes>>,
}

impl Task {
    /// Returns whether the task needs a run now.
    pub(crate) fn is_waiting(&self, now: u64) -> bool {
        let is_held = self.crashes.awaits_verdict() && now <= self.idle_since + VERDICT_WAIT_MS;
        let may_start = self.retry_at <= now && self.lent_until <= now && !is_held;
        !self.done && self.run.is_none() && may_start
    }

    /// Returns whether the task has changed since it was logged.
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

    /// Records that a row of the log holds the current state.
    pub(crate) fn mark_logged(&mut self, row: RowNumber) {
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

    /// Returns the record of the task; `name` returns the name of a worker by its slot.
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

    /// Returns the text of the checkpoint for the next run; empty for none.
    pub(crate) fn checkpoint_text(&self) -> Arc<str> {
        let text = self.checkpoint.as_ref().map(|c| c.text.clone());
        text.unwrap_or_default()
    }

    /// Saves a checkpoint that a run of the task reported; an empty text is ignored.
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
