//! Reserves a worker for a task that fits nowhere yet.
//!
//! The load pattern is fragmented capacity. Smaller tasks take each free piece at once, so
//! that a large task never finds enough on one worker, however much is free in total.
//!
//! Limits: a task that returns to capacity that it lent needs no reservation, and heeds none there.
//! A long-running task reserves a worker once it has waited for long.
//! Of the other tasks only one at a time does, and only while half of the capacity is free.
//! Best-effort tasks still start on a reserved worker as long as they leave enough memory and
//! accelerators. So do other long-running tasks that users are about to count as lost: capacity
//! that one of them can use now goes before capacity that another one may use later.

use crate::{
    model::{ids::TaskId, job::JobState, task::Run},
    place::{
        pass::Pass,
        request::{LoanAccess, Request},
    },
    runs::worker::{Capacity, Worker, demand},
    scheduler::Scheduler,
};

/// Idle time after which a job may reserve a worker, in milliseconds. Users count the job
/// as lost after 3 s, and the runs on the worker take time to end.
const RESERVE_AFTER_MS: u64 = 1000;

/// Maximum duration of a reservation, in milliseconds. Users count a long-running task as
/// lost that waits for as long while there is free capacity.
const MAX_RESERVATION_MS: u64 = 6000;

/// Time between two searches for a worker to reserve, in milliseconds.
const SEARCH_PERIOD_MS: u64 = 100;

/// Time for which a job waits after a failed search, in milliseconds, so that other jobs
/// get their turn.
const SEARCH_RETRY_MS: u64 = 2000;

/// Number of workers whose runs one search examines: those with the least shortage.
const MAX_CANDIDATES: usize = 32;

/// A worker that is reserved for a task of a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reservation {
    /// The first task of the step, which identifies the step.
    pub(super) first_task: TaskId,
    slot: u32,
    /// The capacity that the task takes up.
    demand: Capacity,
    long_running: bool,
    /// When the reservation ends, in milliseconds.
    expires_at: u64,
}

impl Reservation {
    /// Returns whether too little memory or too few accelerators are left for the
    /// reserved task if the worker takes `more` as well.
    fn would_block(&self, worker: &Worker, more: Capacity) -> bool {
        let (capacity, used) = (worker.capacity(), worker.used);
        capacity.memory < used.memory + more.memory + self.demand.memory
            || capacity.gpu < used.gpu + more.gpu + self.demand.gpu
    }
}

impl Scheduler {
    /// Drops the reservations that are no longer needed and returns the others.
    pub(super) fn current_reservations(&mut self) -> Vec<Reservation> {
        let mut reservations = std::mem::take(&mut self.reservations);
        reservations.retain(|r| self.is_reservation_needed(r));
        self.reservations = reservations;
        self.reservations.clone()
    }

    /// Returns whether a task still waits for the worker that is reserved for it.
    fn is_reservation_needed(&self, reservation: &Reservation) -> bool {
        let first = reservation.first_task;
        let state = self.jobs.get(&first.job);
        let Some(state) = state.filter(|s| !s.outcome.is_final()) else {
            return false;
        };
        let tasks = &state.repetitions[first.repetition as usize][first.step as usize].tasks;
        let is_waiting = tasks
            .iter()
            .any(|t| !t.done && t.run.is_none() && t.lent_until <= self.now);
        let is_blocked = reservation.long_running || !state.has_runs();
        let worker = self.fleet.get(reservation.slot);
        let is_usable = worker.accepts_runs(self.now)
            && worker.isolated_task.is_none()
            && !self.is_step_limit_reached(reservation.slot, first);
        is_waiting && is_blocked && is_usable && self.now < reservation.expires_at
    }

    /// Returns whether a worker is reserved for a task of another step.
    pub(super) fn is_reserved(&self, slot: u32, request: &Request<'_>, pass: &Pass) -> bool {
        let others = pass.reservations.iter().filter(|r| r.slot == slot);
        let others = others.filter(|r| r.first_task != request.first_task);
        let mut others = others.filter(|r| !r.long_running || !request.nearly_lost);
        let step = request.step;
        let worker = self.fleet.get(slot);
        others.any(|r| !step.best_effort || r.would_block(worker, demand(step)))
    }

    /// Returns whether a worker is reserved.
    pub(crate) fn is_reserved_for_any(&self, slot: u32) -> bool {
        self.reservations.iter().any(|r| r.slot == slot)
    }

    /// Drops the reservation of a worker that took a task of the step. Another task of the step
    /// may fit sooner on another worker.
    pub(super) fn use_reservation(&mut self, slot: u32, first: TaskId, pass: &mut Pass) {
        let is_used = |r: &Reservation| r.slot == slot && r.first_task == first;
        self.reservations.retain(|r| !is_used(r));
        pass.reservations.retain(|r| !is_used(r));
    }

