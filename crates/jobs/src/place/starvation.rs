//! Logs which jobs are starved, why no worker takes their tasks, and what ends their wait.
//!
//! Limits: only the few jobs that have been idle for longest are logged, once a second.

use crate::{
    model::{
        ids::{JobId, TaskId},
        job::JobState,
    },
    place::{pass::Pass, refusal::Refusal, request::Request},
    scheduler::Scheduler,
};

/// Idle time after which a job counts as starved and is logged, in milliseconds.
const LOG_AFTER_MS: u64 = 3000;

/// Maximum number of jobs that are logged each time.
const MAX_LOG_LINES: usize = 4;

/// The rule by which a task is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementRule {
    /// The order of the jobs.
    Order,
    /// The order of the jobs, by which the task was also allowed to exceed the CPU share of
    /// best-effort tasks, since its job is starved.
    BeyondShare,
    /// The job is late and has been idle for longest.
    Age,
    /// The task is a suspect and gets a worker of its own.
    Isolation,
}

/// A starved job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StarvedJob {
    id: JobId,
    /// Since when no task of the job has run.
    since: u64,
}

/// Number of workers by the reason why they don't take a request.
#[derive(Debug, Default)]
struct RefusalCounts([u32; Refusal::COUNT]);

impl RefusalCounts {
    fn get(&self, refusal: Refusal) -> u32 {
        self.0[refusal as usize]
    }
}

impl JobState {
    /// Returns the first waiting task of the first step that has one.
    fn first_waiting_task(&self, now: u64) -> Option<TaskId> {
        for (repetition, steps) in (0..).zip(&self.repetitions) {
            for (step_index, state) in (0..).zip(steps) {
                if !self.is_ready(repetition as usize, step_index as usize) {
                    continue;
                }
                let index = state.tasks.iter().position(|t| t.is_waiting(now));
                let Some(index) = index else {
                    continue;
                };
                return Some(TaskId {
                    job: self.job.id,
                    repetition,
                    step: step_index,
                    index: index as u32,
                });
            }
        }
        None
    }
}

impl Scheduler {
    /// Counts the starved jobs and logs those that have been idle for longest.
    pub(crate) fn log_starved_jobs(&mut self) {
        let mut starved: Vec<(u64, JobId)> = Vec::new();
        for &id in &self.open_jobs {
            let Some(state) = self.jobs.get(&id) else {
                continue;
            };
            let since = state
                .idle_since()
                .filter(|&at| self.now > at + LOG_AFTER_MS);
            let has_waiting_task = state.first_waiting_task(self.now).is_some();
            starved.extend(since.filter(|_| has_waiting_task).map(|at| (at, id)));
        }
        starved.sort_unstable();
        let longest = starved.first().map_or(0, |&(since, _)| self.now - since);
        (self.stats.starved_jobs, self.stats.longest_stall_ms) = (starved.len() as u64, longest);
        let mut jobs: Vec<StarvedJob> = starved
            .iter()
            .map(|&(since, id)| StarvedJob { id, since })
            .collect();
        jobs.sort_unstable_by_key(|j| j.id);
        self.starved_jobs = jobs;
        let pass = Pass::new(&self.fleet, self.now);
        for (since, id) in starved.into_iter().take(MAX_LOG_LINES) {
            self.log_refusals(id, since, &pass);
        }
    }

    /// Logs that a task of a starved job is placed on a worker, and by which rule.
    pub(super) fn log_stall_end(&mut self, id: TaskId, slot: u32, rule: PlacementRule) {
        let index = self.starved_jobs.binary_search_by_key(&id.job, |j| j.id);
        let Ok(index) = index else {
            return;
        };
        let job = self.starved_jobs.remove(index);
        let worker = self.fleet.get(slot);
        log::info!(
            task = id.to_string().as_str(), still_ms = self.now - job.since, rule:?,
            worker = &*worker.id, known_ms = self.now.saturating_sub(worker.announced_at),
            serving = worker.serving_tasks, filling = worker.best_effort_cpu;
            "job: runs again"
        );
    }

    fn log_refusals(&mut self, id: JobId, since: u64, pass: &Pass) {
        let Some(state) = self.jobs.get(&id) else {
            return;
        };
        let Some(task) = state.first_waiting_task(self.now) else {
            return;
        };
        let (job, image) = (state.job.clone(), state.images[task.step as usize]);
        let needs_isolation = state
            .task(task)
            .is_some_and(|t| t.needs_isolation(self.now));
        let Some(service) = self.policy(&job.queue).map(|p| p.service.clone()) else {
            log::warn!(task = task.to_string().as_str(), queue = &*job.queue, still_ms = self.now - since; "job: its queue has no policy");
            return;
        };
        let service = self.fleet.service(&service);
        let request = Request {
            first_task: TaskId { index: 0, ..task },
            step: &job.spec.steps[task.step as usize],
            image,
            service: &service,
            failed_worker: None,
            starved: false,
            access: self.loan_access(TaskId { index: 0, ..task }),
            nearly_lost: false,
        };
        let refusals = self.count_refusals(&request, pass);
        let is_crowded = pass.is_crowded(&service);
        let (cpu_percent, memory_percent) = pass.used_percent(&service);
        let position = self.open_jobs.iter().position(|&o| o == id);
        let is_late =
            position.is_some_and(|p| p >= self.open_jobs.len().saturating_sub(self.late_jobs));
        let count = |r| refusals.get(r);
        log::info!(
            task = task.to_string().as_str(), still_ms = self.now - since,
            order:? = position, jobs = self.open_jobs.len(), late = is_late, crowded = is_crowded, cpu_percent, memory_percent,
            apart = needs_isolation,
            closed = count(Refusal::Closed), guest = count(Refusal::Isolating),
            trial = count(Refusal::OnProbation), label = count(Refusal::Label),
            room = count(Refusal::NoRoom), share = count(Refusal::BestEffortShare),
            kept = count(Refusal::Reserved), failed = count(Refusal::FailedBefore),
            spread = count(Refusal::StepLimit), tail = count(Refusal::OverTarget),
            excess = count(Refusal::Interference),
            open = pass.open_workers.len();
            "job: stands still"
        );
    }

    /// Counts the workers by the reason why they don't take a request now.
    fn count_refusals(&mut self, request: &Request<'_>, pass: &Pass) -> RefusalCounts {
        let headroom_costs = self.headroom_costs(request);
        let mut refusals = RefusalCounts::default();
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            if !worker.announced {
                continue;
            }
            if !worker.accepts_runs(self.now) {
                refusals.0[Refusal::Closed as usize] += 1;
                continue;
            }
            if let Err(refusal) = self.rate_worker(slot, request, pass, &headroom_costs) {
                refusals.0[refusal as usize] += 1;
            }
        }
        refusals
    }
}
