//! Keeps a worker free for a task that fits nowhere yet.
//!
//! The load pattern that this answers: room that lies in pieces. Smaller tasks take each piece
//! as soon as it is free, so that a large task never finds enough of them on one worker, however
//! much room there is in all.
//!
//! Limits: a lasting task holds a worker once it has waited for long; of the others one at a
//! time does, and only while half of the room is free. What fills goes on there as far as it
//! leaves enough memory.

use crate::{
    machine::Machine,
    model::{ids::TaskId, job::JobState, task::Run},
    place::{pass::Pass, request::Request},
    runs::worker::{Capacity, Worker, demand},
};

/// A job of which nothing has run for this long may hold a worker, in milliseconds: users count
/// it as lost after 3 s, and what runs there takes its time to end.
const RESERVE_AFTER_MS: u64 = 1000;

/// A worker is held for this long at the most, in milliseconds: users count a lasting task as
/// lost that waits for as long beside room.
const MAX_RESERVATION_MS: u64 = 6000;

/// A worker is looked for this often, in milliseconds ...
const SEARCH_PERIOD_MS: u64 = 100;

/// ... and a job that found none waits for this long, so that others get their turn.
const SEARCH_RETRY_MS: u64 = 2000;

/// Workers whose runs are looked at to find one: those that lack the least room.
const MAX_CANDIDATES: usize = 32;

/// A worker that is kept free of others for a task of a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reservation {
    /// The step's first task.
    first_task: TaskId,
    slot: u32,
    /// What the task asks for.
    demand: Capacity,
    long_running: bool,
    /// When it ends.
    expires_at: u64,
}

impl Reservation {
    /// Tells whether a worker that takes something of this size as well has too little memory or
    /// too few accelerators for the task.
    fn would_block(&self, worker: &Worker, more: Capacity) -> bool {
        let (capacity, used) = (worker.capacity(), worker.used);
        capacity.memory < used.memory + more.memory + self.demand.memory
            || capacity.gpu < used.gpu + more.gpu + self.demand.gpu
    }
}

impl Machine {
    /// Returns the workers that are held at the beginning of a pass.
    pub(super) fn current_reservations(&mut self) -> Vec<Reservation> {
        let mut reservations = std::mem::take(&mut self.reservations);
        reservations.retain(|r| self.is_reservation_needed(r));
        self.reservations = reservations;
        self.reservations.clone()
    }

    /// Tells whether a task still waits for the worker that is held for it.
    fn is_reservation_needed(&self, reservation: &Reservation) -> bool {
        let first = reservation.first_task;
        let state = self.jobs.get(&first.job);
        let Some(state) = state.filter(|s| !s.outcome.is_final()) else {
            return false;
        };
        let is_waiting =
            state.repetitions[first.repetition as usize][first.step as usize].unassigned > 0;
        let is_blocked = reservation.long_running || !state.has_runs();
        let accepts_runs = self.fleet.get(reservation.slot).accepts_runs(self.now);
        is_waiting && is_blocked && accepts_runs && self.now < reservation.expires_at
    }

    /// Tells whether a worker is held for a task of another step.
    pub(super) fn is_reserved(&self, slot: u32, request: &Request<'_>, pass: &Pass) -> bool {
        let others = pass.reservations.iter().filter(|r| r.slot == slot);
        let mut others = others.filter(|r| r.first_task != request.first_task);
        let step = request.step;
        let worker = self.fleet.get(slot);
        others.any(|r| !step.best_effort || r.would_block(worker, demand(step)))
    }

    /// Holds a worker for a task that fits nowhere, if it has waited for long.
    pub(super) fn reserve_worker(&mut self, request: &Request<'_>, pass: &mut Pass) {
        let first = request.first_task;
        if pass.reservations.iter().any(|r| r.first_task == first) {
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

    /// Tells whether a job stands still beside much room, and may hold a worker.
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

    /// Finds the worker that soonest has room for a task of a step, of those that have none now
    /// and are not held already.
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
            // Else it would wait for too long.
            (step.long_running || wait < MAX_RESERVATION_MS).then_some((
                wait,
                worker.used.cpu,
                slot,
            ))
        });
        waiting_times.min().map(|(_, _, slot)| slot)
    }

    /// Returns the workers that may have room for a task of a step once others have ended, with
    /// how much is short, in thousandths of what they can hold.
    fn reservation_candidates(&self, request: &Request<'_>, pass: &Pass) -> Vec<(u64, u32)> {
        let (step, demanded) = (request.step, demand(request.step));
        let mut candidates = Vec::new();
        for (slot, worker) in (0..).zip(&self.fleet.workers) {
            let capacity = worker.capacity();
            let missing = shortage(worker, demanded);
            // One that lacks nothing is refused for another reason than room.
            if missing == 0 && !step.long_running
                || !capacity.has_room(worker.long_running_size, demanded)
            {
                continue;
            }
            let is_reserved = pass.reservations.iter().any(|r| r.slot == slot);
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

    /// Returns in how many milliseconds enough of a worker's runs are likely to have ended for
    /// something of a size; nothing if those that last leave too little.
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

/// Returns how much a worker lacks for something of a size, in thousandths of what it can hold.
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

/// Returns how long a run is likely to take yet, in milliseconds, with its task's `estimate`.
fn remaining_ms(run: &Run, estimate: u64) -> u64 {
    if !run.is_wanted() {
        return 0;
    }
    estimate * u64::from(100 - run.percent.min(100)) / 100
}
