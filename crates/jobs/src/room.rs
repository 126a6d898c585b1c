//! Which workers have room for a task.

use std::sync::Arc;

use crate::{
    machine::Machine,
    place::Pass,
    spec::Step,
    step::StepState,
    worker::{Worker, size},
};

impl Machine {
    /// Tells whether a worker may run a task of a step if it has room.
    fn may_take(&self, worker: &Worker, step: &Step, service: &Arc<str>) -> bool {
        let Some(info) = &worker.info else {
            return false;
        };
        let label = step.label.as_ref();
        worker.is_open(self.now)
            && Arc::ptr_eq(&info.service, service)
            && !worker.is_on_trial(self.now)
            && label.is_none_or(|l| info.labels.contains(l))
    }

    /// Tells whether a worker can take a task of a step now; one that fills may go
    /// beyond the share of processors that is left if its job has `starved`.
    pub(crate) fn fits(
        &self,
        worker: &Worker,
        step: &Step,
        service: &Arc<str>,
        starved: bool,
    ) -> bool {
        let (room, used, size) = (worker.capacity(), worker.used, size(step));
        let fits = used.cpu + size.cpu <= room.cpu
            && used.memory + size.memory <= room.memory
            && used.gpu + size.gpu <= room.gpu;
        let rest = room.cpu.saturating_sub(worker.used.cpu) + worker.spare;
        let share = starved || !step.fill || worker.filling + step.cpu <= rest;
        fits && share && self.may_take(worker, step, service)
    }

    /// Keeps a worker free of other tasks for one of a step that fits nowhere yet: the
    /// one with the most room, of those that have enough once short tasks have ended.
    pub(crate) fn hold_room(
        &self,
        runs: &StepState,
        step: &Step,
        service: &Arc<str>,
        pass: &mut Pass,
    ) {
        let mut best: Option<(u64, u32)> = None;
        for (slot, worker) in self.fleet.workers.iter().enumerate() {
            let slot = slot as u32;
            let (room, size) = (worker.capacity(), size(step));
            let enough = room.cpu >= worker.serving_cpu + size.cpu
                && room.memory >= worker.used.memory + size.memory
                && room.gpu >= worker.used.gpu + size.gpu;
            let spread = step.spread > 0 && runs.on_worker(slot) >= step.spread;
            if spread
                || !enough
                || !self.may_take(worker, step, service)
                || pass.held.contains(&slot)
            {
                continue;
            }
            let free = room.cpu.saturating_sub(worker.used.cpu);
            if best.is_none_or(|(b, _)| free > b) {
                best = Some((free, slot));
            }
        }
        pass.held.extend(best.map(|(_, slot)| slot));
    }
}
