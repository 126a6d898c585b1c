//! Ends jobs, stops runs, and drops the state of both.

use crate::{
    model::{
        ids::{JobId, TaskId},
        record::Outcome,
        task::Stage,
    },
    scheduler::Scheduler,
};

impl Scheduler {
    /// Ends a job and stops its runs.
    pub(crate) fn end_job(&mut self, id: JobId, outcome: Outcome) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id) else {
            return;
        };
        log::info!(job = id.to_string().as_str(), outcome:? = outcome, after = now - state.known_since; "jobs: ended");
        let was_open = !state.outcome.is_final();
        state.outcome = outcome;
        let tasks = state.task_ids();
        if was_open {
            let images = state.images.clone();
            self.release_images(&images);
        }
        self.open_jobs.retain(|&j| j != id);
        for task in tasks {
            self.stop_run(task);
        }
        self.forget_tasks(id);
        self.mark_dirty(id);
        self.placement_due = true;
    }

    /// Stops a task's run, or drops it if its start was not sent.
    pub(crate) fn stop_run(&mut self, id: TaskId) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(run) = task.and_then(|t| t.run.as_mut()) else {
            return;
        };
        if run.stage == Stage::Planned {
            self.clear_run(id);
        } else if run.is_wanted() {
            run.stage = Stage::Stopping(None);
            self.stopping.push(id);
        }
    }

    /// Drops a task's run and releases its capacity.
    pub(crate) fn clear_run(&mut self, id: TaskId) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let job = state.job.clone();
        let Some(task) = state.task_mut(id) else {
            return;
        };
        task.idle_since = self.now;
        let step = state.step_mut(id.repetition, id.step);
        let Some(run) = step.and_then(|s| s.take_run(id.index as usize)) else {
            return;
        };
        let step = &job.spec.steps[id.step as usize];
        self.fleet.keep_ends_after(run.worker, &run, self.now);
        let worker = self.fleet.get_mut(run.worker);
        worker.release(id, step);
        // A lost worker keeps its suspect, which explains the loss of the other runs there.
        if !worker.dead && !worker.process_ended {
            worker.isolated_task = worker.isolated_task.filter(|&g| g != id);
        }
        self.placement_due = true;
        self.forget_tasks(id.job);
    }

    /// Drops the tasks of a job that has ended once none of them has a run: 80 tasks take 16 KB,
    /// and callers ask for a job for minutes.
    fn forget_tasks(&mut self, id: JobId) {
        let Some(state) = self.jobs.get_mut(&id) else {
            return;
        };
        if state.outcome.is_final() && !state.has_runs() {
            state.repetitions = Vec::new();
        }
    }

    /// Records that a job's record has to be written.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        let Some(state) = self.jobs.get_mut(&id) else {
            return;
        };
        if !state.dirty {
            state.dirty = true;
            self.dirty_jobs.push(id);
        }
    }
}
