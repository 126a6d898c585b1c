//! Ages late jobs, so that those without runs are placed eventually.
//!
//! The load pattern is more work than capacity for minutes. Late jobs come last, in an
//! order that does not change, so that the last ones would never run. From the capacity
//! that jobs on time leave, the late job that has been idle for longest is served first,
//! with one task.
//!
//! Limits: late jobs wait while jobs on time take all capacity. Only a part of the workers
//! runs an aged task at a time, so that other late jobs complete as well. Gangs,
//! long-running steps and suspects are not aged.

use crate::{
    model::{
        ids::{JobId, TaskId},
        job::JobState,
    },
    place::{pass::Pass, request::Request, starvation::PlacementRule},
    scheduler::Scheduler,
};

/// Idle time after which a late job is placed before the others, in milliseconds. Users
/// count a job as lost after 3 s without a run.
const AGED_MS: u64 = 2000;

/// Time between two searches for aged jobs, in milliseconds.
const REFRESH_PERIOD_MS: u64 = 100;

/// One aged run is allowed per this many open workers.
const WORKERS_PER_RUN: usize = 8;

/// The aged jobs and the runs that were placed by age.
#[derive(Debug, Default)]
pub(crate) struct Aging {
    /// Aged jobs and since when they have been idle, the longest first.
    jobs: Vec<(u64, JobId)>,
    /// When the list of jobs was refreshed, in milliseconds.
    refreshed_at: u64,
    /// Runs that were placed by age, each with its run number.
    runs: Vec<(TaskId, u32)>,
}

impl JobState {
    /// Returns since when no task of the job has run; `None` if one runs.
    pub(crate) fn idle_since(&self) -> Option<u64> {
        if self.has_runs() {
            return None;
        }
        let tasks = self.repetitions.iter().flatten().flat_map(|s| &s.tasks);
        let last_idle = tasks.map(|t| t.idle_since).max().unwrap_or(0);
        Some(self.known_since.max(last_idle))
    }

    /// Returns the first waiting task that needs no isolation and belongs neither to a
    /// gang nor to a long-running step.
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

impl Scheduler {
    /// Places one task of each aged job, up to the limit of aged runs.
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

    /// Updates the list of aged jobs and drops aged runs that have ended.
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

    /// Places one task of an aged job.
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
            access: self.task_loan_access(task),
            nearly_lost: false,
        };
        let Some(slot) = self.choose_worker(&request, &mut None, pass) else {
            return;
        };
        self.place_on(task, slot, request.step, PlacementRule::Age);
        pass.starts_left -= 1;
        pass.update_free_capacity(slot, &self.fleet);
        let planned = self.jobs.get(&id).and_then(|j| j.task(task));
        self.aging.runs.extend(planned.map(|t| (task, t.last_run)));
    }
}
