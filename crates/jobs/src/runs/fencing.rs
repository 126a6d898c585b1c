//! Generations of the orders to a worker, which fence off delayed orders.
//!
//! An order without an answer may be carried out seconds later, after newer ones, and by a later
//! incarnation of its worker. A worker refuses an order with a lower fencing token than it has
//! seen. So the owner raises the generation of a worker's orders when one of them stays unanswered,
//! and when another incarnation of the worker appears. A report to a poll of the higher generation
//! then shows all that earlier orders have done and will ever do in that incarnation.
//!
//! Limits: an incarnation that has carried out no order yet still takes any order.

use crate::{
    action::Action,
    model::{
        ids::TaskId,
        task::{Run, Stage},
    },
    runs::fleet::Fleet,
    scheduler::Scheduler,
};

/// Highest generation of an order. The epochs of two owners are at least as far apart.
pub const MAX_GENERATION: u32 = 10_000;

/// Generation of the runs of earlier owners, whose orders have lower fencing tokens than all of
/// this owner.
pub(crate) const INHERITED_GENERATION: u32 = 0;

/// Generation of the first orders to a worker.
pub(super) const FIRST_GENERATION: u32 = 1;

impl Run {
    /// Returns whether the start may still be carried out: the run was neither reported, nor was
    /// its start answered or prevented.
    pub(crate) fn may_start_later(&self) -> bool {
        let is_settled = matches!(self.stage, Stage::Planned | Stage::StopConfirmed(_));
        !is_settled && !self.answered && self.reported_at.is_none()
    }

    /// Returns whether the run, which a report to a poll of a generation does not include, never
    /// starts: the worker refuses its start from then on.
    pub(crate) fn is_fenced(&self, generation: u32) -> bool {
        self.generation < generation && self.may_start_later()
    }
}

impl Fleet {
    /// Returns the generation of the next orders to a new incarnation of a name.
    pub(super) fn next_generation(&self, id: &str) -> u32 {
        let incarnations = self.incarnations(id).iter();
        let highest = incarnations.map(|&slot| self.get(slot).generation).max();
        highest.map_or(FIRST_GENERATION, |g| g + 1)
    }

    /// Returns whether any incarnation of a worker's name was sent orders of a higher generation.
    fn is_outdated(&self, slot: u32, generation: u32) -> bool {
        let worker = self.get(slot);
        generation < worker.generation || generation + 1 < self.next_generation(&worker.id)
    }

    /// Sets the generation of the orders to all incarnations of a name.
    pub(super) fn set_generation(&mut self, id: &str, generation: u32) {
        for slot in self.incarnations(id).to_vec() {
            self.get_mut(slot).generation = generation;
        }
    }
}

impl Scheduler {
    /// Raises the generation of the orders to a worker, so that it refuses those of before once it
    /// has carried out one of the new generation.
    fn raise_generation(&mut self, slot: u32) {
        let id = self.fleet.get(slot).id.clone();
        let generation = self.fleet.next_generation(&id);
        self.fleet.set_generation(&id, generation);
        self.stats.raised_generations += 1;
        log::info!(worker = &*id, generation; "worker: fences off earlier orders");
        self.check_generation(slot);
    }

    /// Steps down if no generation is left for the orders to a worker: the next epoch of the lease
    /// begins anew.
    pub(crate) fn check_generation(&mut self, slot: u32) {
        let worker = self.fleet.get(slot);
        if worker.generation > MAX_GENERATION {
            log::error!(worker = &*worker.id; "worker: no generation left");
            self.actions.push(Action::StepDown);
        }
    }

    /// Raises the generation after an order without an answer, unless that has been done since it
    /// was sent.
    pub(crate) fn fence_off(&mut self, slot: u32, generation: u32) {
        if !self.fleet.is_outdated(slot, generation) {
            self.raise_generation(slot);
        }
    }

    /// Handles the refusal of an order because the worker has seen a higher fencing token: either
    /// one of this owner, or one of its successor. Returns whether it was one of this owner.
    pub(crate) fn handle_fenced(&mut self, slot: u32, generation: u32) -> bool {
        let is_outdated = self.fleet.is_outdated(slot, generation);
        if !is_outdated {
            self.actions.push(Action::StepDown);
        }
        is_outdated
    }

    /// Handles a poll that was refused because of its fencing token.
    pub(crate) fn handle_fenced_poll(&mut self, slot: u32, generation: u32) {
        if self.handle_fenced(slot, generation) {
            let worker = self.fleet.get_mut(slot);
            worker.end_poll();
            worker.next_poll_at = self.now;
        }
    }

    /// Handles a start that was refused because of its fencing token.
    pub(crate) fn handle_fenced_start(
        &mut self,
        slot: u32,
        generation: u32,
        id: TaskId,
        number: u32,
    ) {
        if !self.handle_fenced(slot, generation) {
            return;
        }
        self.stats.refused += 1;
        let worker = &*self.fleet.get(slot).id;
        log::info!(task = id.to_string().as_str(), run = number, worker, generation; "start: overtaken");
        let Some(run) = self.run_on(slot, id, number) else {
            return;
        };
        run.answered = true;
        if matches!(run.stage, Stage::Sent(_)) {
            self.clear_run(id);
        }
    }
}
