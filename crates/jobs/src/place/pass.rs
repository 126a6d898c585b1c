//! What one pass of placement knows and found out, and how far it goes.

use std::sync::Arc;

use crate::{
    place::{free_capacity::FreeCapacity, reservation::Reservation, unplaceable::Unplaceable},
    runs::{fleet::Fleet, worker::Capacity},
};

/// Workers that one pass rates at most, some 15 ms of work: a hundred steps of 3,000
/// workers. With a third of that twice the usual load of 3,000 workers left twice as many
/// jobs waiting. The most urgent steps come first, so that those left over are the ones
/// that would wait longest anyway.
const MAX_RATINGS: usize = 300_000;

/// Steps that a pass tries at least, however many workers there are.
const MIN_STEPS: usize = 30;

/// What the workers of a service have that take new runs.
#[derive(Debug)]
struct ServiceLoad {
    service: Arc<str>,
    /// Thousandths of a core that more filling tasks may ask for.
    free_best_effort_cpu: u64,
    /// Thousandths of a core that filling tasks ask for.
    best_effort_cpu: u64,
    capacity: Capacity,
    used: Capacity,
}

impl ServiceLoad {
    fn new(service: Arc<str>) -> ServiceLoad {
        ServiceLoad {
            service,
            free_best_effort_cpu: 0,
            best_effort_cpu: 0,
            capacity: Capacity::default(),
            used: Capacity::default(),
        }
    }

    /// Tells whether more than half of the room is taken, and filling tasks have more than half
    /// of the processors that are left to them.
    ///
    /// What fills takes up no processors: users count a job as lost of which nothing runs while
    /// half of the room is free, however much fills there.
    fn is_crowded(&self) -> bool {
        self.is_half_full() && self.best_effort_cpu > self.free_best_effort_cpu
    }

    fn is_half_full(&self) -> bool {
        let (capacity, used) = (self.capacity, self.used);
        used.cpu * 2 > capacity.cpu || used.memory * 2 > capacity.memory
    }
}

/// Whether a pass of placement came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Coverage {
    /// Each step that waited was tried.
    Complete,
    /// Some are left to the next pass.
    Partial,
}

/// What one pass of placement found out.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Workers that take new runs.
    pub(crate) open_workers: Vec<u32>,
    /// What each worker has left, by slot: with work piled up most have no room, and this
    /// tells so without a look at the worker.
    free_capacities: Vec<FreeCapacity>,
    /// Tasks that no worker can take.
    pub(crate) unplaceable: Vec<Unplaceable>,
    /// Workers that are kept free for tasks that have waited for long.
    pub(crate) reservations: Vec<Reservation>,
    /// Whether all others have their places, so that suspects may take what is empty.
    pub(crate) others_are_placed: bool,
    /// Whether a worker is kept free for a suspect that found none.
    pub(crate) has_suspect_reservation: bool,
    /// Workers that were rated.
    pub(crate) ratings: usize,
    /// Workers that it may rate.
    max_ratings: usize,
    /// What the workers of each service have, sorted.
    loads: Vec<ServiceLoad>,
    /// Starts that may still be placed.
    pub(crate) starts_left: usize,
}

impl Pass {
    /// Begins a pass at `now`.
    pub(crate) fn new(fleet: &Fleet, now: u64) -> Pass {
        let mut pass = Pass::default();
        for (slot, worker) in (0..).zip(&fleet.workers) {
            let free = FreeCapacity::of(worker);
            pass.free_capacities.push(free);
            let info = worker.info.as_ref().filter(|_| worker.accepts_runs(now));
            let Some(info) = info.filter(|_| worker.isolated_task.is_none()) else {
                continue;
            };
            pass.open_workers.push(slot);
            let load = pass.load_mut(&info.service);
            load.free_best_effort_cpu += free.free_best_effort_cpu();
            load.best_effort_cpu += worker.best_effort_cpu;
            load.capacity.add(worker.capacity());
            load.used.add(worker.used);
        }
        pass.max_ratings = MAX_RATINGS.max(MIN_STEPS * pass.open_workers.len());
        pass.starts_left = usize::MAX;
        pass
    }

    fn load_mut(&mut self, service: &Arc<str>) -> &mut ServiceLoad {
        let index = self
            .loads
            .binary_search_by(|load| load.service.cmp(service));
        let index = index.unwrap_or_else(|index| {
            let service = service.clone();
            self.loads.insert(index, ServiceLoad::new(service));
            index
        });
        &mut self.loads[index]
    }

    /// Tells whether the workers of a service are crowded.
    pub(crate) fn is_crowded(&self, service: &Arc<str>) -> bool {
        let index = self
            .loads
            .binary_search_by(|load| load.service.cmp(service));
        index.is_ok_and(|index| self.loads[index].is_crowded())
    }

    /// Tells whether more than half of the room of a service's workers is taken.
    pub(crate) fn is_half_full(&self, service: &Arc<str>) -> bool {
        let index = self
            .loads
            .binary_search_by(|load| load.service.cmp(service));
        index.is_ok_and(|index| self.loads[index].is_half_full())
    }

    /// Returns what a worker has left.
    pub(crate) fn free_capacity(&self, slot: u32) -> FreeCapacity {
        self.free_capacities[slot as usize]
    }

    /// Takes note of what a worker has left now.
    pub(crate) fn update_free_capacity(&mut self, slot: u32, fleet: &Fleet) {
        self.free_capacities[slot as usize] = FreeCapacity::of(fleet.get(slot));
    }

    /// Has a worker take new runs again that was kept for one of this pass.
    pub(crate) fn reopen_worker(&mut self, slot: u32) {
        if let Err(index) = self.open_workers.binary_search(&slot) {
            self.open_workers.insert(index, slot);
        }
    }

    /// Takes note that all workers are rated for a step.
    pub(crate) fn count_ratings(&mut self) {
        self.ratings += self.open_workers.len();
    }

    /// Tells whether as many workers were rated as one pass may.
    pub(crate) fn is_over_budget(&self) -> bool {
        self.ratings >= self.max_ratings
    }
}
