//! Chooses the runs that are stopped so that waiting tasks fit.
//!
//! A stop counts only if what it frees, with what is free on the worker, fits a waiting task in
//! every resource. Large free pieces of one resource alone serve nobody.
//!
//! Limits: each worker gives capacity for tasks of one choice at a time, from a few runs, so that
//! a choice is not optimal over all workers.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{model::ids::TaskId, runs::worker::Capacity};

/// Maximum number of runs that one choice stops on a worker. A task that needs more than these
/// would cost the long-running steps more than it gains.
const MAX_VICTIMS: usize = 4;

/// Number of plans that are rated again in one choice. Each chosen plan outdates those of the same
/// step, and the rest waits for the next choice, which comes within a fraction of a second.
const MAX_RATINGS: usize = 2048;

/// The resource of which least is left, in which shortages are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Resource {
    Cpu,
    Memory,
}

impl Resource {
    /// Returns the amount of the resource.
    pub(super) fn of(self, capacity: Capacity) -> u64 {
        match self {
            Resource::Cpu => capacity.cpu,
            Resource::Memory => capacity.memory,
        }
    }
}

/// Waiting tasks of one size.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) size: Capacity,
    pub(super) count: u32,
}

/// A step whose tasks may be lent.
#[derive(Debug)]
pub(super) struct LendingStep {
    /// How many more tasks may be lent.
    pub(super) left: u32,
    /// How many tasks are lent.
    pub(super) lent: u32,
    /// Index of the queue in [`Problem::excess`].
    pub(super) queue: usize,
}

/// A run that may be stopped.
#[derive(Debug)]
pub(super) struct Victim {
    pub(super) task: TaskId,
    /// Index of the step in [`Problem::steps`].
    pub(super) step: usize,
    pub(super) size: Capacity,
}

/// What a worker can give.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) free: Capacity,
    /// Indices of the waiting tasks in [`Problem::waiting`] that may run there.
    pub(super) suits: Vec<usize>,
    pub(super) victims: Vec<Victim>,
}

/// What is short, and what could be stopped.
#[derive(Debug)]
pub(super) struct Problem {
    pub(super) resource: Resource,
    /// How much may be freed.
    pub(super) shortage: u64,
    pub(super) waiting: Vec<Waiting>,
    pub(super) steps: Vec<LendingStep>,
    /// By lending queue: how much it holds beyond what it is entitled to.
    pub(super) excess: Vec<u64>,
    pub(super) offers: Vec<Offer>,
}

/// The runs to stop on a worker, by the order of preference.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Plan {
    /// The highest number of lent tasks of a step that is to give another one.
    turn: u32,
    /// How much is freed.
    freed: u64,
    offer: usize,
    /// Indices of the victims.
    victims: Vec<usize>,
}

/// Returns the tasks whose runs are to be stopped, at most as much as is short, spread over the
/// steps in turn.
pub(super) fn choose(mut problem: Problem) -> Vec<TaskId> {
    let mut plans = BinaryHeap::new();
    for offer in 0..problem.offers.len() {
        plans.extend(problem.plan(offer).map(Reverse));
    }
    let mut chosen = Vec::new();
    for _ in 0..MAX_RATINGS {
        let Some(Reverse(old)) = plans.pop() else {
            break;
        };
        // Earlier plans have changed the turns, and what is left.
        let Some(plan) = problem.plan(old.offer) else {
            continue;
        };
        if plan > old {
            plans.push(Reverse(plan));
            continue;
        }
        problem.apply(&plan);
        let victims = &problem.offers[plan.offer].victims;
        chosen.extend(plan.victims.iter().map(|&v| victims[v].task));
    }
    chosen
}

