//! Tells which jobs stand still, and why no worker takes a task of theirs.
//!
//! Limits: a few jobs a second, those that have stood still for longest.

use crate::{
    machine::Machine,
    model::{
        ids::{JobId, TaskId},
        job::JobState,
    },
    place::{pass::Pass, refusal::Refusal, request::Request},
};

/// A job of which nothing has run for this long stands still, in milliseconds.
const STILL: u64 = 3000;

/// Jobs that are logged at most, each time.
const MOST_LINES: usize = 4;

/// Workers by the reason why they take no task of a job.
#[derive(Debug, Default)]
struct Refusals([u32; Refusal::COUNT]);

impl Refusals {
    fn get(&self, refusal: Refusal) -> u32 {
        self.0[refusal as usize]
    }
}

impl JobState {
    /// Returns the first task of the first step that has tasks waiting.
    fn first_waiting(&self, now: u64) -> Option<TaskId> {
        for (time, steps) in (0..).zip(&self.repetitions) {
            for (step, state) in (0..).zip(steps) {
                if !self.is_ready(time as usize, step as usize) {
                    continue;
                }
                let index = state.tasks.iter().position(|t| t.is_waiting(now));
                let Some(index) = index else {
                    continue;
                };
                return Some(TaskId {
                    job: self.job.id,
                    repetition: time,
                    step,
                    index: index as u32,
                });
            }
        }
        None
    }
}

impl Machine {
    /// Logs the jobs that have stood still for longest, and counts all.
    pub(crate) fn log_starved_jobs(&mut self) {
        let mut still: Vec<(u64, JobId)> = Vec::new();
        for &id in &self.open_jobs {
            let Some(state) = self.jobs.get(&id) else {
                continue;
            };
            let since = state.idle_since().filter(|&at| self.now > at + STILL);
            let waits = state.first_waiting(self.now).is_some();
            still.extend(since.filter(|_| waits).map(|at| (at, id)));
        }
        self.stats.starved_jobs = still.len() as u64;
        still.sort_unstable();
        let pass = Pass::new(&self.fleet, self.now);
        for (since, id) in still.into_iter().take(MOST_LINES) {
            self.tell_refusals(id, since, &pass);
        }
    }

    fn tell_refusals(&mut self, id: JobId, since: u64, pass: &Pass) {
        let Some(state) = self.jobs.get(&id) else {
            return;
        };
        let Some(task) = state.first_waiting(self.now) else {
            return;
        };
        let (job, image) = (state.job.clone(), state.images[task.step as usize]);
        let apart = state
            .task(task)
            .is_some_and(|t| t.needs_isolation(self.now));
        let Some(service) = self.policy(&job.queue).map(|p| p.service.clone()) else {
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
        };
        let refusals = self.refusals(&request, pass);
        let crowded = pass.is_crowded(&service);
        let at = self.open_jobs.iter().position(|&o| o == id);
        let count = |r| refusals.get(r);
        log::info!(
            task = task.to_string().as_str(), still_ms = self.now - since,
            order:? = at, jobs = self.open_jobs.len(), crowded, apart,
            closed = count(Refusal::Closed), guest = count(Refusal::Isolating),
            trial = count(Refusal::OnProbation), label = count(Refusal::Label),
            room = count(Refusal::NoRoom), share = count(Refusal::BestEffortShare),
            spread = count(Refusal::StepLimit), tail = count(Refusal::OverTarget),
            excess = count(Refusal::Interference),
            open = pass.open_workers.len();
            "job: stands still"
        );
    }

    /// Counts the workers by why they don't take a request now.
    fn refusals(&mut self, request: &Request<'_>, pass: &Pass) -> Refusals {
        let takes = self.takes(request);
        let mut refusals = Refusals::default();
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            if !worker.registered {
                continue;
            }
            if !worker.accepts_runs(self.now) {
                refusals.0[Refusal::Closed as usize] += 1;
                continue;
            }
            if let Err(refusal) = self.rate_worker(slot, request, pass, &takes) {
                refusals.0[refusal as usize] += 1;
            }
        }
        refusals
    }
}
