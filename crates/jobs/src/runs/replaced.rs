//! What is left of a worker's earlier life when another one is there.
//!
//! Whatever ran there is over, whatever clocks and leases say. Starts that it has not listed
//! may be carried out by the next life, which has seen no epoch and whose clock is behind:
//! their tasks wait until it lists them, or until a stop bars them there.

use crate::{
    machine::Machine,
    model::{
        ids::TaskId,
        task::{Run, Stage, UNKNOWN_PACE},
    },
    runs::{
        incarnations::Attribution,
        late_start::LateStart,
        lost::Loss,
        orphan::Orphan,
        unreported::MAX_ORDER_DELAY_MS,
        worker::{Capacity, demand},
    },
    settings::lease_upper_bound,
};

impl Machine {
    /// Returns the slot of the life that a list is of; nothing if it does not count. Earlier
    /// lives are over.
    pub(super) fn reporting_slot(
        &mut self,
        slot: u32,
        sent: u64,
        born: Option<u64>,
    ) -> Option<u32> {
        let Attribution::Known(new, over) = self.fleet.attribute(slot, sent, born) else {
            return None;
        };
        for old in over {
            self.replace(old, new);
        }
        Some(new)
    }

    fn replace(&mut self, old: u32, new: u32) {
        let worker = self.fleet.get(old);
        let (runs, counted) = (worker.runs.len(), worker.counted_end);
        let moved = match worker.is_unidentified() {
            true => self.rename(old, new),
            false => self.succeed(old, new),
        };
        self.fleet.retire(old);
        self.placement_due = true;
        let (worker, old) = (self.fleet.get(new), self.fleet.get(old));
        if old.clock.is_none() && runs == 0 {
            log::info!(worker = &*worker.id, born:? = worker.start_time, old_born:? = old.start_time; "worker: row of an earlier life");
            return;
        }
        log::warn!(worker = &*worker.id, born:? = worker.start_time, old_born:? = old.start_time, counted, runs, unconfirmed = moved; "worker: another life");
    }

    /// Hands what is known of a life over to the same one, now that its name is known; returns
    /// how many runs that were.
    fn rename(&mut self, old: u32, new: u32) -> usize {
        let worker = self.fleet.get(old);
        let (runs, guest) = (worker.runs.clone(), worker.isolated_task);
        let listed = worker.registered;
        for &id in &runs {
            self.move_run(id, new, |stage| stage);
        }
        let worker = self.fleet.get_mut(new);
        worker.isolated_task = worker.isolated_task.or(guest);
        worker.registered |= listed;
        runs.len()
    }

    /// Ends a life that another one has replaced; returns how many starts of it may still be
    /// carried out.
    fn succeed(&mut self, old: u32, new: u32) -> usize {
        let (now, settings) = (self.now, self.settings);
        let worker = self.fleet.get_mut(old);
        let dead = std::mem::replace(&mut worker.dead, true);
        let late = if worker.granted_until > 0 {
            MAX_ORDER_DELAY_MS
        } else {
            0
        };
        if worker.clock.is_some() || !worker.runs.is_empty() {
            let end = now + late + lease_upper_bound(settings.max_lease);
            let worker = self.fleet.get_mut(new);
            worker.misdirected_lease_end = worker.misdirected_lease_end.max(end);
        }
        if !dead {
            self.record_loss(old, Loss::Ended);
        }
        let loose = self.fleet.get_mut(old).take_late_starts(now);
        let unlisted = self.unlisted(old);
        for &id in &unlisted {
            self.move_run(id, new, unclear);
        }
        for start in &loose {
            self.bar(old, new, *start);
        }
        let left = self.fleet.get(old).runs.clone();
        self.drop_runs(old, &left);
        unlisted.len() + loose.len()
    }

    /// Returns the runs on a worker whose starts were sent and that it has not listed.
    fn unlisted(&self, slot: u32) -> Vec<TaskId> {
        let runs = self.fleet.get(slot).runs.iter().copied();
        let unlisted = runs.filter(|&id| {
            let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
            let run = task.and_then(|t| t.run.as_ref());
            run.is_some_and(|r| r.unreported_since().is_some())
        });
        unlisted.collect()
    }

    /// Has a run be in the place of another life, at the stage that `stage` gives.
    fn move_run(&mut self, id: TaskId, new: u32, stage: impl Fn(Stage) -> Stage) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let job = state.job.clone();
        let Some(run) = state.task_mut(id).and_then(|t| t.run.as_mut()) else {
            return;
        };
        let step = &job.spec.steps[id.step as usize];
        let old = std::mem::replace(&mut run.worker, new);
        run.stage = stage(run.stage);
        run.pace = UNKNOWN_PACE;
        run.next_pace_at = 0;
        if matches!(run.stage, Stage::Stopping(_)) {
            self.stopping.push(id);
        }
        let worker = self.fleet.get_mut(old);
        worker.release(id, step);
        let guest = worker.isolated_task.filter(|&g| g == id);
        let worker = self.fleet.get_mut(new);
        worker.reserve(id, step);
        worker.isolated_task = worker.isolated_task.or(guest);
        self.mark_dirty(id.job);
    }

    /// Has the next life stop what it may still start of a run that was given up. Where its
    /// task would need a run now it waits until that is barred.
    fn bar(&mut self, old: u32, new: u32, start: LateStart) {
        let id = start.task;
        self.fleet.get_mut(new).keep_late_start(start, self.now);
        let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
        let Some(task) = task.filter(|t| !t.done) else {
            return self.add_stray(new, start);
        };
        let last = task.last_run;
        match &task.run {
            None => self.detain(new, id),
            Some(run) if run.worker == old => self.move_run(id, new, |_| Stage::Stopping(None)),
            Some(_) => return self.add_stray(new, start),
        }
        if last != start.run {
            self.add_stray(new, start);
        }
    }

    /// Has a worker stop a run that it may still start and that nobody wants.
    fn add_stray(&mut self, slot: u32, start: LateStart) {
        let id = start.task;
        let state = self.jobs.get(&id.job);
        let step = state.and_then(|j| j.job.spec.steps.get(id.step as usize));
        let size = step.map_or(Capacity::default(), demand);
        self.fleet.get_mut(slot).add_orphan(Orphan {
            task: id,
            run: start.run,
            size,
            sent_at: None,
            stopped_at: None,
            retry_at: 0,
        });
    }

    /// Has a task without a run wait as if it had one that is to be stopped.
    fn detain(&mut self, slot: u32, id: TaskId) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let job = state.job.clone();
        let Some(step) = state.step_mut(id.repetition, id.step) else {
            return;
        };
        let run = Run::new(slot, Stage::Stopping(None), now);
        step.set_run(id.index as usize, run);
        let worker = self.fleet.get_mut(slot);
        worker.reserve(id, &job.spec.steps[id.step as usize]);
        self.stopping.push(id);
        self.mark_dirty(id.job);
    }
}

/// Returns the stage in the next life of a run that it may start or not: its first list
/// tells, and else a stop.
fn unclear(stage: Stage) -> Stage {
    match stage {
        Stage::Stopping(_) | Stage::StopConfirmed(_) => Stage::Stopping(None),
        _ => Stage::Unanswered(0),
    }
}
