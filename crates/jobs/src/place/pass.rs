//! State of one pass of placement: loads, free capacities, findings and the rating budget.

use std::sync::Arc;

use crate::{
    model::ids::TaskId,
    place::{free_capacity::FreeCapacity, reservation::Reservation, unplaceable::Unplaceable},
    runs::{fleet::Fleet, worker::Capacity},
};

/// Maximum number of workers that one pass rates: 100 steps on 3,000 workers, about 15 ms.
///
/// A third of this left twice as many jobs waiting at twice the normal load of 3,000
/// workers. The most urgent steps come first, so that the steps left over are those that
/// would wait longest anyway.
const MAX_RATINGS: usize = 300_000;

/// Number of steps that a pass tries at least, however many workers there are.
const MIN_STEPS: usize = 30;

/// Capacity and use of a service's workers.
#[derive(Debug)]
struct ServiceLoad {
    service: Arc<str>,
    /// Thousandths of a core that further best-effort tasks may request on open workers.
    free_best_effort_cpu: u64,
    /// Thousandths of a core that best-effort tasks request on open workers.
    best_effort_cpu: u64,
    /// Capacity of all available workers.
    capacity: Capacity,
    /// Used capacity of all available workers.
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

    /// Returns whether more than half of the capacity is used and best-effort tasks
    /// request more CPU than is left to them.
    ///
    /// CPU of best-effort tasks doesn't count as used, and workers that accept no runs for now
    /// count: users count a job without runs as lost while half of the capacity is free, however
    /// many best-effort tasks run, and whatever keeps the scheduler from using it.
    fn is_crowded(&self) -> bool {
        self.is_half_full() && self.best_effort_cpu > self.free_best_effort_cpu
    }

    fn is_half_full(&self) -> bool {
        let (capacity, used) = (self.capacity, self.used);
        used.cpu * 2 > capacity.cpu || used.memory * 2 > capacity.memory
    }

    /// Returns the used CPU and memory in percent of the capacity.
    fn used_percent(&self) -> (u64, u64) {
        let (capacity, used) = (self.capacity, self.used);
        (
            used.cpu * 100 / capacity.cpu.max(1),
            used.memory * 100 / capacity.memory.max(1),
        )
    }
}

/// Whether a pass of placement tried all waiting steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Coverage {
    /// Every waiting step was tried.
    Complete,
    /// Some steps are left to the next pass.
    Partial,
}

/// The state of one pass of placement.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Slots of the workers that accept new runs, sorted.
    pub(crate) open_workers: Vec<u32>,
    /// Free capacity of each worker, by slot. Under load most workers are full, and
    /// this shows it without access to the worker.
    free_capacities: Vec<FreeCapacity>,
    /// Requests that no worker can take in this pass.
    pub(crate) unplaceable: Vec<Unplaceable>,
    /// Workers that are reserved for tasks that have waited for long.
    pub(crate) reservations: Vec<Reservation>,
    /// Whether all other tasks are placed, so that suspects may take empty workers.
    pub(crate) others_are_placed: bool,
    /// Whether a worker is kept free for a suspect that found none.
    pub(crate) has_suspect_reservation: bool,
    /// Number of workers rated so far.
    pub(crate) ratings: usize,
    /// Number of workers that this pass may rate.
    max_ratings: usize,
    /// Load by service, sorted by service.
    loads: Vec<ServiceLoad>,
    /// Number of further starts that may be placed.
    pub(crate) starts_left: usize,
}

impl Pass {
    /// Begins a pass at `now`, in milliseconds.
    pub(crate) fn new(fleet: &Fleet, now: u64) -> Pass {
        let mut pass = Pass::default();
        for (slot, worker) in (0..).zip(&fleet.workers) {
            let free = FreeCapacity::of(worker);
            pass.free_capacities.push(free);
            let info = worker.info.as_ref().filter(|_| worker.is_available());
            let Some(info) = info else {
                continue;
            };
            let load = pass.load_mut(&info.service);
            load.capacity.add(worker.capacity());
            load.used.add(worker.used);
            if !worker.accepts_runs(now) || worker.isolated_task.is_some() {
                continue;
            }
            load.free_best_effort_cpu += free.free_best_effort_cpu();
            load.best_effort_cpu += worker.best_effort_cpu;
            pass.open_workers.push(slot);
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

    fn load(&self, service: &Arc<str>) -> Option<&ServiceLoad> {
        let index = self
            .loads
            .binary_search_by(|load| load.service.cmp(service));
        index.ok().map(|index| &self.loads[index])
    }

    /// Returns whether the workers of a service are crowded.
    pub(crate) fn is_crowded(&self, service: &Arc<str>) -> bool {
        self.load(service).is_some_and(ServiceLoad::is_crowded)
    }

    /// Returns whether more than half of the capacity of a service's workers is used.
    pub(crate) fn is_half_full(&self, service: &Arc<str>) -> bool {
        self.load(service).is_some_and(ServiceLoad::is_half_full)
    }

    /// Returns the used CPU and memory in percent of the capacity by which a service is crowded.
    pub(crate) fn used_percent(&self, service: &Arc<str>) -> (u64, u64) {
        self.load(service).map_or((0, 0), ServiceLoad::used_percent)
    }

    /// Returns whether a worker is reserved for a step, by its first task.
    pub(crate) fn has_reservation(&self, first: TaskId) -> bool {
        self.reservations.iter().any(|r| r.first_task == first)
    }

    /// Returns the free capacity of a worker.
    pub(crate) fn free_capacity(&self, slot: u32) -> FreeCapacity {
        self.free_capacities[slot as usize]
    }

    /// Updates the free capacity of a worker.
    pub(crate) fn update_free_capacity(&mut self, slot: u32, fleet: &Fleet) {
        self.free_capacities[slot as usize] = FreeCapacity::of(fleet.get(slot));
    }

    /// Opens a worker to new runs again that was isolated for a task in this pass.
    pub(crate) fn reopen_worker(&mut self, slot: u32) {
        if let Err(index) = self.open_workers.binary_search(&slot) {
            self.open_workers.insert(index, slot);
        }
    }

    /// Counts a rating of all open workers.
    pub(crate) fn count_ratings(&mut self) {
        self.ratings += self.open_workers.len();
    }

    /// Returns whether the pass has rated as many workers as it may.
    pub(crate) fn is_over_budget(&self) -> bool {
        self.ratings >= self.max_ratings
    }
}
