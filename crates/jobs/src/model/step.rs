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
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub(crate) done: u32,
    /// Number of tasks that are not done and have no run.
    pub(crate) unassigned: u32,
    /// For serving tasks: the headroom of their tail latency below the target.
    pub(crate) headroom: Headroom,
    /// For serving tasks: the recent history of the headroom.
    pub(crate) history: History,
    /// Times of tasks that ran from the beginning at full pace.
    pub(crate) observed_times: ObservedTimes,
    /// The row of the log that records all tasks as done.
    pub(crate) logged_row: Option<RowNumber>,
    /// The last checkpoint that a worker rejected. Members of a gang that resumed from it on
    /// other workers still report it.
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

    /// Returns whether every task is done.
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Discards the logged state of the tasks, after the log has recorded the whole step.
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

    /// Gives all tasks the newest checkpoint of any of them. The members of a gang have to resume
    /// from the same checkpoint, since workers take runs from different ones for different work.
    pub(crate) fn share_checkpoint(&mut self) {
        let saved = self.tasks.iter().filter_map(|t| t.checkpoint.as_ref());
        let Some(newest) = saved.max_by_key(|c| c.recency()).cloned() else {
            return;
        };
        for task in &mut self.tasks {
            task.checkpoint = Some(newest.clone());
        }
    }

    /// Saves a checkpoint that a run of a task reported, unless it was rejected.
    pub(crate) fn save_checkpoint(&mut self, index: usize, text: &Arc<str>, origin: Origin) {
        if self.rejected.as_ref() != Some(text) {
            self.tasks[index].save_checkpoint(text, origin);
        }
    }

    /// Discards a checkpoint, so that no task resumes from it.
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

    /// Removes and returns the run of a task.
    pub(crate) fn take_run(&mut self, index: usize) -> Option<Box<Run>> {
        let task = &mut self.tasks[index];
        let run = task.run.take();
        self.unassigned += u32::from(run.is_some() && !task.done);
        run
    }

    /// Returns the indices of the tasks that need a run now and need no isolation.
    pub(crate) fn waiting_tasks(&self, now: u64) -> Vec<u32> {
        self.waiting(now).collect()
    }

    /// Returns the number of tasks that need a run now and need no isolation.
    pub(crate) fn waiting_count(&self, now: u64) -> u64 {
        self.waiting(now).count() as u64
    }

    fn waiting(&self, now: u64) -> impl Iterator<Item = u32> {
        let tasks = match self.unassigned {
            0 => &[],
            _ => &self.tasks[..],
        };
        let waiting = (0..).zip(tasks);
        let waiting = waiting.filter(move |(_, t)| t.is_waiting(now) && !t.needs_isolation(now));
        waiting.map(|(index, _)| index)
    }

    /// Returns the lowest progress of the tasks that are not done, in percent.
    pub(crate) fn min_percent(&self) -> u32 {
        let open = self.tasks.iter().filter(|t| !t.done);
        let percents = open.map(|t| t.run.as_ref().map_or(0, |r| r.percent.min(100)));
        percents.min().unwrap_or(0)
    }

    /// Returns the expected time of the longest task in milliseconds, from the caller's estimate
    /// and the observed times of tasks.
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
        observed.longest_ms(estimates, estimate, self.tasks.len())
    }

    /// Returns the number of runs that the step has on a worker.
    pub(crate) fn runs_on(&self, worker: u32) -> u32 {
        let runs = self.tasks.iter().filter_map(|t| t.run.as_ref());
        runs.filter(|r| r.worker == worker).count() as u32
    }
}

/// Returns whether a run is confirmed and its time is representative of the task.
fn is_representative(run: &Run) -> bool {
    matches!(run.stage, Stage::Confirmed(_)) && !run.partial
}
