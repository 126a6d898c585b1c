//! Confirms and withdraws the crashes that tasks are charged with.
//!
//! A worker that refuses connections may only be cut off, and run on behind the cut. What it
//! answers next decides: the same incarnation withdraws the crash, and a later one confirms it. By
//! then the tasks may have runs elsewhere, or another owner may have recorded the crash.
//!
//! Limits: the crash of a worker that never answers again stays suspected, and its entry is kept
//! until the owner changes. Workers that do not report a start time have a new name in each
//! incarnation, so that a refused connection has to be enough.

use std::sync::Arc;

use crate::{
    model::{ids::TaskId, incarnation::Incarnation, job::JobState},
    scheduler::Scheduler,
    sorted_map::SortedMap,
};

/// The tasks that are charged with the crash of an incarnation.
#[derive(Debug)]
struct ChargedTasks {
    /// Name of the incarnation.
    worker: Arc<str>,
    tasks: Vec<TaskId>,
}

/// Crashes that are not settled, by the name of the worker.
#[derive(Debug, Default)]
pub(crate) struct UnsettledCrashes {
    by_name: SortedMap<Arc<str>, Vec<ChargedTasks>>,
}

impl UnsettledCrashes {
    /// Adds the crash of an incarnation under a task.
    pub(crate) fn add(&mut self, worker: &Arc<str>, task: TaskId) {
        let id = Incarnation::parse(worker).id;
        let entries = self.by_name.or_default(&id);
        match entries.iter_mut().find(|e| e.worker == *worker) {
            Some(entry) => entry.tasks.push(task),
            None => entries.push(ChargedTasks {
                worker: worker.clone(),
                tasks: vec![task],
            }),
        }
    }

    fn put_back(&mut self, id: &Arc<str>, entry: ChargedTasks) {
        self.by_name.or_default(id).push(entry);
    }
}

/// How the crash of an incarnation is settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Confirmed,
    Withdrawn,
    Undecided,
}

impl Scheduler {
    /// Settles the crashes of a worker's incarnations after the one in `slot` has answered: that one
    /// has not crashed, and those that it has replaced have ended.
    pub(super) fn settle_crashes(&mut self, slot: u32) {
        let id = self.fleet.get(slot).id.clone();
        let Some(entries) = self.unsettled_crashes.by_name.remove(&id) else {
            return;
        };
        for entry in entries {
            match self.crash_verdict(slot, &entry.worker) {
                Verdict::Confirmed => self.confirm_crash(&entry),
                Verdict::Withdrawn => self.withdraw_crash(&entry),
                Verdict::Undecided => self.unsettled_crashes.put_back(&id, entry),
            }
        }
    }

    /// Returns what an answer of the incarnation in `slot` shows about the crash of another one, or
    /// of itself.
    fn crash_verdict(&self, slot: u32, crashed: &Arc<str>) -> Verdict {
        let current = self.fleet.get(slot);
        if current.incarnation_name == *crashed {
            return Verdict::Withdrawn;
        }
        let start_time = Incarnation::parse(crashed).start_time;
        let mut candidates = self.fleet.incarnations(&current.id).iter();
        let may_be_current = candidates.any(|&s| self.fleet.get(s).incarnation_name == *crashed);
        match start_time.and(current.start_time).is_none() || may_be_current {
            true => Verdict::Undecided,
            false => Verdict::Confirmed,
        }
    }

    /// Confirms the crash of an incarnation after another one has answered at its address.
    pub(super) fn confirm_end(&mut self, slot: u32) {
        let worker = self.fleet.get(slot);
        let (id, name) = (worker.id.clone(), worker.incarnation_name.clone());
        let entries = self.unsettled_crashes.by_name.remove(&id);
        for entry in entries.unwrap_or_default() {
            match entry.worker == name {
                true => self.confirm_crash(&entry),
                false => self.unsettled_crashes.put_back(&id, entry),
            }
        }
    }

    fn confirm_crash(&mut self, crash: &ChargedTasks) {
        let mut confirmed = 0;
        for &id in &crash.tasks {
            let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
            let Some(crashes) = task.map(|t| &mut t.crashes) else {
                continue;
            };
            if !crashes.confirm(&crash.worker) {
                continue;
            }
            confirmed += 1;
            if crashes.is_suspect() {
                self.add_suspect(id);
            }
            self.mark_dirty(id.job);
            self.fail_proven_cause(id);
        }
        log::info!(worker = &*crash.worker, tasks = crash.tasks.len(), confirmed; "crash: confirmed by a later life");
    }

    fn withdraw_crash(&mut self, crash: &ChargedTasks) {
        let mut withdrawn = 0;
        for &id in &crash.tasks {
            withdrawn += usize::from(self.withdraw_task_crash(id, &crash.worker));
        }
        log::info!(worker = &*crash.worker, tasks = crash.tasks.len(), withdrawn; "crash: withdrawn, the same life answers");
    }

    /// Withdraws the crash of an incarnation under a task; returns whether there was one. A task
    /// that is no longer a suspect is no longer isolated.
    pub(super) fn withdraw_task_crash(&mut self, id: TaskId, worker: &str) -> bool {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task.filter(|t| !t.crashes.is_empty()) else {
            return false;
        };
        let had_crash = task.crashes.remove(worker);
        let is_suspect = task.crashes.is_suspect();
        let run_slot = task.run.as_ref().map(|r| r.worker);
        if had_crash {
            self.mark_dirty(id.job);
        }
        if let Some(slot) = run_slot.filter(|_| !is_suspect) {
            let worker = self.fleet.get_mut(slot);
            if worker.isolated_task == Some(id) {
                worker.isolated_task = None;
                self.placement_due = true;
            }
        }
        had_crash
    }

    /// Adds the crashes that the records of a restored job hold.
    pub(crate) fn restore_crashes(&mut self, state: &JobState) {
        for id in state.task_ids() {
            let Some(task) = state.task(id) else {
                continue;
            };
            for worker in task.crashes.workers() {
                self.unsettled_crashes.add(worker, id);
            }
        }
    }
}
