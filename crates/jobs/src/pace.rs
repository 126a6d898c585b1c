//! Keeps tasks that serve under their latency target, by slowing or moving those
//! that fill and disturb them.
//!
//! Each new figure gives a serving task's tail; by how much the filling tasks
//! beside it lengthen it is learned by pairs of images. The paces of those that do
//! are set so that the tail stays under its target. Where that fails for most of a
//! second, they are slowed more and soon stopped, and at last all that fills is.
//! These times run out between the worker's looks as well.

use std::sync::Arc;

use crate::{
    action::Action,
    event::Look,
    headroom::Headroom,
    ids::TaskId,
    machine::Machine,
    pairs::{HARMLESS, Pairs},
    sample::{Group, Image, Press},
    task::Stage,
};

/// Target over tail is kept above this.
const LEAST_HEADROOM: f64 = 1.3;

/// A tail above this share of its target counts as over it: figures are rough.
const OVER: f64 = 0.9;

/// It counts so until a figure is below this share: one low figure among high ones
/// does not end what the users count as harm. Figures are off by up to a quarter.
const UNDER: f64 = 0.75;

/// Figures are of half a second: a worker's are used this often, in milliseconds.
const PERIOD: u64 = 450;

/// Milliseconds from one fit of the disturbances to the next.
const FIT_PERIOD: u64 = 500;

/// What stands for the excess on a worker on which nothing is disturbed: as good as a
/// target of five times the tail.
const CALM: f64 = -4.0;

/// Paces are changed if they differ by as many percent.
const STEP: u32 = 15;

/// A pace below this, in percent, is none.
const LEAST: u32 = 10;

/// A tail that has been over its target for this long slows what disturbs it, in
/// milliseconds ...
const SLOW_AFTER: u64 = 800;

/// ... to this pace in percent ...
const SLOW_PACE: u32 = 30;

/// ... for this long slows all that fills, whatever is known of it ...
const SLOW_ALL: u64 = 1200;

/// ... for this long stops what disturbs it ...
const STOP_AFTER: u64 = 1500;

/// ... and for this long stops all that fills. A figure tells of the last half second
/// and comes each second, a pace takes effect within half a second more, and the users
/// count 4 s as harm.
const STOP_ALL: u64 = 1800;

/// A task that was slowed for this long moves to another worker, in milliseconds.
const MOVE_AFTER: u64 = 1500;

/// A slowed task moves if its pace is below this, in percent.
const MOVE_BELOW: u32 = 50;

/// A serving run on a worker, as placement and pacing see it.
#[derive(Debug, Clone, Copy)]
struct Served {
    image: Image,
    /// Target over tail without what fills.
    headroom: Headroom,
    /// For how long it is over its target, in milliseconds.
    over: u64,
}

impl Served {
    /// Returns the highest paces, in percent, of what disturbs it and of all else that
    /// fills, for the time that it is over its target.
    fn caps(&self) -> (u32, u32) {
        let harmful = match self.over {
            t if t > STOP_AFTER => 0,
            t if t > SLOW_AFTER => SLOW_PACE,
            _ => 100,
        };
        let others = match self.over {
            t if t > STOP_ALL => 0,
            t if t > SLOW_ALL => SLOW_PACE,
            _ => 100,
        };
        (harmful, others)
    }
}

/// A filling run on a worker.
#[derive(Debug, Clone, Copy)]
struct Filler {
    task: TaskId,
    image: Image,
    /// Cores that it uses at full pace.
    cores: f64,
    /// Its pace in percent.
    pace: u32,
}

/// What serving tasks on a worker bear besides what fills there already.
#[derive(Debug, Clone, Default)]
pub(crate) struct Slack {
    /// Image and the headroom that is left to it.
    rows: Vec<(Image, f64)>,
    /// Whether a tail is over its target; nothing may begin to fill then.
    pub(crate) over: bool,
}

