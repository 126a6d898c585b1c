//! The tasks of one step in one repetition.

use std::sync::Arc;

use crate::{
    model::{
        changes::RowNumber,
        checkpoint::Origin,
        task::{Run, Stage, Task},
    },
    order::estimates::{EstimateModel, ObservedTimes},
    share::{forecast::History, headroom::Headroom},
};

/// The tasks of one step in one repetition.
#[derive(Debug, Clone)]
pub(crate) struct StepState {
    /// The tasks.
    pub(crate) tasks: Vec<Task>,
    /// How many of them are done.
    pub(crate) done: u32,
    /// How many of them are not done and have no run.
    pub(crate) unassigned: u32,
    /// For tasks that serve: how far their tails are below the target.
    pub(crate) headroom: Headroom,
    /// For tasks that serve: what that was of late.
    pub(crate) history: History,
    /// Times of tasks that ran from their start at full pace.
    pub(crate) observed_times: ObservedTimes,
    /// The row of the log that tells that it is done whole.
    pub(crate) logged_row: Option<RowNumber>,
    /// The last checkpoint that a worker rejected: members of a gang that began with it on other
    /// workers still list it.
    pub(crate) rejected: Option<Arc<str>>,
}

impl StepState {
    pub(crate) fn new(count: u32) -> StepState {
        StepState {
            tasks: vec![Task::default(); count as usize],
            done: 0,
            unassigned: count,
            headroom: Headroom::default(),
            history: History::default(),
            observed_times: ObservedTimes::default(),
            logged_row: None,
            rejected: None,
        }
    }

    /// Tells whether every task is done.
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Forgets what the log tells of its tasks, which it tells of the step.
    pub(crate) fn forget_logged(&mut self) {
        for task in &mut self.tasks {
            task.logged = None;
        }
    }

    /// Marks a task done.
    pub(crate) fn mark_done(&mut self, index: usize) {
        if !self.tasks[index].done {
            self.tasks[index].done = true;
            self.done += 1;
            self.unassigned -= u32::from(self.tasks[index].run.is_none());
        }
    }

    /// Gives all tasks the newest checkpoint of any of them: the members of a gang work jointly,
    /// and workers take what began from different checkpoints for different work.
    pub(crate) fn share_checkpoint(&mut self) {
        let saved = self.tasks.iter().filter_map(|t| t.checkpoint.as_ref());
        let Some(newest) = saved.max_by_key(|c| c.recency()).cloned() else {
            return;
        };
        for task in &mut self.tasks {
            task.checkpoint = Some(newest.clone());
        }
    }

    /// Takes over a checkpoint that a run of a task listed, unless it was rejected.
    pub(crate) fn save_checkpoint(&mut self, index: usize, text: &Arc<str>, origin: Origin) {
        if self.rejected.as_ref() != Some(text) {
            self.tasks[index].save_checkpoint(text, origin);
        }
    }

    /// Has no task go on from this checkpoint any more.
    pub(crate) fn reject_checkpoint(&mut self, text: &Arc<str>) {
        for task in &mut self.tasks {
            task.checkpoint = task.checkpoint.take().filter(|c| c.text != *text);
        }
        self.rejected = Some(text.clone());
    }

    /// Gives a task a run.
    pub(crate) fn set_run(&mut self, index: usize, run: Run) {
        let task = &mut self.tasks[index];
        self.unassigned -= u32::from(task.run.is_none() && !task.done);
        task.run = Some(Box::new(run));
    }

    /// Takes a task's run away.
    pub(crate) fn take_run(&mut self, index: usize) -> Option<Box<Run>> {
        let task = &mut self.tasks[index];
        let run = task.run.take();
        self.unassigned += u32::from(run.is_some() && !task.done);
        run
    }

    /// Returns the indices of the tasks that need a run now, beside others.
    pub(crate) fn waiting_tasks(&self, now: u64) -> Vec<u32> {
        if self.unassigned == 0 {
            return Vec::new();
        }
        let tasks = (0..).zip(&self.tasks);
        let waiting = tasks.filter(|(_, t)| t.is_waiting(now) && !t.needs_isolation(now));
        waiting.map(|(index, _)| index).collect()
    }

    /// Returns the least progress of its tasks that are not done, in percent.
    pub(crate) fn min_percent(&self) -> u32 {
        let open = self.tasks.iter().filter(|t| !t.done);
        let percents = open.map(|t| t.run.as_ref().map_or(0, |r| r.percent.min(100)));
        percents.min().unwrap_or(0)
    }

    /// Returns the time that its longest task takes, in milliseconds, from the callers'
    /// guess and from what its tasks show.
    pub(crate) fn longest_task_ms(
        &self,
        estimates: &EstimateModel,
        estimate: u64,
        now: u64,
    ) -> u64 {
        let mut observed = self.observed_times;
        for task in &self.tasks {
            let Some(run) = task.run.as_ref().filter(|r| is_representative(r)) else {
                continue;
            };
            observed.observe_run(run.percent, now - run.placed_at);
        }
        observed.longest(estimates, estimate, self.tasks.len())
    }

    /// Returns how many runs the step has on a worker.
    pub(crate) fn runs_on(&self, worker: u32) -> u32 {
        let runs = self.tasks.iter().filter_map(|t| t.run.as_ref());
        runs.filter(|r| r.worker == worker).count() as u32
    }
}

/// Tells whether a run is at work and its time tells of the task.
fn is_representative(run: &Run) -> bool {
    matches!(run.stage, Stage::Confirmed(_)) && !run.partial
}
