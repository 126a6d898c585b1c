//! Takes note of workers' figures, and learns from them.

use std::sync::Arc;

use crate::{
    event::Look,
    machine::Machine,
    share::sample::{Group, Press},
};

/// Figures are of half a second: a worker's are used this often, in milliseconds.
const PERIOD: u64 = 450;

/// Milliseconds from one fit of the disturbances to the next.
const FIT_PERIOD: u64 = 500;

impl Machine {
    /// Takes note of the figures that a worker lists, and chooses paces.
    pub(crate) fn watch(&mut self, slot: u32, look: &Look) {
        let now = self.now;
        let worker = self.fleet.get_mut(slot);
        if worker.serving == 0 || now < worker.figured + PERIOD {
            return;
        }
        worker.figured = now;
        let press: Arc<[Press]> = self.press(slot, look).into();
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
            let step = state.step_mut(row.task.time, row.task.step);
            let Some(step) = step.filter(|_| target > 0) else {
                continue;
            };
            let lowest = step.headroom.lowest();
            let task = step.tasks.get_mut(row.task.index as usize);
            let Some(run) = task.and_then(|t| t.run.as_mut()) else {
                continue;
            };
            let group = Group {
                job: row.task.job,
                time: row.task.time,
                step: row.task.step,
            };
            let share = ms as f64 / target as f64;
            self.pairs.note(group, image, 1.0 / share, &press);
            let worst = lowest - self.pairs.taken(image, &press);
            run.note_tail(share, worst, now);
            over |= run.over.is_some();
        }
        let worker = self.fleet.get_mut(slot);
        worker.over = over && worker.filling > 0;
        worker.slack = None;
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
        self.note_spare();
        for slot in 0..self.fleet.workers.len() as u32 {
            self.fleet.workers[slot as usize].slack = None;
            if self.fleet.get(slot).over {
                self.escalate(slot);
            }
        }
    }

    /// Returns what fills on a worker, with its share of the processors.
    fn press(&self, slot: u32, look: &Look) -> Vec<Press> {
        let worker = self.fleet.get(slot);
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
            let share = worker.share(row.figure.unwrap_or(step.cpu));
            match out.iter_mut().find(|p| p.image == image) {
                Some(p) => p.share += share,
                None => out.push(Press { image, share }),
            }
        }
        out
    }
}
