//! Ages late jobs: those that stand still get their turn.
//!
//! The load pattern that this answers: more work than room for minutes. Jobs that are late come
//! last, in an order that does not change, so that the last ones of it would get nothing. Of what
//! jobs in time leave, the late one of which nothing has run for longest gets a piece first, for
//! one task.
//!
//! Limits: while jobs in time take all, late ones wait. A part of the workers has such a task at
//! a time, so that other late jobs end as well. Gangs and suspects wait for their own turn.

use crate::{
    machine::Machine,
    model::{
        ids::{JobId, TaskId},
        job::JobState,
    },
    place::{pass::Pass, request::Request},
};

/// A job of which nothing has run for this long comes first among late ones, in milliseconds:
/// users count a job as lost that has stood still for 3 s.
const AGED_MS: u64 = 2000;

/// Which jobs stand still is worked out this often, in milliseconds.
const REFRESH_PERIOD_MS: u64 = 100;

/// One in so many workers may have a task that was placed so.
const WORKERS_PER_RUN: usize = 8;

/// The jobs that stand still, and those that got their turn.
#[derive(Debug, Default)]
pub(crate) struct Aging {
    /// Jobs of which nothing has run for long, and since when, the longest first.
    jobs: Vec<(u64, JobId)>,
    /// When that was worked out.
    refreshed_at: u64,
    /// Runs by which jobs got their turn.
    runs: Vec<(TaskId, u32)>,
}

impl JobState {
    /// Returns since when nothing of it has run, if nothing runs.
    pub(crate) fn idle_since(&self) -> Option<u64> {
        if self.has_runs() {
            return None;
        }
        let tasks = self.repetitions.iter().flatten().flat_map(|s| &s.tasks);
        let last_idle = tasks.map(|t| t.idle_since).max().unwrap_or(0);
        Some(self.known_since.max(last_idle))
    }

    /// Returns the first task that waits beside others, if it is no member of a gang.
    fn first_eligible_task(&self, now: u64) -> Option<TaskId> {
        for (repetition, steps) in (0..).zip(&self.repetitions) {
            for (step_index, state) in (0..).zip(steps) {
                let spec = &self.job.spec.steps[step_index as usize];
                if spec.gang
                    || spec.long_running
                    || !self.is_ready(repetition as usize, step_index as usize)
                {
                    continue;
                }
                let Some(&index) = state.waiting_tasks(now).first() else {
                    continue;
                };
                return Some(TaskId {
                    job: self.job.id,
                    repetition,
                    step: step_index,
                    index,
                });
            }
        }
        None
    }
}

impl Machine {
    /// Places a task of each job that has stood still for long, as far as that may go.
    pub(super) fn place_aged_jobs(&mut self, pass: &mut Pass) {
        if self.now >= self.aging.refreshed_at + REFRESH_PERIOD_MS {
            self.aging.refreshed_at = self.now;
            self.refresh_aged_jobs();
        }
        let max_runs = pass.open_workers.len().div_ceil(WORKERS_PER_RUN);
        let jobs = std::mem::take(&mut self.aging.jobs);
        for &(_, id) in &jobs {
            if self.aging.runs.len() >= max_runs || pass.starts_left == 0 || pass.is_over_budget() {
                break;
            }
            self.place_aged_job(id, pass);
        }
        self.aging.jobs = jobs;
    }

    /// Works out which jobs stand still, and which of those that got their turn still run.
    fn refresh_aged_jobs(&mut self) {
        let mut runs = std::mem::take(&mut self.aging.runs);
        runs.retain(|&(id, run)| {
            let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
            task.is_some_and(|t| t.last_run == run && t.run.is_some())
        });
        self.aging.runs = runs;
        let mut jobs = Vec::new();
        for &id in &self.open_jobs {
            let since = self.jobs.get(&id).and_then(JobState::idle_since);
            let since = since.filter(|&at| self.now > at + AGED_MS);
            jobs.extend(since.map(|at| (at, id)));
        }
        jobs.sort_unstable();
        self.aging.jobs = jobs;
    }

    /// Places a task of a job that stands still.
    fn place_aged_job(&mut self, id: JobId, pass: &mut Pass) {
        let Some(state) = self.jobs.get(&id).filter(|j| !j.has_runs()) else {
            return;
        };
        let Some(task) = state.first_eligible_task(self.now) else {
            return;
        };
        let (job, image) = (state.job.clone(), state.images[task.step as usize]);
        let Some(service) = self.policy(&job.queue).map(|p| p.service.clone()) else {
            return;
        };
        let service = self.fleet.service(&service);
        let request = Request {
            first_task: TaskId { index: 0, ..task },
            step: &job.spec.steps[task.step as usize],
            image,
            service: &service,
            failed_worker: self.worker_to_avoid(task),
            starved: false,
        };
        let Some(slot) = self.choose_worker(&request, &mut None, pass) else {
            return;
        };
        self.place_on(task, slot, request.step);
        pass.starts_left -= 1;
        pass.update_free_capacity(slot, &self.fleet);
        let planned = self.jobs.get(&id).and_then(|j| j.task(task));
        self.aging.runs.extend(planned.map(|t| (task, t.last_run)));
    }
}
