//! What is left of a worker's earlier life when another one is there.
//!
//! Whatever ran there is over, whatever clocks and leases say.

use crate::{
    machine::Machine,
    model::ids::TaskId,
    runs::{lives::Listed, lost::Loss},
};

impl Machine {
    /// Returns the slot of the life that a list is of; nothing if it does not count. Earlier
    /// lives are over.
    pub(super) fn answering(&mut self, slot: u32, sent: u64, born: Option<u64>) -> Option<u32> {
        let Listed::Life(new, over) = self.fleet.attribute(slot, sent, born) else {
            return None;
        };
        for old in over {
            self.replace(old, new);
        }
        Some(new)
    }

    fn replace(&mut self, old: u32, new: u32) {
        let worker = self.fleet.get(old);
        let (runs, counted) = (worker.runs.len(), worker.counted);
        match worker.is_nameless() {
            true => self.rename(old, new),
            false => self.succeed(old),
        }
        self.fleet.retire(old);
        self.moved = true;
        let (worker, old) = (self.fleet.get(new), self.fleet.get(old));
        if old.clock.is_none() && runs == 0 {
            log::info!(worker = &*worker.id, born:? = worker.born, old_born:? = old.born; "worker: row of an earlier life");
            return;
        }
        log::warn!(worker = &*worker.id, born:? = worker.born, old_born:? = old.born, counted, runs; "worker: another life");
    }

    /// Hands what is known of a life over to the same one, now that its name is known.
    fn rename(&mut self, old: u32, new: u32) {
        let worker = self.fleet.get(old);
        let (runs, guest) = (worker.runs.clone(), worker.guest);
        let listed = worker.listed;
        for &id in &runs {
            self.move_run(id, new);
        }
        let worker = self.fleet.get_mut(new);
        worker.guest = worker.guest.or(guest);
        worker.listed |= listed;
    }

    /// Ends a life that another one has replaced.
    fn succeed(&mut self, old: u32) {
        let worker = self.fleet.get_mut(old);
        if !std::mem::replace(&mut worker.dead, true) {
            self.account(old, Loss::Ended);
        }
        self.drop_runs(old);
    }

    /// Has a run be in the place of another life.
    fn move_run(&mut self, id: TaskId, new: u32) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let job = state.job.clone();
        let Some(run) = state.task_mut(id).and_then(|t| t.run.as_mut()) else {
            return;
        };
        let step = &job.spec.steps[id.step as usize];
        let old = std::mem::replace(&mut run.worker, new);
        let worker = self.fleet.get_mut(old);
        worker.release(id, step);
        let guest = worker.guest.filter(|&g| g == id);
        let worker = self.fleet.get_mut(new);
        worker.reserve(id, step);
        worker.guest = worker.guest.or(guest);
        self.mark(id.job);
    }
}