impl Slack {
    /// Returns by how much more headroom a filling task would take than there is; 0 or
    /// less if there is enough, and the less the better.
    pub(crate) fn excess(&self, pairs: &Pairs, image: Image, cores: f64) -> f64 {
        let mut most = f64::NEG_INFINITY;
        for &(serve, left) in &self.rows {
            let weight = pairs.weight(image, serve);
            if weight > HARMLESS {
                most = most.max(weight * cores - left);
            }
        }
        most.max(CALM)
    }
}

impl Machine {
    /// Takes note of the figures that a worker lists, and chooses paces.
    pub(crate) fn watch(&mut self, slot: u32, look: &Look) {
        let now = self.now;
        let worker = self.fleet.get_mut(slot);
        if worker.serving == 0 || now < worker.figured + PERIOD {
            return;
        }
        worker.figured = now;
        let press: Arc<[Press]> = self.press(look).into();
        let mut over = false;
        for row in &look.running {
            let Some(ms) = row.figure.filter(|f| *f > 0) else {
                continue;
            };
            let Some(state) = self.jobs.get_mut(&row.task.job) else {
                continue;
            };
            let image = state.images[row.task.step as usize];
            let target = state.job.spec.steps[row.task.step as usize].target;
            let run = state.task_mut(row.task).and_then(|t| t.run.as_mut());
            let Some(run) = run.filter(|_| target > 0) else {
                continue;
            };
            let group = Group {
                job: row.task.job,
                time: row.task.time,
                step: row.task.step,
            };
            let share = ms as f64 / target as f64;
            self.pairs.note(group, image, 1.0 / share, &press);
            if share > OVER {
                run.over = run.over.or(Some(now));
            } else if share < UNDER {
                run.over = None;
            }
            over |= run.over.is_some();
        }
        let worker = self.fleet.get_mut(slot);
        worker.over = over && worker.filling > 0;
        if worker.filling > 0 {
            self.choose_paces(slot);
        }
    }

    /// Fits the disturbances to the figures, each half second, and lowers paces where a
    /// tail has been over its target for long.
    pub(crate) fn fit(&mut self) {
        if self.now < self.fitted + FIT_PERIOD {
            return;
        }
        self.fitted = self.now;
        for (group, newest) in self.pairs.fit() {
            let state = self.jobs.get_mut(&group.job);
            let step = state.and_then(|j| j.step_mut(group.time, group.step));
            if let Some(step) = step {
                step.headroom.update(newest);
            }
        }
        for slot in 0..self.fleet.workers.len() as u32 {
            if self.fleet.get(slot).over {
                self.escalate(slot);
            }
        }
    }

    /// Returns what fills on a worker, with the cores in use.
    fn press(&self, look: &Look) -> Vec<Press> {
        let mut out: Vec<Press> = Vec::new();
        for row in &look.running {
            let Some(state) = self.jobs.get(&row.task.job) else {
                continue;
            };
            let Some(step) = state.job.spec.steps.get(row.task.step as usize) else {
                continue;
            };
            if !step.fill {
                continue;
            }
            let image = state.images[row.task.step as usize];
            let cores = row.figure.unwrap_or(step.cpu) as f64 / 1000.0;
            match out.iter_mut().find(|p| p.image == image) {
                Some(p) => p.cores += cores,
                None => out.push(Press { image, cores }),
            }
        }
        out
    }

    /// Returns what serves and what fills on a worker.
    fn residents(&self, slot: u32) -> (Vec<Served>, Vec<Filler>) {
        let (mut served, mut fillers) = (Vec::new(), Vec::new());
        for &task in &self.fleet.get(slot).runs {
            let Some(state) = self.jobs.get(&task.job) else {
                continue;
            };
            let step = &state.job.spec.steps[task.step as usize];
            let Some(run) = state.task(task).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            let image = state.images[task.step as usize];
            if step.target > 0 {
                let runs = &state.times[task.time as usize][task.step as usize];
                served.push(Served {
                    image,
                    headroom: runs.headroom,
                    over: run.over.map_or(0, |since| self.now - since),
                });
            } else if step.fill {
                fillers.push(Filler {
                    task,
                    image,
                    cores: step.cpu as f64 / 1000.0,
                    pace: run.wanted,
                });
            }
        }
        (served, fillers)
    }

