//! What follows from the runs that a worker lists, and from those that it does not.

use crate::{
    event::{ReportedRun, WorkerReport},
    machine::Machine,
    model::{
        checkpoint::Origin,
        ids::TaskId,
        record::Outcome,
        task::{Run, Stage},
    },
    runs::{
        orphan::Orphan,
        worker::{Capacity, demand},
    },
};

/// A lasting task that is at work for this long has done well, in milliseconds.
const SETTLED: u64 = 1500;

impl Machine {
    /// Takes note of a run that a worker lists when its clock shows `clock`.
    pub(super) fn handle_reported_run(&mut self, slot: u32, row: &ReportedRun, clock: u64) {
        let now = self.now;
        let id = row.task;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return self.stray(slot, row);
        };
        let pending = state.outcome == Outcome::Pending;
        let step = state.step_mut(id.repetition, id.step);
        let Some(step) = step.filter(|s| s.tasks.len() > id.index as usize) else {
            return self.stray(slot, row);
        };
        let task = &mut step.tasks[id.index as usize];
        let here = task.run.as_ref().is_some_and(|r| r.worker == slot);
        if task.last_run != row.run || (task.run.is_some() && !here) || task.done && !here {
            return self.stray(slot, row);
        }
        let origin = Origin {
            run: row.run,
            worker: slot,
            reported_at: now,
        };
        let crashed = !task.crashes.is_empty();
        let idle = task.run.is_none();
        step.save_checkpoint(id.index as usize, &row.checkpoint, origin);
        if idle {
            step.set_run(
                id.index as usize,
                Run::new(slot, Stage::Confirmed(now), now),
            );
            self.adopt(slot, id, row.run);
        }
        self.progress(slot, row, clock);
        if crashed {
            self.note_survival(slot, id, clock);
        }
        if pending {
            self.mark_begun(id);
        }
    }

    /// Takes note of how far a run is.
    fn progress(&mut self, slot: u32, row: &ReportedRun, clock: u64) {
        let now = self.now;
        let Some(run) = self.run_on(slot, row.task, row.run) else {
            return;
        };
        if matches!(
            run.stage,
            Stage::Sent(_) | Stage::Unanswered(_) | Stage::Inherited
        ) {
            run.stage = Stage::Confirmed(now);
        }
        if run.percent != row.percent || run.progressed_at.is_none() {
            run.percent = row.percent;
            run.progressed_at = Some(clock);
        }
        let settled = now > run.placed_at + SETTLED && row.percent == 100;
        let since = run.placed_at;
        run.reported_at.get_or_insert(clock);
        let worker = self.fleet.get(slot);
        if settled && worker.failures > 0 && since > worker.failed_at {
            self.fleet.get_mut(slot).note_success();
        }
    }

    fn adopt(&mut self, slot: u32, id: TaskId, run: u32) {
        let Some(state) = self.jobs.get(&id.job) else {
            return;
        };
        let step = &state.job.spec.steps[id.step as usize];
        self.fleet.get_mut(slot).reserve(id, step);
        log::info!(task = id.to_string().as_str(), run, worker = &*self.fleet.get(slot).id; "run: adopted");
        if state.outcome.is_final() {
            self.stop_run(id);
        }
    }

    /// Takes note that a task of a job has begun.
    pub(crate) fn mark_begun(&mut self, id: TaskId) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if state.outcome == Outcome::Pending {
            state.outcome = Outcome::Active;
            self.mark_dirty(id.job);
        }
    }

    fn stray(&mut self, slot: u32, row: &ReportedRun) {
        let worker = self.fleet.get(slot);
        let known = |s: &Orphan| s.task == row.task && s.run == row.run;
        if worker.orphans.iter().any(known) {
            return;
        }
        let state = self.jobs.get(&row.task.job);
        let step = state.and_then(|j| j.job.spec.steps.get(row.task.step as usize));
        log::info!(task = row.task.to_string().as_str(), run = row.run, worker = &*worker.id; "run: not wanted");
        let size = step.map_or(Capacity::default(), demand);
        self.fleet.get_mut(slot).add_orphan(Orphan {
            task: row.task,
            run: row.run,
            size,
            sent_at: None,
            stopped_at: None,
            retry_at: 0,
        });
    }

    /// Draws conclusions from what a look that was sent at `sent` does not list.
    pub(super) fn check_unreported(&mut self, slot: u32, sent: u64, look: &WorkerReport) {
        let is_listed = |id: TaskId, run: u32| {
            let rows = &look.running;
            rows.iter().any(|r| r.task == id && r.run == run)
        };
        let worker = self.fleet.get_mut(slot);
        worker.drop_orphans(|s| {
            s.stopped_at.is_some_and(|at| sent > at) && !is_listed(s.task, s.run)
        });
        let strays: Vec<TaskId> = worker.orphans.iter().map(|s| s.task).collect();
        for id in worker.runs.clone() {
            let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
            let Some(task) = task else {
                continue;
            };
            let last = task.last_run;
            let Some(run) = task.run.as_mut() else {
                continue;
            };
            if is_listed(id, last) {
                continue;
            }
            // Another run of the task may be there, or begin.
            let free = !strays.contains(&id);
            match run.stage {
                Stage::Unanswered(at) if sent > at => {
                    run.stage = Stage::Stopping(None);
                    self.stopping.push(id);
                }
                Stage::Confirmed(at) | Stage::StopConfirmed(at) if sent > at && free => {
                    self.gone(id)
                }
                Stage::Inherited if free => self.gone(id),
                _ => {}
            }
        }
    }

    fn gone(&mut self, id: TaskId) {
        log::info!(task = id.to_string().as_str(); "run: not there");
        self.clear_run(id);
        self.mark_dirty(id.job);
    }
}
