//! Handles the runs and starts of a worker's incarnation that another one has replaced.
//!
//! All runs that the earlier incarnation has reported have ended, whatever clocks and leases show.
//! Starts whose runs it has not reported may be carried out by the next incarnation, which has seen
//! no fencing token and whose clock is behind. Their tasks wait until it answers a poll of a higher
//! generation: it then reports the run, or never starts it.

use std::sync::Arc;

use crate::{
    model::{
        ids::TaskId,
        task::{Stage, UNKNOWN_PACE},
    },
    runs::{incarnations::Attribution, unreported::MAX_ORDER_DELAY_MS},
    scheduler::Scheduler,
    settings::lease_upper_bound,
};

impl Scheduler {
    /// Returns the slot of the incarnation that a report is from, or `None` if the report does not
    /// count. Ends the earlier incarnations.
    pub(super) fn reporting_slot(
        &mut self,
        slot: u32,
        sent: u64,
        start_time: Option<u64>,
    ) -> Option<u32> {
        let Attribution::Known(new, ended) = self.fleet.attribute(slot, sent, start_time) else {
            return None;
        };
        for old in ended {
            self.replace(old, new);
        }
        Some(new)
    }

    fn replace(&mut self, old: u32, new: u32) {
        let worker = self.fleet.get(old);
        let (runs, counted) = (worker.runs.len(), worker.counted_end);
        let moved = match worker.is_unidentified() {
            true => self.merge_identified(old, new),
            false => self.supersede(old, new),
        };
        self.fleet.retire(old);
        self.check_generation(new);
        self.placement_due = true;
        let (worker, old) = (self.fleet.get(new), self.fleet.get(old));
        if old.clock.is_none() && runs == 0 {
            log::info!(worker = &*worker.id, born:? = worker.start_time, old_born:? = old.start_time; "worker: row of an earlier life");
            return;
        }
        log::warn!(worker = &*worker.id, born:? = worker.start_time, old_born:? = old.start_time, counted, runs, unconfirmed = moved; "worker: another life");
    }

    /// Moves the state of a worker whose incarnation was unknown to the slot of that incarnation;
    /// returns the number of runs.
    fn merge_identified(&mut self, old: u32, new: u32) -> usize {
        let worker = self.fleet.get(old);
        let (runs, announced) = (worker.runs.clone(), worker.announced);
        let counted_crash = worker
            .crash_recorded
            .then(|| worker.incarnation_name.clone());
        for &id in &runs {
            self.move_run(id, new, counted_crash.as_ref(), |stage| stage);
        }
        self.fleet.get_mut(new).announced |= announced;
        runs.len()
    }

    /// Ends an incarnation that another one has replaced; returns how many of its starts may still
    /// be carried out.
    fn supersede(&mut self, old: u32, new: u32) -> usize {
        let (now, settings) = (self.now, self.settings);
        let worker = self.fleet.get_mut(old);
        let was_dead = std::mem::replace(&mut worker.dead, true);
        worker.silent_since.get_or_insert(now);
        let incarnation = worker.incarnation_name.clone();
        let order_delay = if worker.granted_until > 0 {
            MAX_ORDER_DELAY_MS
        } else {
            0
        };
        if worker.clock.is_some() || !worker.runs.is_empty() {
            let end = now + order_delay + lease_upper_bound(settings.max_lease);
            let worker = self.fleet.get_mut(new);
            worker.misdirected_lease_end = worker.misdirected_lease_end.max(end);
        }
        if !was_dead {
            self.record_crash(old);
        }
        let unreported = self.unreported_runs(old);
        for &id in &unreported {
            self.move_run(id, new, Some(&incarnation), |stage| {
                successor_stage(stage, now)
            });
        }
        let remaining = self.fleet.get(old).runs.clone();
        self.drop_runs(old, &remaining);
        unreported.len()
    }

    /// Returns the runs on a worker whose starts were sent and that it has not reported.
    fn unreported_runs(&self, slot: u32) -> Vec<TaskId> {
        let runs = self.fleet.get(slot).runs.iter().copied();
        let unreported = runs.filter(|&id| {
            let task = self.jobs.get(&id.job).and_then(|j| j.task(id));
            let run = task.and_then(|t| t.run.as_ref());
            run.is_some_and(|r| r.is_unreported())
        });
        unreported.collect()
    }

    /// Moves a run to another incarnation, at the stage that `stage` returns. If `from` is an
    /// incarnation, crashes count for that one until another one reports the run.
    fn move_run(
        &mut self,
        id: TaskId,
        new: u32,
        from: Option<&Arc<str>>,
        stage: impl Fn(Stage) -> Stage,
    ) {
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
        run.moved_from = run.moved_from.take().or_else(|| from.cloned());
        run.pace = UNKNOWN_PACE;
        run.next_pace_at = 0;
        if matches!(run.stage, Stage::Stopping(_)) {
            self.stopping.push(id);
        }
        let worker = self.fleet.get_mut(old);
        worker.release(id, step);
        let isolated = worker.isolated_task.filter(|&g| g == id);
        let worker = self.fleet.get_mut(new);
        worker.reserve(id, step);
        worker.isolated_task = worker.isolated_task.or(isolated);
        self.mark_dirty(id.job);
    }
}

/// Returns the stage in the next incarnation of a run that it may or may not start: its first
/// report to a poll of a higher generation decides.
fn successor_stage(stage: Stage, now: u64) -> Stage {
    match stage {
        Stage::Stopping(_) | Stage::StopConfirmed(_) => Stage::Stopping(None),
        _ => Stage::Unanswered(now),
    }
}
