//! Keeps tasks that serve under their latency target, by slowing those that fill.

use crate::{action::Action, event::Look, ids::TaskId, machine::Machine, task::Stage};

/// A tail above this share of its target, in percent, slows what fills.
const HIGH: u64 = 90;

/// All tails below this share of their targets, in percent, let it speed up.
const LOW: u64 = 65;

/// Milliseconds from one change of pace to the next: the figure is of the last
/// half second, and a change takes a tenth of one.
const PERIOD: u64 = 600;

/// What a worker's filling tasks speed up by, in percent of full pace.
const SPEED_UP: u32 = 20;

impl Machine {
    /// Takes note of the tails that a worker lists, and chooses its pace.
    pub(crate) fn watch(&mut self, slot: u32, look: &Look) {
        let now = self.now;
        let mut worst = 0;
        for row in &look.running {
            let state = self.jobs.get(&row.task.job);
            let step = state.and_then(|j| j.job.spec.steps.get(row.task.step as usize));
            let target = step.map_or(0, |s| s.target);
            if target > 0 {
                worst = worst.max(row.figure.unwrap_or(0) * 100 / target);
            }
        }
        let worker = self.fleet.get_mut(slot);
        if now < worker.paced + PERIOD {
            return;
        }
        let old = worker.pace;
        worker.pace = match worst {
            w if w > HIGH && old > 10 => old / 2,
            w if w > HIGH => 0,
            w if w < LOW => (old + SPEED_UP).min(100),
            _ => old,
        };
        if worker.pace == old {
            return;
        }
        worker.paced = now;
        log::info!(worker = &*worker.id, worst, from = old, to = worker.pace; "pace: changed");
        let pace = worker.pace;
        for id in worker.runs.clone() {
            self.want_pace(id, pace);
        }
    }

    fn want_pace(&mut self, id: TaskId, pace: u32) {
        let Some(state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if !state.job.spec.steps[id.step as usize].fill {
            return;
        }
        if let Some(run) = state.task_mut(id).and_then(|t| t.run.as_mut()) {
            run.wanted = pace;
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
