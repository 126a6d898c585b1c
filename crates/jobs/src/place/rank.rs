//! Ranks the workers that can take a task of a step.
//!
//! A worker suits all tasks of a step equally well. The workers are therefore rated once
//! per step, and a worker is rated again only after a task is placed on it: rating all of
//! 1,100 workers for each task took half of the decision time.
//!
//! Ratings are in thousandths of a worker's CPU capacity; a higher rating is better.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{
    model::{ids::TaskId, spec::Step},
    place::{
        pass::Pass,
        refusal::Refusal,
        request::{LoanAccess, Request},
    },
    runs::worker::Worker,
    scheduler::Scheduler,
    share::sample::Image,
};

/// Added to the rating of a serving task for each serving task of the same image on the
/// worker.
const SAME_IMAGE_BONUS: i64 = 200;

/// Subtracted for each serving task of another image on the worker.
const OTHER_IMAGE_PENALTY: i64 = 400;

/// Subtracted for each unit of headroom that is lost.
const HEADROOM_PENALTY: f64 = 250.0;

/// Added for workers in the rack of the step's data; exceeds every other term.
const DATA_RACK_BONUS: i64 = 5000;

/// Subtracted for each percent by which a worker's runs exceed their estimates.
const SLOWNESS_PENALTY: i64 = 5;

/// Workers with capacity for a task of one step, ordered by rating.
#[derive(Debug)]
pub(crate) struct Ranking {
    /// Ratings and slots; the lowest slot comes first among equal ratings.
    candidates: BinaryHeap<(i64, Reverse<u32>)>,
    /// Headroom that each serving image loses to a whole worker of the step's image;
    /// empty unless the step is best-effort.
    headroom_costs: Vec<f64>,
}

impl Scheduler {
    /// Rates all open workers for a request.
    pub(crate) fn rank_workers(&mut self, request: &Request<'_>, pass: &Pass) -> Ranking {
        let mut ranking = Ranking {
            candidates: BinaryHeap::new(),
            headroom_costs: self.headroom_costs(request),
        };
        for &slot in &pass.open_workers {
            if !pass.free_capacity(slot).fits(request.step, request.starved) {
                continue;
            }
            let rating = self
                .rate_worker(slot, request, pass, &ranking.headroom_costs)
                .ok();
            ranking
                .candidates
                .extend(rating.map(|r| (r, Reverse(slot))));
        }
        ranking
    }

    /// Returns the headroom that each serving image loses to a whole worker of the
    /// request's image; empty unless the step is best-effort.
    pub(super) fn headroom_costs(&self, request: &Request<'_>) -> Vec<f64> {
        match request.step.best_effort {
            true => self
                .interference
                .headroom_costs(request.image, self.images.len() + 1),
            false => Vec::new(),
        }
    }

    /// Returns the best worker of a ranking.
    ///
    /// Placements since the rating may have changed it, so the worker is rated again,
    /// and returned only if its rating still holds.
    pub(crate) fn best_worker(
        &mut self,
        ranking: &mut Ranking,
        request: &Request<'_>,
        pass: &Pass,
    ) -> Option<u32> {
        while let Some(&(old, Reverse(slot))) = ranking.candidates.peek() {
            let new = self
                .rate_worker(slot, request, pass, &ranking.headroom_costs)
                .ok();
            if new == Some(old) {
                return Some(slot);
            }
            ranking.candidates.pop();
            ranking.candidates.extend(new.map(|r| (r, Reverse(slot))));
        }
        None
    }

