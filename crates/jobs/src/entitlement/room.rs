//! The capacity of a service that can be divided.
//!
//! The load pattern is capacity that is free in total and in pieces too small for the tasks that
//! wait: long-running tasks of many sizes leave a remainder on each worker.
//!
//! Limits: the typical task stands for all. Only long-running tasks count as an obstacle, since
//! what other tasks take is free again within seconds.

use std::sync::Arc;

use crate::{
    entitlement::{WorkKind, demand::QueueDemand, peaks::Load},
    runs::{fleet::Fleet, worker::Capacity},
};

/// Capacity of the available workers of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceRoom {
    pub(crate) service: Arc<str>,
    /// Capacity of all workers.
    pub(crate) total: Capacity,
    /// The most that any worker has of each resource.
    pub(crate) largest: Capacity,
    /// CPU in pieces that are too small for a typical short task, at most what short tasks claim.
    pub(crate) stranded_cpu: u64,
}

impl ServiceRoom {
    /// Returns the rooms of all services, sorted by service. Stranded CPU is not set.
    pub(crate) fn of_fleet(fleet: &Fleet) -> Vec<ServiceRoom> {
        let mut rooms: Vec<ServiceRoom> = Vec::new();
        for worker in &fleet.workers {
            let Some(info) = worker.info.as_ref().filter(|_| worker.is_available()) else {
                continue;
            };
            let at = match rooms.binary_search_by(|r| r.service.cmp(&info.service)) {
                Ok(at) => at,
                Err(at) => {
                    let room = ServiceRoom {
                        service: info.service.clone(),
                        total: Capacity::default(),
                        largest: Capacity::default(),
                        stranded_cpu: 0,
                    };
                    rooms.insert(at, room);
                    at
                }
            };
            let room = &mut rooms[at];
            room.total.add(info.capacity);
            room.largest = room.largest.max(info.capacity);
        }
        rooms
    }

    /// Returns the room of a service.
    pub(crate) fn find<'a>(rooms: &'a [ServiceRoom], service: &str) -> Option<&'a ServiceRoom> {
        let at = rooms.binary_search_by(|r| (*r.service).cmp(service));
        at.ok().map(|at| &rooms[at])
    }

    /// Returns what can be divided.
    pub(crate) fn usable(&self) -> Capacity {
        Capacity {
            cpu: self.total.cpu.saturating_sub(self.stranded_cpu),
            ..self.total
        }
    }
}

/// Sets the stranded CPU of each service, from the short tasks of the last seconds.
pub(crate) fn set_stranded(rooms: &mut [ServiceRoom], fleet: &Fleet, demands: &[QueueDemand]) {
    let short: Vec<Load> = rooms
        .iter()
        .map(|r| short_load(&r.service, demands))
        .collect();
    for worker in &fleet.workers {
        let Some(info) = worker.info.as_ref().filter(|_| worker.is_available()) else {
            continue;
        };
        let Ok(at) = rooms.binary_search_by(|r| r.service.cmp(&info.service)) else {
            continue;
        };
        let mut free = info.capacity;
        free.subtract(worker.long_running_size);
        rooms[at].stranded_cpu += stranded_cpu(free, short[at].typical_task());
    }
    // A few tasks need a few pieces: the others may be given away.
    for (room, short) in rooms.iter_mut().zip(short) {
        room.stranded_cpu = room.stranded_cpu.min(short.size.cpu);
    }
}

/// Returns the peak of a service's short tasks over the last seconds.
fn short_load(service: &str, demands: &[QueueDemand]) -> Load {
    let mut load = Load::default();
    for row in demands {
        if row.kind == WorkKind::Short && *row.service == *service {
            load.size.add(row.demand.peak);
            load.tasks += row.peak_tasks;
        }
    }
    load
}

/// Returns the CPU of a `free` piece of capacity that tasks of this size leave over.
pub(super) fn stranded_cpu(free: Capacity, task: Capacity) -> u64 {
    let Some(by_cpu) = free.cpu.checked_div(task.cpu) else {
        return 0;
    };
    let by_memory = free.memory.checked_div(task.memory);
    free.cpu - by_cpu.min(by_memory.unwrap_or(by_cpu)) * task.cpu
}
