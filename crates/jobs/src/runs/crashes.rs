//! Attributes the crash of a worker to the tasks that ran there.
//!
//! A task may crash each worker that starts it, and so bring down one after the other with all
//! other runs there, among crashes with other causes.
//!
//! A start whose run a later incarnation may have is blamed for the crash of the incarnation that it
//! was sent to, until another one reports the run. Of the crashes of incarnations that did not
//! report it, it may explain those of the other runs there.
//!
//! Limits: a run is a likely cause if it started within a second before the crash. A task is given
//! up only on evidence of its own (see [`crate::model::crash`]), and where many workers are lost at
//! once, only the runs that had just started or are isolated are suspected. A task that crashes its
//! workers later than that may not be found while many workers are lost each time. A new owner does
//! not know which of the runs that it inherits were moved to a later incarnation without a report.

use std::sync::Arc;

use crate::{
    model::{
        crash::Blame,
        ids::TaskId,
        incarnation::Incarnation,
        record::Outcome,
        task::{Run, Stage},
    },
    runs::worker::Worker,
    scheduler::Scheduler,
};

/// A run had just started if its start was sent no longer than this before its worker fell silent,
/// in milliseconds. This exceeds the interval of the polls that show when a worker fell silent.
pub(crate) const JUST_STARTED_MS: u64 = 800;

/// Workers that are lost within this time of each other are lost simultaneously, in milliseconds.
const SIMULTANEOUS_MS: u64 = 1000;

/// If this many other workers are lost simultaneously, something else than a task is the likely
/// cause.
const MIN_SIMULTANEOUS_LOSSES: usize = 3;

/// In a large fleet, the limit is one worker in this many instead, if that is higher.
const SIMULTANEOUS_LOSS_DIVISOR: usize = 12;

/// A task whose run has been reported for longer than this crashes no workers, in milliseconds.
const CLEAR_SUSPECT_MS: u64 = 30_000;

impl Worker {
    /// Returns since when the worker has not answered; `now` if it did until its end.
    fn lost_at(&self, now: u64) -> u64 {
        self.silent_since.unwrap_or(now)
    }
}

impl Run {
    /// Returns whether the run had just started at `now`.
    fn has_just_started(&self, now: u64) -> bool {
        self.sent_at
            .is_some_and(|at| now.saturating_sub(at) <= JUST_STARTED_MS)
    }
}

