//! Keeps tasks that serve under their latency target, by slowing or moving those
//! that fill and disturb them.

use std::sync::Arc;

use crate::{
    action::Action,
    event::Look,
    ids::TaskId,
    machine::Machine,
    pairs::Press,
    task::Stage,
};

/// A tail above this share of its target, in percent, slows what fills.
const HIGH: u64 = 85;

/// All tails below this share of their targets, in percent, let it speed up.
const LOW: u64 = 65;

/// Milliseconds from one change of pace to the next: the figure is of the last
/// half second, and a change takes a tenth of one.
const PERIOD: u64 = 600;

/// What a slowed task speeds up by, in percent of full pace.
const SPEED_UP: u32 = 25;

/// A slowed task keeps this share of its pace, in percent.
const SLOW_DOWN: u32 = 40;

/// A pace below this, in percent, is none.
const LEAST: u32 = 10;

/// A task that was slowed for this long moves to another worker, in milliseconds.
const MOVE_AFTER: u64 = 1500;

/// Tasks whose pressure is at least this share of the largest are slowed.
const CULPRIT: f64 = 0.4;

/// Pressure below this, as a logarithm, is noise: its task is no culprit.
const HARMLESS: f64 = 0.04;

/// A tail that has been over its target for this long without a known culprit
/// slows all that fills, in milliseconds ...
const SUSPECT_ALL: u64 = 1200;

/// ... and for this long stops them, before the users count it as harm (4 s).
const STOP_ALL: u64 = 2200;

/// A tail that is expected to stay below this share of its target is no reason
/// to keep a filling task away.
const ROOM: f64 = 0.8;

/// A serving task that is over its target.
struct Over {
    image: Arc<str>,
    /// For how long, in milliseconds.
    time: u64,
}

impl Machine {
    /// Takes note of the figures that a worker lists, and chooses paces.
    pub(crate) fn watch(&mut self, slot: u32, look: &Look) {
        let now = self.now;
        let press = self.press(look);
        let mut over = Vec::new();
        let mut worst = 0;
        for row in &look.running {
            let Some(state) = self.jobs.get_mut(&row.task.job) else {
                continue;
            };
            let step = &state.job.spec.steps[row.task.step as usize];
            let (target, image) = (step.target, step.image.clone().unwrap_or_default());
            let run = state.task_mut(row.task).and_then(|t| t.run.as_mut());
            let (Some(run), Some(tail)) = (run, row.figure) else {
                continue;
            };
            if target == 0 {
                continue;
            }
            self.pairs.learn(&image, &mut run.base, tail, &press);
            run.limit = (target as f64 * ROOM).ln();
            let share = tail * 100 / target;
            worst = worst.max(share);
            if share > HIGH {
                let since = *run.over.get_or_insert(now);
                over.push(Over {
                    image,
                    time: now - since,
                });
            } else {
                run.over = None;
            }
        }
        let worker = self.fleet.get_mut(slot);
        worker.press = press;
        if worker.filling == 0 || now < worker.paced + PERIOD {
            return;
        }
        if !over.is_empty() {
            self.slow_down(slot, &over, worst);
        } else if worst < LOW {
            self.speed_up(slot);
        }
    }

    /// Returns what fills on a worker, with the cores in use.
    fn press(&self, look: &Look) -> Vec<Press> {
        let mut out: Vec<Press> = Vec::new();
        for row in &look.running {
            let state = self.jobs.get(&row.task.job);
            let step = state.and_then(|j| j.job.spec.steps.get(row.task.step as usize));
            let Some(step) = step.filter(|s| s.fill) else {
                continue;
            };
            let image = step.image.clone().unwrap_or_default();
            let cores = row.figure.unwrap_or(step.cpu) as f64 / 1000.0;
            match out.iter_mut().find(|p| p.image == image) {
                Some(p) => p.cores += cores,
                None => out.push(Press { image, cores }),
            }
        }
        out
    }

