//! Keeps tasks that serve under their latency target, by slowing or moving those
//! that fill and disturb them.
//!
//! Each new figure gives a serving task's tail; by how much the filling tasks
//! beside it lengthen it is learned by pairs of images. The paces of those that do
//! are set so that the tail stays under its target. Where that fails for most of a
//! second, they are slowed more and soon stopped, and at last all that fills is.
//! These times run out between the worker's looks as well.

use crate::{
    action::Action,
    machine::Machine,
    model::{
        ids::TaskId,
        task::{Stage, UNKNOWN_PACE},
    },
    share::{
        headroom::MIN_HEADROOM,
        slack::{BestEffortRun, ServingRun},
    },
};

/// Paces are changed if they differ by as many percent.
const STEP: u32 = 15;

/// A pace below this, in percent, is none.
const LEAST: u32 = 10;

/// A tail that has been over its target for this long slows what disturbs it, in
/// milliseconds ...
const SLOW_AFTER: u64 = 800;

/// ... to this pace in percent ...
const SLOW_PACE: u32 = 30;

/// ... for this long stops what disturbs it ...
const STOP_AFTER: u64 = 1500;

/// ... and for this long stops all that fills, whatever is known of it. A figure tells of the
/// last half second and comes each second, a pace takes effect within half a second more, and
/// the users count 4 s as harm. To slow it before that, after 1.2 s, gained the serving tasks
/// nothing and cost what fills 0.02 of its worth (0.70 to 0.72, 15 days with trouble on 350 full
/// workers).
const STOP_ALL: u64 = 1800;

/// A task that was slowed for this long moves to another worker, in milliseconds: soon, since
/// its whole step waits for it, and a load that is high stays so for seconds. With 1.5 s
/// filling jobs earned 0.65 of their worth on 350 full workers, with 0.3 s 0.68 (15 days with
/// trouble).
const MOVE_AFTER: u64 = 300;

/// A slowed task moves if its pace is below this, in percent.
const MOVE_BELOW: u32 = 50;

/// Pause before an order for a pace that was not taken is sent again, in milliseconds.
const PACE_RETRY: u64 = 200;

impl ServingRun {
    /// Returns the highest paces, in percent, of what disturbs it and of all else that
    /// fills, for the time that it is over its target.
    fn caps(&self) -> (u32, u32) {
        let harmful = match self.over_ms {
            t if t > STOP_AFTER => 0,
            t if t > SLOW_AFTER => SLOW_PACE,
            _ => 100,
        };
        let others = match self.over_ms {
            t if t > STOP_ALL => 0,
            _ => 100,
        };
        (harmful, others)
    }
}

impl Machine {
    pub(crate) fn choose_paces(&mut self, slot: u32) {
        let (served, fillers) = self.colocated_runs(slot);
        let mut paces = vec![100; fillers.len()];
        for s in served.iter().filter(|s| !s.is_own_overload) {
            self.protect(s, &fillers, &mut paces);
        }
        for (filler, pace) in fillers.iter().zip(paces) {
            let pace = if pace < LEAST { 0 } else { pace };
            self.want_pace(filler, pace);
        }
    }

    /// Lowers the paces of what disturbs a serving task, so that its tail stays under
    /// its target.
    fn protect(&self, served: &ServingRun, fillers: &[BestEffortRun], paces: &mut [u32]) {
        let (mut room, mut full) = (served.headroom.soon() - MIN_HEADROOM, 0.0);
        for filler in fillers {
            let taken = self.interference.weight(filler.image, served.image) * filler.cpu_share;
            match self.interference.interferes(filler.image, served.image) {
                true => full += taken,
                false => room -= taken,
            }
        }
        let fitting = match full > room {
            true => (room.max(0.0) / full * 100.0) as u32,
            false => 100,
        };
        let (harmful, others) = served.caps();
        for (filler, pace) in fillers.iter().zip(paces) {
            let harms = self.interference.interferes(filler.image, served.image);
            let most = if harms { fitting.min(harmful) } else { others };
            *pace = (*pace).min(most);
        }
    }