impl Scheduler {
    /// Records the crashes of workers that have been silent for [`SIMULTANEOUS_MS`].
    ///
    /// Recording them only when the runs are given up would be too late: a later owner may find the
    /// next incarnation and no evidence of how this one ended. Recording them at once would be too
    /// early: simultaneous losses of other workers show a little later.
    pub(crate) fn record_crashes(&mut self) {
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            let due = worker
                .silent_since
                .is_some_and(|at| self.now > at + SIMULTANEOUS_MS);
            if due && worker.process_ended && !worker.crash_recorded {
                self.record_crash(slot);
            }
        }
    }

    /// Records the crash of a worker once, and attributes it to the tasks there.
    pub(super) fn record_crash(&mut self, slot: u32) {
        let worker = self.fleet.get_mut(slot);
        if std::mem::replace(&mut worker.crash_recorded, true) || worker.leaving_since.is_some() {
            return;
        }
        self.attribute_crash(slot);
    }

    /// Clears the signs of a crash on a worker that answers although its machine refused
    /// connections.
    pub(crate) fn clear_crash_signs(&mut self, slot: u32) {
        let worker = self.fleet.get_mut(slot);
        worker.process_ended = false;
        worker.crash_recorded = false;
        let runs = &worker.runs;
        worker.isolated_task = worker
            .isolated_task
            .filter(|g| runs.binary_search(g).is_ok());
    }

    /// Attributes the crash of a worker to the tasks there.
    ///
    /// A machine that said nothing may have lost power, so that its crash is blamed on no task more
    /// than [`Blame::Shared`]. Where many workers are lost at once, another cause is likely, and
    /// only runs that had just started on a machine that was up are suspected.
    fn attribute_crash(&mut self, slot: u32) {
        let is_simultaneous = self.is_simultaneous_loss(slot);
        let worker = self.fleet.get(slot);
        let max_blame = match (worker.process_ended, is_simultaneous) {
            (true, false) => Blame::Own,
            (false, true) => Blame::Unseen,
            _ => Blame::Shared,
        };
        let (incarnation, runs) = (worker.incarnation_name.clone(), worker.runs.clone());
        let end = worker.silent_since.unwrap_or(self.now);
        let just_started: Vec<TaskId> = runs
            .iter()
            .copied()
            .filter(|&t| self.may_be_cause(t, end))
            .collect();
        for &task in &runs {
            let blame = match just_started.contains(&task) {
                true if just_started.len() == 1 => Blame::Own,
                true => Blame::Close,
                false if is_simultaneous => Blame::Unseen,
                false if runs.len() == 1 => Blame::Own,
                false => Blame::Shared,
            };
            self.record_task_crash(task, &incarnation, blame.min(max_blame));
        }
    }

    /// Records the crash of a worker's incarnation for a task that ran there.
    fn record_task_crash(&mut self, id: TaskId, incarnation: &Arc<str>, blame: Blame) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return;
        };
        let task_run = task.run.as_ref().filter(|r| r.stage != Stage::Planned);
        // A start counts for one incarnation: the one that it was sent to, or one that reported it.
        let Some(task_run) = task_run.filter(|r| r.moved_from.is_none()) else {
            return;
        };
        let (stage, reported) = (task_run.stage, task_run.reported_at.is_some());
        task.crashes.add(incarnation, blame);
        // No later incarnation of this name could confirm the crash.
        if Incarnation::parse(incarnation).start_time.is_none() {
            task.crashes.confirm(incarnation);
        }
        self.unsettled_crashes.add(incarnation, id);
        let (run, crashes) = (task.last_run, task.crashes.count());
        log::info!(task = id.to_string().as_str(), run, worker = &**incarnation, blame:?, crashes, stage:?, reported; "task: a worker crashed under it");
        if task.crashes.is_suspect() {
            self.add_suspect(id);
        }
        self.mark_dirty(id.job);
        self.fail_proven_cause(id);
    }

    /// Returns whether so many other workers were lost at the same time that none of their tasks is
    /// the cause. Workers with an isolated suspect do not count, since the suspect may be the cause
    /// there.
    fn is_simultaneous_loss(&self, slot: u32) -> bool {
        let worker = self.fleet.get(slot);
        let (at, is_silent) = (worker.lost_at(self.now), !worker.process_ended);
        let workers = (0..).zip(&self.fleet.workers);
        let others = workers.filter(|&(other, w)| other != slot && w.isolated_task.is_none());
        let others = others.filter(|(_, w)| w.leaving_since.is_none());
        let others =
            others.filter(|(_, w)| w.process_ended || is_silent && w.silent_since.is_some());
        let lost = others.filter(|(_, w)| w.lost_at(self.now).abs_diff(at) <= SIMULTANEOUS_MS);
        let announced = self.fleet.workers.iter().filter(|w| w.announced).count();
        lost.count() >= MIN_SIMULTANEOUS_LOSSES.max(announced / SIMULTANEOUS_LOSS_DIVISOR)
    }

    /// Returns whether a run had just started at `end`, or was isolated as a suspect.
    fn may_be_cause(&self, id: TaskId, end: u64) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let Some(run) = task.and_then(|t| t.run.as_ref()) else {
            return false;
        };
        run.has_just_started(end) || self.fleet.get(run.worker).isolated_task == Some(id)
    }

    /// Ends a job if one of its tasks is proven to crash the workers that start it.
    pub(super) fn fail_proven_cause(&mut self, id: TaskId) {
        let Some(state) = self.jobs.get(&id.job) else {
            return;
        };
        let task = state.task(id).filter(|t| t.crashes.is_proven_cause());
        let Some(task) = task.filter(|_| !state.outcome.is_final()) else {
            return;
        };
        log::warn!(task = id.to_string().as_str(), crashes = task.crashes.count(); "job: a task crashes its workers");
        self.stats.jobs_given_up += 1;
        self.end_job(id.job, Outcome::Failed);
    }

    /// Records for how long the run of a task with crashes has been reported when its worker's
    /// clock shows `clock`. After a while the run need not be isolated, and later its task is no
    /// longer a suspect.
    pub(crate) fn record_survival(&mut self, slot: u32, id: TaskId, clock: u64) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return;
        };
        let first_reported = task.run.as_ref().and_then(|r| r.reported_at);
        let reported_ms = first_reported.map_or(0, |at| clock.saturating_sub(at));
        if reported_ms > task.crashes.isolation_ms()
            && self.fleet.get(slot).isolated_task == Some(id)
        {
            log::info!(task = id.to_string().as_str(), worker = &*self.fleet.get(slot).id, after_ms = reported_ms; "run: no longer apart");
            self.fleet.get_mut(slot).isolated_task = None;
            self.placement_due = true;
        }
        if reported_ms > CLEAR_SUSPECT_MS {
            task.crashes.clear();
            self.mark_dirty(id.job);
        }
    }
}