    /// Returns what a worker's serving tasks bear besides what fills there.
    pub(crate) fn slack(&self, slot: u32) -> Slack {
        if self.fleet.get(slot).serving == 0 {
            return Slack::default();
        }
        let (served, fillers) = self.residents(slot);
        let mut slack = Slack::default();
        for s in &served {
            slack.over |= s.over > 0;
            let there = fillers.iter().map(|f| {
                let pace = f64::from(f.pace) / 100.0;
                self.pairs.weight(f.image, s.image) * f.cores * pace
            });
            // A load that was high a while ago comes back while the task runs.
            let left = s.headroom.later() - LEAST_HEADROOM - there.sum::<f64>();
            match slack.rows.iter_mut().find(|r| r.0 == s.image) {
                Some(row) => row.1 = row.1.min(left),
                None => slack.rows.push((s.image, left)),
            }
        }
        slack
    }

    /// Returns the headroom that what fills on a worker would take from a serving task.
    pub(crate) fn pressure_on(&self, slot: u32, serve: Image) -> f64 {
        if self.fleet.get(slot).filling == 0 {
            return 0.0;
        }
        let (_, fillers) = self.residents(slot);
        let taken = fillers.iter().map(|f| {
            let pace = f64::from(f.pace) / 100.0;
            self.pairs.weight(f.image, serve) * f.cores * pace
        });
        taken.sum()
    }

    fn choose_paces(&mut self, slot: u32) {
        let (served, fillers) = self.residents(slot);
        let mut paces = vec![100; fillers.len()];
        for s in &served {
            self.protect(s, &fillers, &mut paces);
        }
        for (filler, pace) in fillers.iter().zip(paces) {
            let pace = if pace < LEAST { 0 } else { pace };
            self.want_pace(filler, pace);
        }
    }

    /// Lowers the paces of what disturbs a serving task, so that its tail stays under
    /// its target.
    fn protect(&self, served: &Served, fillers: &[Filler], paces: &mut [u32]) {
        let (mut room, mut full) = (served.headroom.soon() - LEAST_HEADROOM, 0.0);
        for filler in fillers {
            let weight = self.pairs.weight(filler.image, served.image);
            match weight > HARMLESS {
                true => full += weight * filler.cores,
                false => room -= weight * filler.cores,
            }
        }
        let fitting = match full > room {
            true => (room.max(0.0) / full * 100.0) as u32,
            false => 100,
        };
        let (harmful, others) = served.caps();
        for (filler, pace) in fillers.iter().zip(paces) {
            let harms = self.pairs.weight(filler.image, served.image) > HARMLESS;
            let most = if harms { fitting.min(harmful) } else { others };
            *pace = (*pace).min(most);
        }
    }

    /// Lowers paces for the time alone that tails have been over their targets.
    fn escalate(&mut self, slot: u32) {
        let (served, fillers) = self.residents(slot);
        for filler in &fillers {
            let most = served.iter().map(|s| {
                let harms = self.pairs.weight(filler.image, s.image) > HARMLESS;
                let (harmful, others) = s.caps();
                if harms { harmful } else { others }
            });
            let most = most.min().unwrap_or(100);
            if most < filler.pace {
                self.want_pace(filler, most);
            }
        }
    }

    fn want_pace(&mut self, filler: &Filler, pace: u32) {
        let now = self.now;
        let id = filler.task;
        let small = pace.abs_diff(filler.pace) < STEP;
        if small && (pace == filler.pace || pace > 0 && pace < 100) {
            return;
        }
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let saves = state.job.spec.steps[id.step as usize].checkpoints;
        let Some(run) = state.task_mut(id).and_then(|t| t.run.as_mut()) else {
            return;
        };
        run.wanted = pace;
        if pace >= MOVE_BELOW {
            run.slowed = None;
            return;
        }
        let since = *run.slowed.get_or_insert(now);
        if saves && now > since + MOVE_AFTER && matches!(run.stage, Stage::There(_)) {
            log::info!(task = id.to_string().as_str(), pace; "run: moves, it disturbs");
            run.stage = Stage::Stopping(None);
        }
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