impl Problem {
    /// Returns the best plan for a worker.
    fn plan(&self, offer: usize) -> Option<Plan> {
        let Offer {
            free,
            suits,
            victims,
        } = &self.offers[offer];
        let mut order: Vec<usize> = (0..victims.len()).collect();
        order.retain(|&v| self.steps[victims[v].step].left > 0);
        order.sort_by_key(|&v| {
            let victim = &victims[v];
            let turn = self.steps[victim.step].lent;
            (turn, self.resource.of(victim.size), victim.task)
        });
        let mut best: Option<Plan> = None;
        for &waiting in suits {
            let Waiting { size, count } = self.waiting[waiting];
            // Placement has left a task that fits for other reasons than capacity.
            if count == 0 || free.has_room(Capacity::default(), size) {
                continue;
            }
            let Some(chosen) = self.victims_for(offer, size, &order) else {
                continue;
            };
            let plan = self.rated(offer, chosen);
            if self.is_allowed(&plan) && best.as_ref().is_none_or(|b| plan < *b) {
                best = Some(plan);
            }
        }
        best
    }

    /// Returns the first victims, in this order, that make room for a task of this size: a single
    /// one if any is enough.
    fn victims_for(&self, offer: usize, size: Capacity, order: &[usize]) -> Option<Vec<usize>> {
        let Offer { free, victims, .. } = &self.offers[offer];
        let fits = |chosen: &[usize]| {
            let mut room = *free;
            for &v in chosen {
                room.add(victims[v].size);
            }
            room.has_room(Capacity::default(), size)
        };
        if let Some(&single) = order.iter().find(|&&v| fits(&[v])) {
            return Some(vec![single]);
        }
        let mut chosen: Vec<usize> = Vec::new();
        for &v in order {
            let step = victims[v].step;
            let taken = chosen.iter().filter(|&&c| victims[c].step == step).count();
            if taken as u32 >= self.steps[step].left {
                continue;
            }
            chosen.push(v);
            if fits(&chosen) {
                break;
            }
            if chosen.len() == MAX_VICTIMS {
                return None;
            }
        }
        if !fits(&chosen) {
            return None;
        }
        // A later, larger run may have made an earlier one unnecessary.
        for at in (0..chosen.len()).rev() {
            let victim = chosen.remove(at);
            if !fits(&chosen) {
                chosen.insert(at, victim);
            }
        }
        Some(chosen)
    }

    fn rated(&self, offer: usize, chosen: Vec<usize>) -> Plan {
        let victims = &self.offers[offer].victims;
        let turns = chosen.iter().map(|&v| self.steps[victims[v].step].lent);
        let freed = chosen.iter().map(|&v| self.resource.of(victims[v].size));
        Plan {
            turn: turns.max().unwrap_or(0),
            freed: freed.sum(),
            offer,
            victims: chosen,
        }
    }

    /// Returns whether a plan frees no more than is short, nor more of a queue than it holds
    /// beyond what it is entitled to.
    fn is_allowed(&self, plan: &Plan) -> bool {
        let victims = &self.offers[plan.offer].victims;
        let mut excess = self.excess.clone();
        for &v in &plan.victims {
            let left = &mut excess[self.steps[victims[v].step].queue];
            let size = self.resource.of(victims[v].size);
            if size > *left {
                return false;
            }
            *left -= size;
        }
        plan.freed <= self.shortage
    }

    /// Takes a plan: what it frees is filled with waiting tasks, and the worker gives no more.
    fn apply(&mut self, plan: &Plan) {
        let offer = &mut self.offers[plan.offer];
        let mut room = offer.free;
        for &v in &plan.victims {
            let victim = &offer.victims[v];
            let step = &mut self.steps[victim.step];
            step.left -= 1;
            step.lent += 1;
            self.excess[step.queue] -= self.resource.of(victim.size);
            room.add(victim.size);
        }
        self.shortage -= plan.freed;
        for waiting in std::mem::take(&mut offer.suits) {
            let Waiting { size, count } = &mut self.waiting[waiting];
            while *count > 0 && room.has_room(Capacity::default(), *size) {
                room.subtract(*size);
                *count -= 1;
            }
        }
    }
}