    /// Returns the rating of a worker for a request, or why the worker can't take it.
    pub(super) fn rate_worker(
        &mut self,
        slot: u32,
        request: &Request<'_>,
        pass: &Pass,
        headroom_costs: &[f64],
    ) -> Result<i64, Refusal> {
        let step = request.step;
        let worker = self.fleet.get(slot);
        self.check_fit(worker, step, request.service, request.starved)?;
        if request.failed_worker == Some(slot)
            || request.failed_worker.is_some() && worker.failures > 0
        {
            return Err(Refusal::FailedBefore);
        }
        let is_lent = match step.long_running {
            true => !self.has_room_beside_loans(slot, request),
            false => !worker.is_back_in_time(step, self.now),
        };
        let is_own = step.long_running
            && request.access != LoanAccess::Denied
            && self.returns_to(slot, request.first_task);
        if is_lent || !is_own && self.is_reserved(slot, request, pass) {
            return Err(Refusal::Reserved);
        }
        if self.is_at_step_limit(slot, request) {
            return Err(Refusal::StepLimit);
        }
        let mut rating = base_rating(worker, step);
        if step.latency_target > 0 {
            rating += self.image_affinity(worker, request.image);
            rating -= (self.headroom_taken_on(slot, request.image) * HEADROOM_PENALTY) as i64;
        }
        if step.best_effort {
            let share = worker.cpu_share(step.cpu);
            let slack = self.slack(slot);
            let excess = slack.excess(headroom_costs, share);
            if slack.is_over_target && !self.can_start_over_target(slot, request) {
                return Err(Refusal::OverTarget);
            }
            if excess > 0.0 && !request.starved {
                return Err(Refusal::Interference);
            }
            rating -= (excess * HEADROOM_PENALTY) as i64;
        }
        Ok(rating)
    }

    /// Returns whether a best-effort task may start beside a serving task whose tail
    /// latency is over its target.
    fn can_start_over_target(&self, slot: u32, request: &Request<'_>) -> bool {
        let worker = self.fleet.get(slot);
        request.starved
            && worker.best_effort_cpu == 0
            && worker.own_load.may_run_best_effort(self.now)
    }

    /// Returns whether a worker runs as many tasks of a step as it may.
    pub(super) fn is_at_step_limit(&self, slot: u32, request: &Request<'_>) -> bool {
        request.step.max_per_worker > 0 && self.is_step_limit_reached(slot, request.first_task)
    }

    /// Returns whether a worker runs as many tasks of the step of a task as it may.
    pub(crate) fn is_step_limit_reached(&self, slot: u32, task: TaskId) -> bool {
        let Some(state) = self.jobs.get(&task.job) else {
            return false;
        };
        let max_per_worker = state.job.spec.steps[task.step as usize].max_per_worker;
        let runs = &state.repetitions[task.repetition as usize][task.step as usize];
        max_per_worker > 0 && runs.runs_on(slot) >= max_per_worker
    }

    /// Returns the part of the rating for the serving tasks that already run on a
    /// worker.
    ///
    /// Images differ in which best-effort tasks interfere with them. A worker that
    /// serves a single image can run the best-effort tasks that interfere with other
    /// images.
    fn image_affinity(&self, worker: &Worker, image: Image) -> i64 {
        let mut rating = 0;
        for id in &worker.runs {
            let Some(state) = self.jobs.get(&id.job) else {
                continue;
            };
            if state.job.spec.steps[id.step as usize].latency_target == 0 {
                continue;
            }
            rating += match state.images[id.step as usize] == image {
                true => SAME_IMAGE_BONUS,
                false => -OTHER_IMAGE_PENALTY,
            };
        }
        rating
    }
}

/// Returns the rating of a worker for a task of a step by free CPU, rack and speed.
pub(super) fn base_rating(worker: &Worker, step: &Step) -> i64 {
    let capacity = worker.capacity();
    let free = (capacity.cpu + worker.spare_cpu) as i64
        - (worker.used.cpu + worker.best_effort_cpu) as i64;
    let mut rating = free * 1000 / (capacity.cpu as i64).max(1);
    if let (Some(rack), Some(info)) = (&step.data_rack, &worker.info)
        && info.labels.contains(rack)
    {
        rating += DATA_RACK_BONUS;
    }
    rating - (worker.slowness as i64 - 100).max(0) * SLOWNESS_PENALTY
}
