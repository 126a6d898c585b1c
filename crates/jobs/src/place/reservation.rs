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
const HELD_UP: u64 = 1000;

/// A worker is held for this long at the most, in milliseconds: users count a lasting task as
/// lost that waits for as long beside room.
const LONGEST: u64 = 6000;

/// A worker is looked for this often, in milliseconds ...
const SEEK_PERIOD: u64 = 100;

/// ... and a job that found none waits for this long, so that others get their turn.
const SEEK_AGAIN: u64 = 2000;

/// Workers whose runs are looked at to find one: those that lack the least room.
const MOST_LOOKED: usize = 32;

/// A worker that is kept free of others for a task of a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reservation {
    /// The step's first task.
    first: TaskId,
    slot: u32,
    /// What the task asks for.
    size: Capacity,
    lasting: bool,
    /// When it ends.
    until: u64,
}

impl Reservation {
    /// Tells whether a worker that takes something of this size as well has too little memory or
    /// too few accelerators for the task.
    fn is_short(&self, worker: &Worker, more: Capacity) -> bool {
        let (room, used) = (worker.capacity(), worker.used);
        room.memory < used.memory + more.memory + self.size.memory
            || room.gpu < used.gpu + more.gpu + self.size.gpu
    }
}

impl Machine {
    /// Returns the workers that are held at the beginning of a pass.
    pub(super) fn current_reservations(&mut self) -> Vec<Reservation> {
        let mut holds = std::mem::take(&mut self.reservations);
        holds.retain(|h| self.is_hold_needed(h));
        self.reservations = holds;
        self.reservations.clone()
    }

    /// Tells whether a task still waits for the worker that is held for it.
    fn is_hold_needed(&self, hold: &Reservation) -> bool {
        let first = hold.first;
        let state = self.jobs.get(&first.job);
        let Some(state) = state.filter(|s| !s.outcome.is_final()) else {
            return false;
        };
        let waits =
            state.repetitions[first.repetition as usize][first.step as usize].unassigned > 0;
        let held_up = hold.lasting || !state.has_runs();
        let open = self.fleet.get(hold.slot).accepts_runs(self.now);
        waits && held_up && open && self.now < hold.until
    }

    /// Tells whether a worker is held for a task of another step.
    pub(super) fn is_reserved(&self, slot: u32, request: &Request<'_>, pass: &Pass) -> bool {
        let others = pass.reservations.iter().filter(|h| h.slot == slot);
        let mut others = others.filter(|h| h.first != request.first_task);
        let step = request.step;
        let worker = self.fleet.get(slot);
        others.any(|h| !step.best_effort || h.is_short(worker, demand(step)))
    }

    /// Holds a worker for a task that fits nowhere, if it has waited for long.
    pub(super) fn reserve_worker(&mut self, request: &Request<'_>, pass: &mut Pass) {
        let first = request.first_task;
        if pass.reservations.iter().any(|h| h.first == first) {
            return;
        }
        let Some(state) = self.jobs.get(&first.job) else {
            return;
        };
        let lasting = request.step.long_running;
        let due = match lasting {
            true => self.is_overdue(state),
            false => self.is_held_up(state, request, pass),
        };
        if !due {
            return;
        }
        if !lasting {
            self.last_search = self.now;
        }
        let Some(slot) = self.find_room(request, pass) else {
            if let Some(state) = self.jobs.get_mut(&first.job) {
                state.search_failed_at = self.now;
            }
            return;
        };
        let hold = Reservation {
            first,
            slot,
            size: demand(request.step),
            lasting,
            until: self.now + LONGEST,
        };
        log::info!(task = first.to_string().as_str(), worker = &*self.fleet.get(slot).id, lasting; "worker: kept free");
        self.reservations.push(hold);
        pass.reservations.push(hold);
    }

    /// Tells whether a job stands still beside much room, and may hold a worker.
    fn is_held_up(&self, state: &JobState, request: &Request<'_>, pass: &Pass) -> bool {
        let early = self.now < self.last_search + SEEK_PERIOD
            || self.now < state.search_failed_at + SEEK_AGAIN;
        let is_kept = pass.reservations.iter().any(|h| !h.lasting);
        if early || is_kept || pass.is_half_full(request.service) {
            return false;
        }
        let since = state.idle_since();
        since.is_some_and(|at| self.now > at + HELD_UP)
    }

    /// Finds the worker that soonest has room for a task of a step, of those that have none now
    /// and are not held already.
    fn find_room(&self, request: &Request<'_>, pass: &Pass) -> Option<u32> {
        let step = request.step;
        let mut short = self.short_workers(request, pass);
        let most = MOST_LOOKED.min(short.len());
        if most < short.len() {
            short.select_nth_unstable(most);
        }
        let waits = short[..most].iter().filter_map(|&(_, slot)| {
            let worker = self.fleet.get(slot);
            let wait = self.time_to_room(worker, demand(step))?;
            // Else it would wait for too long.
            (step.long_running || wait < LONGEST).then_some((wait, worker.used.cpu, slot))
        });
        waits.min().map(|(_, _, slot)| slot)
    }

    /// Returns the workers that may have room for a task of a step once others have ended, with
    /// how much is short, in thousandths of what they can hold.
    fn short_workers(&self, request: &Request<'_>, pass: &Pass) -> Vec<(u64, u32)> {
        let (step, wanted) = (request.step, demand(request.step));
        let mut short = Vec::new();
        for (slot, worker) in (0..).zip(&self.fleet.workers) {
            let room = worker.capacity();
            let lacks = shortage(worker, wanted);
            // One that lacks nothing is refused for another reason than room.
            if lacks == 0 && !step.long_running || !room.has_room(worker.long_running_size, wanted)
            {
                continue;
            }
            let is_kept = pass.reservations.iter().any(|h| h.slot == slot);
            let may_take = self.may_take(worker, step, request.service).is_ok();
            if is_kept || !may_take || self.is_at_step_limit(slot, request) {
                continue;
            }
            short.push((lacks, slot));
        }
        short
    }

    /// Returns in how many milliseconds enough of a worker's runs are likely to have ended for
    /// something of a size; nothing if those that last leave too little.
    fn time_to_room(&self, worker: &Worker, wanted: Capacity) -> Option<u64> {
        let room = worker.capacity();
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
                ends.push((time_left(run, step.estimate), demand(step)));
            }
        }
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut used = worker.used;
        if room.has_room(used, wanted) {
            return Some(0);
        }
        for (at, ended) in ends {
            used.subtract(ended);
            if room.has_room(used, wanted) {
                return Some(at);
            }
        }
        None
    }
}

/// Returns how much a worker lacks for something of a size, in thousandths of what it can hold.
fn shortage(worker: &Worker, wanted: Capacity) -> u64 {
    let (room, used) = (worker.capacity(), worker.used);
    let lacks = |room: u64, used: u64, wanted: u64| {
        let lacks = (used + wanted).saturating_sub(room);
        (lacks * 1000).div_ceil(room.max(1))
    };
    lacks(room.cpu, used.cpu, wanted.cpu)
        + lacks(room.memory, used.memory, wanted.memory)
        + lacks(room.gpu, used.gpu, wanted.gpu)
}

/// Returns how long a run is likely to take yet, in milliseconds, with its task's `estimate`.
fn time_left(run: &Run, estimate: u64) -> u64 {
    if !run.is_wanted() {
        return 0;
    }
    estimate * u64::from(100 - run.percent.min(100)) / 100
}