    /// Slows the filling tasks that press most on the tails over their targets.
    fn slow_down(&mut self, slot: u32, over: &[Over], worst: u64) {
        let now = self.now;
        let longest = over.iter().map(|o| o.time).max().unwrap_or(0);
        let mut shares = Vec::new();
        for &id in &self.fleet.get(slot).runs {
            let Some(state) = self.jobs.get(&id.job) else {
                continue;
            };
            let step = &state.job.spec.steps[id.step as usize];
            if !step.fill {
                continue;
            }
            let image = step.image.clone().unwrap_or_default();
            let weights = over.iter().map(|o| self.pairs.weight(&image, &o.image));
            let share = weights.fold(0.0, f64::max) * step.cpu as f64 / 1000.0;
            shares.push((id, share));
        }
        let most = shares.iter().map(|s| s.1).fold(0.0, f64::max);
        for (id, share) in shares {
            if longest > STOP_ALL {
                self.slow_run(id, 0);
            } else if longest > SUSPECT_ALL || share >= HARMLESS && share >= most * CULPRIT {
                self.slow_run(id, SLOW_DOWN);
            }
        }
        let worker = self.fleet.get_mut(slot);
        worker.paced = now;
        log::debug!(worker = &*worker.id, worst, most:? = most; "pace: slowed");
    }

    fn slow_run(&mut self, id: TaskId, percent: u32) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let saves = state.job.spec.steps[id.step as usize].checkpoints;
        let Some(run) = state.task_mut(id).and_then(|t| t.run.as_mut()) else {
            return;
        };
        if run.wanted == 100 {
            run.slowed = now;
        }
        let pace = run.wanted * percent / 100;
        run.wanted = if pace < LEAST { 0 } else { pace };
        let moves = saves && now > run.slowed + MOVE_AFTER;
        if moves && matches!(run.stage, Stage::There(_)) {
            log::info!(task = id.to_string().as_str(), pace = run.wanted; "run: moves, it disturbs");
            run.stage = Stage::Stopping(None);
        }
    }

    fn speed_up(&mut self, slot: u32) {
        let now = self.now;
        let mut changed = false;
        for id in self.fleet.get(slot).runs.clone() {
            let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
            let Some(run) = task.and_then(|t| t.run.as_mut()) else {
                continue;
            };
            changed |= run.wanted < 100;
            run.wanted = (run.wanted + SPEED_UP).min(100);
        }
        if changed {
            self.fleet.get_mut(slot).paced = now;
        }
    }

    /// Tells whether a filling task would push a tail on a worker over its target.
    pub(crate) fn would_disturb(&self, slot: u32, image: &Arc<str>, cores: f64) -> bool {
        let worker = self.fleet.get(slot);
        if worker.serving == 0 {
            return false;
        }
        for &id in &worker.runs {
            let Some(state) = self.jobs.get(&id.job) else {
                continue;
            };
            let step = &state.job.spec.steps[id.step as usize];
            let Some(run) = state.task(id).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            if step.target == 0 || run.limit == 0.0 {
                continue;
            }
            let serve = step.image.clone().unwrap_or_default();
            let added = self.pairs.weight(image, &serve) * cores;
            let now = run.base + self.pairs.pressure(&serve, &worker.press);
            if added > 0.02 && now + added > run.limit {
                return true;
            }
        }
        false
    }

    /// Sends the changes of pace that are wanted.
    pub(crate) fn send_paces(&mut self) {
        for slot in 0..self.fleet.workers.len() as u32 {
            let worker = self.fleet.get(slot);
            if worker.filling == 0 || !worker.is_live() {
                continue;
            }
            for at in 0..worker.runs.len() {
                let id = self.fleet.get(slot).runs[at];
                self.send_pace(slot, id);
            }
        }
    }

    fn send_pace(&mut self, slot: u32, id: TaskId) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task else {
            return;
        };
        let number = task.last;
        let Some(run) = task.run.as_mut() else {
            return;
        };
        if run.pacing || run.wanted == run.pace || !matches!(run.stage, Stage::There(_)) {
            return;
        }
        run.pacing = true;
        log::info!(task = id.to_string().as_str(), worker = &*self.fleet.get(slot).id, from = run.pace, to = run.wanted; "pace: changed");
        self.out.push(Action::Pace {
            worker: slot,
            task: id,
            run: number,
            percent: run.wanted,
        });
        run.pace = run.wanted;
    }

    /// Takes note of what came of an order for a pace.
    pub(crate) fn paced(&mut self, slot: u32, id: TaskId, number: u32, done: bool) {
        let task = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id));
        let Some(task) = task.filter(|t| t.last == number) else {
            return;
        };
        let Some(run) = task.run.as_mut().filter(|r| r.worker == slot) else {
            return;
        };
        run.pacing = false;
        if !done {
            // Unknown: any other value makes it be sent again.
            run.pace = u32::MAX;
        }
    }
}
