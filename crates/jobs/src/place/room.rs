//! Which workers have room for a task.

use std::sync::Arc;

use crate::{
    machine::Machine,
    model::{spec::Step, step::StepState},
    place::request::Request,
    runs::worker::{Capacity, Worker, size},
};

/// What a worker has left.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Room {
    /// Whether more is taken than there is: then nothing fits, whatever it asks for.
    over: bool,
    free: Capacity,
    /// Thousandths of a core that more filling tasks may ask for.
    fill: u64,
}

impl Room {
    /// Returns what a worker has left.
    pub(crate) fn of(worker: &Worker) -> Room {
        let (room, used) = (worker.capacity(), worker.used);
        let cpu = room.cpu.saturating_sub(used.cpu);
        Room {
            over: worker.is_over(),
            free: Capacity {
                cpu,
                memory: room.memory.saturating_sub(used.memory),
                gpu: room.gpu.saturating_sub(used.gpu),
            },
            fill: (cpu + worker.spare).saturating_sub(worker.filling),
        }
    }

    /// Returns how many thousandths of a core more filling tasks may ask for.
    pub(crate) fn fill(&self) -> u64 {
        self.fill
    }

    /// Tells whether a task of a step fits; one that fills may go beyond the share of
    /// processors that is left if its job has `starved`.
    pub(crate) fn fits(&self, step: &Step, starved: bool) -> bool {
        let size = size(step);
        let share = starved || !step.fill || step.cpu <= self.fill;
        share
            && !self.over
            && size.cpu <= self.free.cpu
            && size.memory <= self.free.memory
            && size.gpu <= self.free.gpu
    }
}

impl Machine {
    /// Tells whether a worker may run a task of a step if it has room.
    fn may_take(&self, worker: &Worker, step: &Step, service: &Arc<str>) -> bool {
        let Some(info) = &worker.info else {
            return false;
        };
        let label = step.label.as_ref();
        worker.is_open(self.now)
            && worker.guest.is_none()
            && Arc::ptr_eq(&info.service, service)
            && !worker.is_on_trial(self.now)
            && label.is_none_or(|l| info.labels.contains(l))
    }

    /// Tells whether a worker can take a task of a step now, as [`Room::fits`] says.
    pub(crate) fn fits(
        &self,
        worker: &Worker,
        step: &Step,
        service: &Arc<str>,
        starved: bool,
    ) -> bool {
        Room::of(worker).fits(step, starved) && self.may_take(worker, step, service)
    }

    /// Finds a worker to be kept free of other tasks for one of a step that fits nowhere
    /// yet: the one with the most room, of those that have enough once short tasks have
    /// ended and are not among `held` already.
    pub(crate) fn find_room(
        &self,
        runs: &StepState,
        request: &Request<'_>,
        held: &[u32],
    ) -> Option<u32> {
        let (step, service) = (request.step, request.service);
        let mut best: Option<(u64, u32)> = None;
        for (slot, worker) in (0..).zip(&self.fleet.workers) {
            let (room, size) = (worker.capacity(), size(step));
            let enough = room.cpu >= worker.lasting_cpu + size.cpu
                && room.memory >= worker.used.memory + size.memory
                && room.gpu >= worker.used.gpu + size.gpu;
            let spread = step.spread > 0 && runs.on_worker(slot) >= step.spread;
            let kept = held.contains(&slot);
            if spread || kept || !enough || !self.may_take(worker, step, service) {
                continue;
            }
            let free = room.cpu.saturating_sub(worker.used.cpu);
            if best.is_none_or(|(b, _)| free > b) {
                best = Some((free, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}