    /// Reserves a worker for a task that fits nowhere, if the task has waited for long.
    pub(super) fn reserve_worker(&mut self, request: &Request<'_>, pass: &mut Pass) {
        let first = request.first_task;
        if pass.has_reservation(first) || self.has_loan_to_return(first) {
            return;
        }
        let Some(state) = self.jobs.get(&first.job) else {
            return;
        };
        let long_running = request.step.long_running;
        let may_reserve = match long_running {
            true => self.is_overdue(state),
            false => self.may_reserve(state, request, pass),
        };
        if !may_reserve {
            return;
        }
        if !long_running {
            self.last_search = self.now;
        }
        let Some(slot) = self.find_worker_to_reserve(request, pass) else {
            if let Some(state) = self.jobs.get_mut(&first.job) {
                state.search_failed_at = self.now;
            }
            return;
        };
        let reservation = Reservation {
            first_task: first,
            slot,
            demand: demand(request.step),
            long_running,
            expires_at: self.now + MAX_RESERVATION_MS,
        };
        log::info!(task = first.to_string().as_str(), worker = &*self.fleet.get(slot).id, lasting = long_running; "worker: kept free");
        self.reservations.push(reservation);
        pass.reservations.push(reservation);
    }

    /// Returns whether a job is idle despite much free capacity and may reserve a
    /// worker.
    fn may_reserve(&self, state: &JobState, request: &Request<'_>, pass: &Pass) -> bool {
        let is_too_early = self.now < self.last_search + SEARCH_PERIOD_MS
            || self.now < state.search_failed_at + SEARCH_RETRY_MS;
        let is_reserved = pass.reservations.iter().any(|r| !r.long_running);
        if is_too_early || is_reserved || pass.is_half_full(request.service) {
            return false;
        }
        let since = state.idle_since();
        since.is_some_and(|at| self.now > at + RESERVE_AFTER_MS)
    }

    /// Returns the unreserved worker that is the first to have capacity for a task of a
    /// step, of those that have none now.
    fn find_worker_to_reserve(&self, request: &Request<'_>, pass: &Pass) -> Option<u32> {
        let step = request.step;
        let mut candidates = self.reservation_candidates(request, pass);
        let limit = MAX_CANDIDATES.min(candidates.len());
        if limit < candidates.len() {
            candidates.select_nth_unstable(limit);
        }
        let waiting_times = candidates[..limit].iter().filter_map(|&(_, slot)| {
            let worker = self.fleet.get(slot);
            let wait = self.time_until_fit(worker, demand(step))?;
            // Otherwise the reservation would expire before there is capacity.
            (step.long_running || wait < MAX_RESERVATION_MS).then_some((
                wait,
                worker.used.cpu,
                slot,
            ))
        });
        waiting_times.min().map(|(_, _, slot)| slot)
    }

    /// Returns the workers that may have capacity for a task of a step once other runs
    /// have ended, with the shortage in thousandths of their capacity.
    fn reservation_candidates(&self, request: &Request<'_>, pass: &Pass) -> Vec<(u64, u32)> {
        let (step, demanded) = (request.step, demand(request.step));
        let mut candidates = Vec::new();
        for (slot, worker) in (0..).zip(&self.fleet.workers) {
            let capacity = worker.capacity();
            let missing = shortage(worker, demanded);
            // A worker without a shortage refuses the task for another reason
            // than capacity.
            if missing == 0 && !step.long_running
                || !capacity.has_room(worker.long_running_size, demanded)
            {
                continue;
            }
            let is_reserved = pass.reservations.iter().any(|r| r.slot == slot)
                || request.access == LoanAccess::Denied && worker.lent != Capacity::default();
            let is_eligible = self
                .check_eligibility(worker, step, request.service)
                .is_ok();
            if is_reserved || !is_eligible || self.is_at_step_limit(slot, request) {
                continue;
            }
            candidates.push((missing, slot));
        }
        candidates
    }

    /// Returns in how many milliseconds enough runs of a worker are expected to have
    /// ended for a task with this demand; `None` if long-running tasks leave too
    /// little.
    fn time_until_fit(&self, worker: &Worker, demanded: Capacity) -> Option<u64> {
        let capacity = worker.capacity();
        let mut ends: Vec<(u64, Capacity)> = Vec::new();
        for &id in &worker.runs {
            let Some(state) = self.jobs.get(&id.job) else {
                continue;
            };
            let step = &state.job.spec.steps[id.step as usize];
            let Some(run) = state.task(id).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            if !step.long_running || !run.is_wanted() {
                ends.push((remaining_ms(run, step.estimate), demand(step)));
            }
        }
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut used = worker.used;
        if capacity.has_room(used, demanded) {
            return Some(0);
        }
        for (at, ended) in ends {
            used.subtract(ended);
            if capacity.has_room(used, demanded) {
                return Some(at);
            }
        }
        None
    }
}

/// Returns how much a worker lacks for a task with this demand, in thousandths of its
/// capacity, summed over CPU, memory and accelerators.
fn shortage(worker: &Worker, demanded: Capacity) -> u64 {
    let (capacity, used) = (worker.capacity(), worker.used);
    let missing = |capacity: u64, used: u64, demanded: u64| {
        let missing = (used + demanded).saturating_sub(capacity);
        (missing * 1000).div_ceil(capacity.max(1))
    };
    missing(capacity.cpu, used.cpu, demanded.cpu)
        + missing(capacity.memory, used.memory, demanded.memory)
        + missing(capacity.gpu, used.gpu, demanded.gpu)
}

/// Returns the expected remaining time of a run, in milliseconds, from its task's
/// `estimate`.
fn remaining_ms(run: &Run, estimate: u64) -> u64 {
    if !run.is_wanted() {
        return 0;
    }
    estimate * u64::from(100 - run.percent.min(100)) / 100
}
