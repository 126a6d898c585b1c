//! Handles the runs that a worker reports, and those missing from its report.

use crate::{
    event::{ReportedRun, WorkerReport},
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
    scheduler::Scheduler,
};

/// A long-running task that has run for this long counts as a success, in milliseconds.
const SETTLED_MS: u64 = 1500;

impl Scheduler {
    /// Records a run that a worker reports when its clock shows `clock`.
    pub(super) fn handle_reported_run(&mut self, slot: u32, reported: &ReportedRun, clock: u64) {
        let now = self.now;
        let id = reported.task;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return self.add_reported_orphan(slot, reported);
        };
        let is_pending = state.outcome == Outcome::Pending;
        let step = state.step_mut(id.repetition, id.step);
        let Some(step) = step.filter(|s| s.tasks.len() > id.index as usize) else {
            return self.add_reported_orphan(slot, reported);
        };
        let task = &mut step.tasks[id.index as usize];
        let is_here = task.run.as_ref().is_some_and(|r| r.worker == slot);
        if task.last_run != reported.run
            || (task.run.is_some() && !is_here)
            || task.done && !is_here
        {
            return self.add_reported_orphan(slot, reported);
        }
        let origin = Origin {
            run: reported.run,
            worker: slot,
            reported_at: now,
        };
        let has_crashes = !task.crashes.is_empty();
        let is_idle = task.run.is_none();
        step.save_checkpoint(id.index as usize, &reported.checkpoint, origin);
        if is_idle {
            step.set_run(
                id.index as usize,
                Run::new(slot, Stage::Confirmed(now), now),
            );
            self.adopt_run(slot, id, reported.run);
        }
        self.update_progress(slot, reported, clock);
        if has_crashes {
            self.record_survival(slot, id, clock);
        }
        if is_pending {
            self.mark_job_active(id);
        }
    }

    /// Records the progress of a run.
    fn update_progress(&mut self, slot: u32, reported: &ReportedRun, clock: u64) {
        let now = self.now;
        let Some(run) = self.run_on(slot, reported.task, reported.run) else {
            return;
        };
        if matches!(
            run.stage,
            Stage::Sent(_) | Stage::Unanswered(_) | Stage::Inherited
        ) {
            run.stage = Stage::Confirmed(now);
        }
        if run.percent != reported.percent || run.progressed_at.is_none() {
            run.percent = reported.percent;
            run.progressed_at = Some(clock);
        }
        let is_settled = now > run.placed_at + SETTLED_MS && reported.percent == 100;
        let placed_at = run.placed_at;
        run.reported_at.get_or_insert(clock);
        if let Some(incarnation) = run.moved_from.take() {
            self.withdraw_task_crash(reported.task, &incarnation);
        }
        let worker = self.fleet.get(slot);
        if is_settled && worker.failures > 0 && placed_at > worker.failed_at {
            self.fleet.get_mut(slot).record_success();
        }
    }

    fn adopt_run(&mut self, slot: u32, id: TaskId, run: u32) {
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

    /// Marks a job as active once one of its tasks has started.
    pub(crate) fn mark_job_active(&mut self, id: TaskId) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if state.outcome == Outcome::Pending {
            state.outcome = Outcome::Active;
            self.mark_dirty(id.job);
        }
    }

    fn add_reported_orphan(&mut self, slot: u32, reported: &ReportedRun) {
        let worker = self.fleet.get(slot);
        let is_known = |s: &Orphan| s.task == reported.task && s.run == reported.run;
        if worker.orphans.iter().any(is_known) {
            return;
        }
        let state = self.jobs.get(&reported.task.job);
        let step = state.and_then(|j| j.job.spec.steps.get(reported.task.step as usize));
        log::info!(task = reported.task.to_string().as_str(), run = reported.run, worker = &*worker.id; "run: not wanted");
        let size = step.map_or(Capacity::default(), demand);
        self.fleet.get_mut(slot).add_orphan(Orphan {
            task: reported.task,
            run: reported.run,
            size,
            sent_at: None,
            stopped_at: None,
            retry_at: 0,
        });
        self.hold_task(slot, reported.task);
    }

    /// Makes a task that needs a run wait for the end of its orphan on a worker, by giving it a run
    /// there that never starts.
    fn hold_task(&mut self, slot: u32, id: TaskId) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let job = state.job.clone();
        let Some(task) = state.task(id).filter(|t| !t.done) else {
            return;
        };
        match task.run.as_ref().map(|r| r.stage) {
            None => {}
            Some(Stage::Planned) => {
                self.clear_run(id);
                return self.hold_task(slot, id);
            }
            Some(_) => return,
        }
        let Some(step) = state.step_mut(id.repetition, id.step) else {
            return;
        };
        let run = Run::new(slot, Stage::StopConfirmed(now), now);
        step.set_run(id.index as usize, run);
        let worker = self.fleet.get_mut(slot);
        worker.reserve(id, &job.spec.steps[id.step as usize]);
        self.mark_dirty(id.job);
    }

    /// Handles the runs that are missing from a report to a poll of a generation sent at `sent`.
    pub(super) fn check_unreported(
        &mut self,
        slot: u32,
        generation: u32,
        sent: u64,
        report: &WorkerReport,
    ) {
        let is_reported = |id: TaskId, run: u32| {
            let running = &report.running;
            running.iter().any(|r| r.task == id && r.run == run)
        };
        let worker = self.fleet.get_mut(slot);
        worker.drop_orphans(|s| {
            s.stopped_at.is_some_and(|at| sent > at) && !is_reported(s.task, s.run)
        });
        let orphans: Vec<TaskId> = worker.orphans.iter().map(|s| s.task).collect();
        for id in worker.runs.clone() {
            let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
            let Some(task) = task else {
                continue;
            };
            let last = task.last_run;
            let Some(run) = task.run.as_mut() else {
                continue;
            };
            if is_reported(id, last) {
                continue;
            }
            // An orphan of the same task may be running, or may start.
            let has_no_orphan = !orphans.contains(&id);
            let is_over = match run.stage {
                Stage::Confirmed(at) | Stage::StopConfirmed(at) => sent > at,
                Stage::Unanswered(at) if run.answered => sent > at,
                _ => run.is_fenced(generation),
            };
            let stage = run.stage;
            if is_over && has_no_orphan {
                self.drop_missing(id, slot, sent, stage);
            }
        }
    }

    /// Drops a run at this stage that a poll sent at `sent` does not show.
    fn drop_missing(&mut self, id: TaskId, slot: u32, sent: u64, stage: Stage) {
        let worker = &*self.fleet.get(slot).id;
        let confirmed = match stage {
            Stage::Confirmed(at) | Stage::StopConfirmed(at) | Stage::Unanswered(at) => at,
            _ => sent,
        };
        let (confirmed_ms, polled_ms) = (self.now - confirmed, self.now - sent);
        log::info!(task = id.to_string().as_str(), worker, confirmed_ms, polled_ms; "run: not there");
        self.clear_run(id);
        self.mark_dirty(id.job);
    }
}
