//! Keeps serving tasks under their latency targets by slowing or moving the best-effort runs that
//! interfere with them.
//!
//! The interference model gives, by pair of images, how much a best-effort run lengthens the tail
//! latency of a serving task beside it. With each new measurement of a tail latency, the paces of
//! the interfering runs are set such that the tail latency stays under its target. If it is over
//! its target for most of a second nevertheless, these runs are slowed further, soon halted, and
//! finally all best-effort runs are halted. These timeouts also expire between the reports of the
//! worker.

use crate::{
    action::Action,
    model::{
        ids::TaskId,
        task::{Stage, UNKNOWN_PACE},
    },
    scheduler::Scheduler,
    share::{
        headroom::MIN_HEADROOM,
        slack::{BestEffortRun, ServingRun},
    },
};

/// Smallest change of a pace that is worth an order.
const MIN_CHANGE_PERCENT: u32 = 15;

/// Lower paces become a halt.
const MIN_PACE_PERCENT: u32 = 10;

/// Once a tail latency has been over its target for this long, interfering runs are slowed to
/// [`SLOW_PACE_PERCENT`].
const SLOW_AFTER_MS: u64 = 800;

/// Highest pace of interfering runs after [`SLOW_AFTER_MS`].
const SLOW_PACE_PERCENT: u32 = 30;

/// Once a tail latency has been over its target for this long, interfering runs are halted.
const HALT_AFTER_MS: u64 = 1500;

/// Once a tail latency has been over its target for this long, all best-effort runs are halted,
/// whatever the interference model says. Metrics cover the last half second and arrive each second,
/// a pace takes effect within another half second, and users count 4 s as harm. Slowing these runs
/// earlier, after 1.2 s, doesn't help the serving tasks and costs best-effort jobs 0.02 of their
/// value (0.70 instead of 0.72).
const HALT_ALL_AFTER_MS: u64 = 1800;

/// A run that was slowed for this long moves to another worker. The time is short because the whole
/// step waits for the run and a high load lasts for seconds. With 1.5 s, best-effort jobs earn 0.65
/// of their value, with 0.3 s 0.68.
const MOVE_AFTER_MS: u64 = 300;

/// A slowed run moves only if its pace is below this value.
const MOVE_BELOW_PERCENT: u32 = 50;

/// Delay before a failed pace order is retried.
const PACE_RETRY_MS: u64 = 200;

impl ServingRun {
    /// Returns the highest paces, in percent, of interfering and of other best-effort runs, given
    /// for how long the tail latency has been over its target.
    fn max_paces(&self) -> (u32, u32) {
        let interfering = match self.over_ms {
            t if t > HALT_AFTER_MS => 0,
            t if t > SLOW_AFTER_MS => SLOW_PACE_PERCENT,
            _ => 100,
        };
        let other = match self.over_ms {
            t if t > HALT_ALL_AFTER_MS => 0,
            _ => 100,
        };
        (interfering, other)
    }
}

impl Scheduler {
    pub(crate) fn choose_paces(&mut self, slot: u32) {
        let (serving_runs, best_effort_runs) = self.colocated_runs(slot);
        let mut paces = vec![100; best_effort_runs.len()];
        for serving in serving_runs
            .iter()
            .filter(|serving| !serving.is_own_overload)
        {
            self.limit_paces(serving, &best_effort_runs, &mut paces);
        }
        for (best_effort, pace) in best_effort_runs.iter().zip(paces) {
            let pace = if pace < MIN_PACE_PERCENT { 0 } else { pace };
            self.set_wanted_pace(best_effort, pace);
        }
    }

    /// Lowers the paces of interfering runs such that the tail latency of a serving task stays
    /// under its target.
    fn limit_paces(
        &self,
        serving: &ServingRun,
        best_effort_runs: &[BestEffortRun],
        paces: &mut [u32],
    ) {
        let (mut available, mut demand) = (serving.headroom.min_for_pace() - MIN_HEADROOM, 0.0);
        for best_effort in best_effort_runs {
            let taken =
                self.interference.weight(best_effort.image, serving.image) * best_effort.cpu_share;
            match self
                .interference
                .interferes(best_effort.image, serving.image)
            {
                true => demand += taken,
                false => available -= taken,
            }
        }
        let fitting_pace = match demand > available {
            true => (available.max(0.0) / demand * 100.0) as u32,
            false => 100,
        };
        let (interfering, other) = serving.max_paces();
        for (best_effort, pace) in best_effort_runs.iter().zip(paces) {
            let is_interfering = self
                .interference
                .interferes(best_effort.image, serving.image);
            let max_pace = if is_interfering {
                fitting_pace.min(interfering)
            } else {
                other
            };
            *pace = (*pace).min(max_pace);
        }
    }

