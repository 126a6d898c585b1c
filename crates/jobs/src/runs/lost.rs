//! What is lost with a worker, and what that tells of the tasks that ran there.
//!
//! A worker is lost if another life answers at its address, or if all leases on it are over
//! and it gave no answer. Its machine may have lost its power, it may be cut off, or its
//! process may have ended; only of the last one does its address refuse connections. A task
//! may be the cause of that, and would take one worker after the other with it.
//!
//! Limits: a run counts as the likely cause if it had begun within a second; a task is given
//! up on evidence that is its own (see [`crate::model::crash`]), and where many workers are
//! lost at once, none of them is.

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
const YOUNG: u64 = 800;

/// Workers that are lost within this time of each other are lost at once, in milliseconds.
const AT_ONCE: u64 = 1000;

/// If so many others are lost at once, no task of one of them is the cause ...
const MANY: usize = 3;

/// ... or, in a large fleet, one in so many.
const MANY_SHARE: usize = 12;

/// A task whose run has been at work for this long crashes no workers, in milliseconds.
const CLEARED: u64 = 30_000;

/// How a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// Another life answers at its address.
    Ended,
    /// It gave no answer, and all leases on it are over.
    Lapsed,
}

impl Run {
    /// Tells whether it had just begun at `now`.
    pub(crate) fn is_young(&self, now: u64) -> bool {
        self.sent.is_some_and(|at| now.saturating_sub(at) <= YOUNG)
    }
}

impl Machine {
    /// A worker's life has ended, and with it all that ran there.
    pub(crate) fn worker_dead(&mut self, slot: u32) {
        let worker = self.fleet.get(slot);
        if worker.dead {
            return;
        }
        let silent = worker.silent.map_or(0, |at| self.now - at);
        log::warn!(worker = &*worker.id, runs = worker.runs.len(), silent_ms = silent, absent = worker.absent; "worker: its life has ended");
        let worker = self.fleet.get_mut(slot);
        worker.dead = true;
        worker.looking = false;
        self.forget_runs(slot, Loss::Ended);
    }

    /// Gives up the runs of silent workers whose leases are over.
    pub(crate) fn lapse(&mut self) {
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            let idle = worker.runs.is_empty() && worker.strays.is_empty();
            if idle || worker.dead || !worker.is_given_up(self.now) {
                continue;
            }
            let count = worker.runs.len();
            log::warn!(worker = &*worker.id, runs = count, absent = worker.absent; "worker: its leases are over");
            self.figures.lapsed += count as u64;
            self.forget_runs(slot, Loss::Lapsed);
        }
    }

    /// Gives up all runs on a worker; none of them can be there any more.
    fn forget_runs(&mut self, slot: u32, loss: Loss) {
        self.charge(slot, loss);
        let worker = self.fleet.get_mut(slot);
        worker.drop_strays(|_| true);
        for id in worker.runs.clone() {
            self.clear(id);
            self.mark(id.job);
            self.give_up(id);
        }
    }

    /// Takes note of what the loss of a worker tells of the tasks that ran there.
    fn charge(&mut self, slot: u32, loss: Loss) {
        let worker = self.fleet.get(slot);
        let (id, runs) = (worker.id.clone(), worker.runs.clone());
        let end = worker.silent.unwrap_or(self.now);
        let most = self.blame_for(slot, loss);
        let young: Vec<TaskId> = runs
            .iter()
            .copied()
            .filter(|&t| self.is_young(t, end))
            .collect();
        self.figures.lost += runs.len() as u64;
        for &task in &runs {
            let blame = match young.contains(&task) {
                true if young.len() == 1 => Blame::Own,
                true => Blame::Close,
                false if runs.len() == 1 => Blame::Own,
                false => Blame::Shared,
            };
            let blame = match most {
                Some(Blame::Shared) => Some(Blame::Shared),
                most => most.map(|_| blame),
            };
            let state = self.jobs.get_mut(&task.job);
            let Some(state) = state.and_then(|j| j.task_mut(task)) else {
                continue;
            };
            let Some(run) = state.run.as_ref().filter(|r| r.stage != Stage::Planned) else {
                continue;
            };
            let age = run.sent.map(|at| end.saturating_sub(at));
            if let Some(blame) = blame {
                state.crashes.note(&id, blame);
            }
            log::info!(task = task.to_string().as_str(), run = state.last, worker = &*id, age_ms:? = age, blame:?, crashes = state.crashes.count(); "run: lost with its worker");
            if state.crashes.is_suspect() {
                self.suspect(task);
            }
        }
    }

    /// Returns how much at most the loss of a worker tells of a task there.
    ///
    /// Nothing, if the worker said that it leaves or may be cut off: it need not have crashed.
    fn blame_for(&self, slot: u32, loss: Loss) -> Option<Blame> {
        let worker = self.fleet.get(slot);
        if worker.leaving.is_some() {
            return None;
        }
        // Without its row it can't be asked: it may have crashed.
        let unknown = worker.info.is_none();
        match worker.absent {
            true if self.many_lost(slot) => Some(Blame::Shared),
            true => Some(Blame::Own),
            false if loss == Loss::Ended || unknown => Some(Blame::Shared),
            false => None,
        }
    }

    /// Tells whether so many other workers were lost at the same time that the cause is none
    /// of their tasks. Those that ran a suspect apart don't count: it may be the cause there.
    fn many_lost(&self, slot: u32) -> bool {
        let at = self.fleet.get(slot).silent;
        let Some(at) = at else {
            return false;
        };
        let workers = (0..).zip(&self.fleet.workers);
        let others = workers.filter(|&(other, w)| other != slot && w.guest.is_none());
        let others = others.filter(|(_, w)| w.absent && w.leaving.is_none());
        let lost = others.filter(|(_, w)| w.silent.is_some_and(|s| s.abs_diff(at) <= AT_ONCE));
        let listed = self.fleet.workers.iter().filter(|w| w.listed).count();
        lost.count() >= MANY.max(listed / MANY_SHARE)
    }

    /// Tells whether a run had just begun at `end`, or was kept apart since its task may be
    /// the cause.
    fn is_young(&self, id: TaskId, end: u64) -> bool {
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let Some(run) = task.and_then(|t| t.run.as_ref()) else {
            return false;
        };
        run.is_young(end) || self.fleet.get(run.worker).guest == Some(id)
    }

    /// Ends a job one task of which crashes the workers that start it.
    fn give_up(&mut self, id: TaskId) {
        let Some(state) = self.jobs.get(&id.job) else {
            return;
        };
        let task = state.task(id).filter(|t| t.crashes.is_proven());
        let Some(task) = task.filter(|_| !state.outcome.is_final()) else {
            return;
        };
        log::warn!(task = id.to_string().as_str(), crashes = task.crashes.count(); "job: a task crashes its workers");
        self.figures.given_up += 1;
        self.finish(id.job, Outcome::Failed);
    }

    /// Takes note of how long a run has been at work, `ms` by its worker's clock: at last it
    /// need not be kept apart, and its task is no suspect.
    pub(crate) fn note_survival(&mut self, slot: u32, id: TaskId, ms: u64) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task.filter(|t| !t.crashes.is_empty()) else {
            return;
        };
        if ms > task.crashes.probation() && self.fleet.get(slot).guest == Some(id) {
            log::info!(task = id.to_string().as_str(), worker = &*self.fleet.get(slot).id, after_ms = ms; "run: no longer apart");
            self.fleet.get_mut(slot).guest = None;
            self.moved = true;
        }
        if ms > CLEARED {
            task.crashes.clear();
            self.mark(id.job);
        }
    }
}
