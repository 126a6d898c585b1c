//! What the crash of a worker tells of the tasks that ran there.
//!
//! The load pattern that this answers: a task that crashes each worker that starts it, and takes
//! one after the other with all that runs there, among crashes that have other causes.
//!
//! Limits: a run counts as the likely cause if it had begun within a second; a task is given
//! up on evidence that is its own (see [`crate::model::crash`]), and where many workers are
//! lost at once, none of their tasks is the cause.

use std::sync::Arc;

use crate::{
    machine::Machine,
    model::{
        crash::Blame,
        ids::TaskId,
        record::Outcome,
        task::{Run, Stage},
    },
};

/// A run that was started less than this before its worker was last heard had just begun, in
/// milliseconds: longer than looks are apart, which tell when that was.
pub(crate) const JUST_STARTED_MS: u64 = 800;

/// Workers that are lost within this time of each other are lost at once, in milliseconds.
const AT_ONCE: u64 = 1000;

/// If so many others are lost at once, no task of one of them is the cause ...
const MANY: usize = 3;

/// ... or, in a large fleet, one in so many.
const MANY_SHARE: usize = 12;

/// A task whose run has been at work for this long crashes no workers, in milliseconds.
const CLEARED: u64 = 30_000;

impl Run {
    /// Tells whether it had just begun at `now`.
    fn is_young(&self, now: u64) -> bool {
        self.sent_at
            .is_some_and(|at| now.saturating_sub(at) <= JUST_STARTED_MS)
    }
}

impl Machine {
    /// Takes note of what the crashes of a while ago tell.
    ///
    /// Not when the runs are given up: a later owner may find the next life there and never learn
    /// how this one ended. Nor at once: what else is lost at the same time shows a little later.
    pub(crate) fn note_crashes(&mut self) {
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            let due = worker
                .silent_since
                .is_some_and(|at| self.now > at + AT_ONCE);
            if due && worker.process_ended && !worker.crash_recorded {
                self.note_crash(slot);
            }
        }
    }

    /// Takes note of what the crash of a worker tells, once.
    pub(super) fn note_crash(&mut self, slot: u32) {
        let worker = self.fleet.get_mut(slot);
        if std::mem::replace(&mut worker.crash_recorded, true) || worker.leaving_since.is_some() {
            return;
        }
        let most = match self.many_lost(slot) {
            true => Blame::Shared,
            false => Blame::Own,
        };
        self.attribute_crash(slot, most);
    }

    /// A worker answers though its machine refused connections: it has not crashed.
    pub(crate) fn retract_crash(&mut self, slot: u32) {
        let worker = self.fleet.get_mut(slot);
        worker.process_ended = false;
        worker.crash_recorded = false;
        let (life, runs) = (worker.incarnation_name.clone(), worker.runs.clone());
        worker.isolated_task = worker
            .isolated_task
            .filter(|g| runs.binary_search(g).is_ok());
        for task in runs {
            let state = self.jobs.get_mut(&task.job);
            let Some(state) = state.and_then(|j| j.task_mut(task)) else {
                continue;
            };
            state.crashes.remove(&life);
            self.mark_dirty(task.job);
        }
    }

    /// Takes note of what the crash of a worker tells of the tasks there, `most` at most.
    pub(super) fn attribute_crash(&mut self, slot: u32, most: Blame) {
        let worker = self.fleet.get(slot);
        let (life, runs) = (worker.incarnation_name.clone(), worker.runs.clone());
        let end = worker.silent_since.unwrap_or(self.now);
        let young: Vec<TaskId> = runs
            .iter()
            .copied()
            .filter(|&t| self.may_be_cause(t, end))
            .collect();
        for &task in &runs {
            let blame = match young.contains(&task) {
                true if young.len() == 1 => Blame::Own,
                true => Blame::Close,
                false if runs.len() == 1 => Blame::Own,
                false => Blame::Shared,
            };
            self.charge_task(task, &life, blame.min(most));
        }
    }

    /// Takes note of the crash of a worker's life for a task that ran there.
    fn charge_task(&mut self, id: TaskId, life: &Arc<str>, blame: Blame) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return;
        };
        if task.run.as_ref().is_none_or(|r| r.stage == Stage::Planned) {
            return;
        }
        task.crashes.add(life, blame);
        let (run, crashes) = (task.last_run, task.crashes.count());
        log::info!(task = id.to_string().as_str(), run, worker = &**life, blame:?, crashes; "task: a worker crashed under it");
        if task.crashes.is_suspect() {
            self.add_suspect(id);
        }
        self.mark_dirty(id.job);
        self.give_up(id);
    }

    /// Tells whether so many other workers crashed at the same time that the cause is none
    /// of their tasks. Those that ran a suspect apart don't count: it may be the cause there.
    fn many_lost(&self, slot: u32) -> bool {
        let at = self.fleet.get(slot).silent_since;
        let Some(at) = at else {
            return false;
        };
        let workers = (0..).zip(&self.fleet.workers);
        let others = workers.filter(|&(other, w)| other != slot && w.isolated_task.is_none());
        let others = others.filter(|(_, w)| w.process_ended && w.leaving_since.is_none());
        let lost =
            others.filter(|(_, w)| w.silent_since.is_some_and(|s| s.abs_diff(at) <= AT_ONCE));
        let listed = self.fleet.workers.iter().filter(|w| w.registered).count();
        lost.count() >= MANY.max(listed / MANY_SHARE)
    }

    /// Tells whether a run had just begun at `end`, or was kept apart since its task may crash
    /// workers.
    fn may_be_cause(&self, id: TaskId, end: u64) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let Some(run) = task.and_then(|t| t.run.as_ref()) else {
            return false;
        };
        run.is_young(end) || self.fleet.get(run.worker).isolated_task == Some(id)
    }

    /// Ends a job one task of which crashes the workers that start it.
    fn give_up(&mut self, id: TaskId) {
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

    /// Takes note of how long a run under whose task workers crashed has been at work when its
    /// worker's clock shows `clock`: at last it need not be kept apart, and its task is no suspect.
    pub(crate) fn note_survival(&mut self, slot: u32, id: TaskId, clock: u64) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return;
        };
        let listed = task.run.as_ref().and_then(|r| r.reported_at);
        let ms = listed.map_or(0, |at| clock.saturating_sub(at));
        if ms > task.crashes.isolation_ms() && self.fleet.get(slot).isolated_task == Some(id) {
            log::info!(task = id.to_string().as_str(), worker = &*self.fleet.get(slot).id, after_ms = ms; "run: no longer apart");
            self.fleet.get_mut(slot).isolated_task = None;
            self.placement_due = true;
        }
        if ms > CLEARED {
            task.crashes.clear();
            self.mark_dirty(id.job);
        }
    }
}