    /// Lowers paces for the time alone that tails have been over their targets.
    pub(crate) fn escalate(&mut self, slot: u32) {
        let (served, fillers) = self.colocated_runs(slot);
        for filler in &fillers {
            let bounding = served.iter().filter(|s| !s.is_own_overload);
            let most = bounding.map(|s| {
                let harms = self.interference.interferes(filler.image, s.image);
                let (harmful, others) = s.caps();
                if harms { harmful } else { others }
            });
            let most = most.min().unwrap_or(100);
            if most < filler.pace {
                self.want_pace(filler, most);
            }
        }
    }

    /// Has a run work at a pace, and moves it if it has been slowed much for long.
    ///
    /// The time counts on while the pace stays as it is: else a task that was halted for good
    /// held back its whole step. On 350 workers with tails that are over their targets at the
    /// peak of each load, filling jobs earned 0.53 of their worth without that, 0.60 with it
    /// (15 days with trouble).
    fn want_pace(&mut self, filler: &BestEffortRun, pace: u32) {
        let now = self.now;
        let id = filler.task;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let saves = state.job.spec.steps[id.step as usize].checkpoints;
        let Some(run) = state.task_mut(id).and_then(|t| t.run.as_mut()) else {
            return;
        };
        let pace = steady(filler.pace, pace);
        if pace != run.wanted_pace || run.pace == UNKNOWN_PACE {
            run.wanted_pace = pace;
            self.pacing.push(id);
        }
        let worker = self.fleet.get_mut(run.worker);
        if pace > 0 {
            worker.own_load.note_best_effort(true, now);
        }
        // A halt for a proof is short.
        if pace >= MOVE_BELOW || worker.own_load.is_proven(now) {
            run.slowed_since = None;
            return;
        }
        let since = *run.slowed_since.get_or_insert(now);
        if saves && now > since + MOVE_AFTER && matches!(run.stage, Stage::Confirmed(_)) {
            log::info!(task = id.to_string().as_str(), pace; "run: moves, it disturbs");
            run.stage = Stage::Stopping(None);
            self.stopping.push(id);
        }
    }

    /// Sends the changes of pace that are wanted.
    pub(crate) fn send_paces(&mut self) {
        let mut left = std::mem::take(&mut self.pacing);
        left.sort_unstable();
        left.dedup();
        left.retain(|&id| self.send_pace(id));
        self.pacing = left;
    }

    /// Sends a change of pace if one is wanted; true if it has to be seen to again.
    fn send_pace(&mut self, id: TaskId) -> bool {
        let now = self.now;
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return false;
        };
        let number = task.last_run;
        let Some(run) = task.run.as_mut().filter(|r| r.wanted_pace != r.pace) else {
            return false;
        };
        let slot = run.worker;
        let worker = self.fleet.get(slot);
        if now < run.next_pace_at || !worker.is_live() || !matches!(run.stage, Stage::Confirmed(_))
        {
            return run.is_wanted();
        }
        // The answer sets the next time; this one only guards against its loss.
        run.next_pace_at = u64::MAX;
        run.partial = true;
        log::info!(task = id.to_string().as_str(), worker = &*worker.id, from = run.pace, to = run.wanted_pace; "pace: changed");
        self.actions.push(Action::Pace {
            worker: slot,
            task: id,
            run: number,
            percent: run.wanted_pace,
        });
        run.pace = run.wanted_pace;
        // It may turn out not to be done.
        true
    }

    /// Takes note of what came of an order for a pace.
    pub(crate) fn handle_paced(&mut self, slot: u32, id: TaskId, number: u32, done: bool) {
        let now = self.now;
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task.filter(|t| t.last_run == number) else {
            return;
        };
        let Some(run) = task.run.as_mut().filter(|r| r.worker == slot) else {
            return;
        };
        run.next_pace_at = 0;
        if !done {
            run.pace = UNKNOWN_PACE;
            run.next_pace_at = now + PACE_RETRY;
            self.pacing.push(id);
        }
    }
}

/// Returns the pace to be told to a run that has another one: a small change is not worth an
/// order, unless it lets the run work fully or not at all.
fn steady(old: u32, new: u32) -> u32 {
    let small = new.abs_diff(old) < STEP;
    match small && new > 0 && new < 100 {
        true => old,
        false => new,
    }
}
