//! Checks which workers have capacity for a task.

use std::sync::Arc;

use crate::{
    model::spec::Step,
    place::refusal::Refusal,
    runs::worker::{Capacity, Worker, demand},
    scheduler::Scheduler,
};

/// The free capacity of a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FreeCapacity {
    /// Whether more is used than the worker has: then nothing fits, whatever it
    /// requests.
    is_overcommitted: bool,
    free: Capacity,
    /// Thousandths of a core that further best-effort tasks may request.
    free_best_effort_cpu: u64,
}

impl FreeCapacity {
    /// Returns the free capacity of a worker.
    pub(crate) fn of(worker: &Worker) -> FreeCapacity {
        let (capacity, used) = (worker.capacity(), worker.used);
        let cpu = capacity.cpu.saturating_sub(used.cpu);
        FreeCapacity {
            is_overcommitted: worker.is_overcommitted(),
            free: Capacity {
                cpu,
                memory: capacity.memory.saturating_sub(used.memory),
                gpu: capacity.gpu.saturating_sub(used.gpu),
            },
            free_best_effort_cpu: (cpu + worker.spare_cpu).saturating_sub(worker.best_effort_cpu),
        }
    }

    /// Returns how many thousandths of a core further best-effort tasks may request.
    pub(crate) fn free_best_effort_cpu(&self) -> u64 {
        self.free_best_effort_cpu
    }

    /// Returns whether a task of a step fits. A best-effort task of a `starved` job may
    /// exceed the CPU share of best-effort tasks.
    pub(crate) fn fits(&self, step: &Step, starved: bool) -> bool {
        self.check_fit(step, starved).is_ok()
    }

    /// Returns why a task of a step does not fit, under the rules of
    /// [`FreeCapacity::fits`].
    fn check_fit(&self, step: &Step, starved: bool) -> Result<(), Refusal> {
        let demanded = demand(step);
        let has_room = demanded.cpu <= self.free.cpu
            && demanded.memory <= self.free.memory
            && demanded.gpu <= self.free.gpu;
        if self.is_overcommitted || !has_room {
            return Err(Refusal::NoRoom);
        }
        match starved || !step.best_effort || step.cpu <= self.free_best_effort_cpu {
            true => Ok(()),
            false => Err(Refusal::BestEffortShare),
        }
    }
}

impl Scheduler {
    /// Returns why a worker may not run a task of a step, regardless of its free
    /// capacity.
    pub(crate) fn check_eligibility(
        &self,
        worker: &Worker,
        step: &Step,
        service: &Arc<str>,
    ) -> Result<(), Refusal> {
        let info = worker
            .info
            .as_ref()
            .filter(|_| worker.accepts_runs(self.now));
        let info = info.ok_or(Refusal::Closed)?;
        let label = step.label.as_ref();
        match () {
            () if worker.isolated_task.is_some() => Err(Refusal::Isolating),
            () if !Arc::ptr_eq(&info.service, service) => Err(Refusal::Label),
            () if worker.is_on_probation(self.now) => Err(Refusal::OnProbation),
            () if label.is_some_and(|l| !info.labels.contains(l)) => Err(Refusal::Label),
            () => Ok(()),
        }
    }

    /// Returns why a worker can't take a task of a step now, under the rules of
    /// [`FreeCapacity::fits`].
    pub(crate) fn check_fit(
        &self,
        worker: &Worker,
        step: &Step,
        service: &Arc<str>,
        starved: bool,
    ) -> Result<(), Refusal> {
        FreeCapacity::of(worker).check_fit(step, starved)?;
        self.check_eligibility(worker, step, service)
    }
}