    /// Lowers paces by how long tail latencies have been over their targets, without new
    /// measurements.
    pub(crate) fn escalate(&mut self, slot: u32) {
        let (serving_runs, best_effort_runs) = self.colocated_runs(slot);
        for best_effort in &best_effort_runs {
            let limiting = serving_runs
                .iter()
                .filter(|serving| !serving.is_own_overload);
            let max_pace = limiting.map(|serving| {
                let is_interfering = self
                    .interference
                    .interferes(best_effort.image, serving.image);
                let (interfering, other) = serving.max_paces();
                if is_interfering { interfering } else { other }
            });
            let max_pace = max_pace.min().unwrap_or(100);
            if max_pace < best_effort.pace {
                self.set_wanted_pace(best_effort, max_pace);
            }
        }
    }

    /// Sets the pace that a run should have, and moves the run if it has been slowed much for long.
    ///
    /// The time counts on while the pace stays the same. Else a run that is halted permanently
    /// would hold back its whole step: with tail latencies over their targets at the peak of each
    /// load, best-effort jobs then earn 0.53 of their value instead of 0.60.
    fn set_wanted_pace(&mut self, best_effort: &BestEffortRun, pace: u32) {
        let now = self.now;
        let id = best_effort.task;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let step = &state.job.spec.steps[id.step as usize];
        let (has_checkpoints, long_running) = (step.checkpoints, step.long_running);
        let Some(run) = state.task_mut(id).and_then(|t| t.run.as_mut()) else {
            return;
        };
        let pace = with_hysteresis(best_effort.pace, pace);
        if pace != run.wanted_pace || run.pace == UNKNOWN_PACE {
            run.wanted_pace = pace;
            self.pacing.push(id);
        }
        let worker = self.fleet.get_mut(run.worker);
        if pace > 0 {
            worker.own_load.record_best_effort(true, now);
        }
        // A halt for the confirmation of an own overload is short, so the run stays.
        if pace >= MOVE_BELOW_PERCENT || worker.own_load.is_confirmed(now) {
            run.slowed_since = None;
            return;
        }
        let since = *run.slowed_since.get_or_insert(now);
        let may_move = has_checkpoints && (!long_running || run.has_settled(now));
        if may_move && now > since + MOVE_AFTER_MS && matches!(run.stage, Stage::Confirmed(_)) {
            log::info!(task = id.to_string().as_str(), pace; "run: moves, it disturbs");
            run.stage = Stage::Stopping(None);
            self.stopping.push(id);
            self.stats.moved += 1;
        }
    }

    /// Sends orders for the paces that have changed.
    pub(crate) fn send_paces(&mut self) {
        let mut pending = std::mem::take(&mut self.pacing);
        pending.sort_unstable();
        pending.dedup();
        pending.retain(|&id| self.send_pace(id));
        self.pacing = pending;
    }

    /// Sends an order for the wanted pace of a run. Returns whether the run has to be checked
    /// again.
    fn send_pace(&mut self, id: TaskId) -> bool {
        let now = self.now;
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return false;
        };
        let run_number = task.last_run;
        let Some(run) = task.run.as_mut().filter(|r| r.wanted_pace != r.pace) else {
            return false;
        };
        let slot = run.worker;
        let worker = self.fleet.get(slot);
        if now < run.next_pace_at || !worker.is_live() || !matches!(run.stage, Stage::Confirmed(_))
        {
            return run.is_wanted();
        }
        // The answer to the order sets the next time. Until then no other order is sent.
        run.next_pace_at = u64::MAX;
        run.partial = true;
        log::info!(task = id.to_string().as_str(), worker = &*worker.id, from = run.pace, to = run.wanted_pace; "pace: changed");
        self.actions.push(Action::Pace {
            worker: slot,
            generation: worker.generation,
            task: id,
            run: run_number,
            percent: run.wanted_pace,
        });
        run.pace = run.wanted_pace;
        // The order may fail.
        true
    }

    /// Handles the result of a pace order.
    pub(crate) fn handle_paced(&mut self, slot: u32, id: TaskId, run_number: u32, is_done: bool) {
        let now = self.now;
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task.filter(|t| t.last_run == run_number) else {
            return;
        };
        let Some(run) = task.run.as_mut().filter(|r| r.worker == slot) else {
            return;
        };
        run.next_pace_at = 0;
        if !is_done {
            run.pace = UNKNOWN_PACE;
            run.next_pace_at = now + PACE_RETRY_MS;
            self.pacing.push(id);
        }
    }
}

/// Returns the pace to order for a run with another pace. A small change is not worth an order,
/// unless it sets the run to full pace or halts it.
fn with_hysteresis(old: u32, new: u32) -> u32 {
    let is_small = new.abs_diff(old) < MIN_CHANGE_PERCENT;
    match is_small && new > 0 && new < 100 {
        true => old,
        false => new,
    }
}
