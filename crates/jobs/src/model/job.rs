//! A job and the state of its steps.

use std::sync::Arc;

use crate::{
    model::{
        changes::Replayed,
        checkpoint::Checkpoint,
        ids::TaskId,
        record::{Outcome, Record},
        spec::Job,
        step::StepState,
        task::{Run, Stage, Task},
    },
    order::estimates::EstimateModel,
    share::sample::Image,
};

/// Length of the critical path of a job, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CriticalPath {
    /// Length of the whole path.
    pub(crate) total: u64,
    /// Length of the longest path of remaining work.
    pub(crate) remaining: u64,
}

impl CriticalPath {
    fn max(self, other: CriticalPath) -> CriticalPath {
        CriticalPath {
            total: self.total.max(other.total),
            remaining: self.remaining.max(other.remaining),
        }
    }
}

/// The state of a job.
#[derive(Debug)]
pub(crate) struct JobState {
    /// The job as it was accepted.
    pub(crate) job: Arc<Job>,
    /// Number of the image of each step.
    pub(crate) images: Vec<Image>,
    /// The outcome so far.
    pub(crate) outcome: Outcome,
    /// The steps of each repetition that is due.
    pub(crate) repetitions: Vec<Vec<StepState>>,
    /// When the scheduler took the job up.
    pub(crate) known_since: u64,
    /// The outcome in the last commit that was sent.
    pub(crate) written_outcome: Outcome,
    /// Whether the job changed since the last commit that was sent.
    pub(crate) dirty: bool,
    /// Whether its changes are logged in a row of their own, since the store rejected a row that
    /// held them beside those of other jobs.
    pub(crate) needs_own_row: bool,
    /// The last computed critical path, and when it was computed.
    pub(crate) critical_path: Option<(CriticalPath, u64)>,
    /// When the search for a worker to reserve for the job last failed; 0 if it never did.
    pub(crate) search_failed_at: u64,
}

impl JobState {
    pub(crate) fn new(job: Arc<Job>, images: Vec<Image>, now: u64) -> JobState {
        JobState {
            job,
            images,
            outcome: Outcome::Pending,
            repetitions: Vec::new(),
            known_since: now,
            written_outcome: Outcome::Pending,
            dirty: false,
            needs_own_row: false,
            critical_path: None,
            search_failed_at: 0,
        }
    }

    /// Returns whether any task has a run.
    pub(crate) fn has_runs(&self) -> bool {
        let mut tasks = self.repetitions.iter().flatten().flat_map(|s| &s.tasks);
        tasks.any(|t| t.run.is_some())
    }

    /// Returns the number of tasks in memory.
    pub(crate) fn task_count(&self) -> u64 {
        let steps = self.repetitions.iter().flatten();
        steps.map(|s| s.tasks.len() as u64).sum()
    }

    /// Adds the repetitions that are due at `wall_clock`, in milliseconds since the Unix epoch.
    pub(crate) fn add_due_repetitions(&mut self, wall_clock: u64) {
        let spec = &self.job.spec;
        while (self.repetitions.len() as u32) < spec.repetitions() {
            let due = spec.schedule.due(self.repetitions.len());
            if spec.schedule.repetitions > 0 && wall_clock < due {
                return;
            }
            let steps = spec.steps.iter().map(|s| StepState::new(s.count));
            let steps = steps.collect();
            self.repetitions.push(steps);
        }
    }

    /// Returns whether all dependencies of a step are done.
    pub(crate) fn is_ready(&self, repetition: usize, step: usize) -> bool {
        let deps = &self.job.spec.steps[step].deps;
        let steps = &self.repetitions[repetition];
        deps.iter().all(|&d| steps[d as usize].is_done())
    }

    /// Returns whether every task of every repetition is done.
    pub(crate) fn is_done(&self) -> bool {
        let all_due = self.repetitions.len() as u32 == self.job.spec.repetitions();
        all_due && self.repetitions.iter().flatten().all(StepState::is_done)
    }

    /// Computes the critical path from estimated and observed times.
    pub(crate) fn compute_critical_path(
        &self,
        estimates: &EstimateModel,
        now: u64,
    ) -> CriticalPath {
        let spec = &self.job.spec;
        let mut ends: Vec<CriticalPath> = Vec::with_capacity(spec.steps.len());
        for (at, step) in spec.steps.iter().enumerate() {
            let mut end = CriticalPath::default();
            for &d in &step.deps {
                end = end.max(ends[d as usize]);
            }
            if let Some(state) = self.repetitions.first().map(|t| &t[at]) {
                let duration = state.longest_task_ms(estimates, step.estimate, now);
                let percent = if state.is_done() {
                    100
                } else {
                    state.min_percent()
                };
                end.total += duration;
                end.remaining += duration * u64::from(100 - percent) / 100;
            }
            ends.push(end);
        }
        ends.into_iter()
            .fold(CriticalPath::default(), CriticalPath::max)
    }

    /// Returns a task.
    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        let step = self.step(id.repetition, id.step)?;
        step.tasks.get(id.index as usize)
    }

    /// Returns a mutable reference to a task.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let step = self.step_mut(id.repetition, id.step)?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Returns a step in one repetition.
    pub(crate) fn step(&self, repetition: u32, step: u32) -> Option<&StepState> {
        let steps = self.repetitions.get(repetition as usize)?;
        steps.get(step as usize)
    }

    /// Returns a mutable reference to a step in one repetition.
    pub(crate) fn step_mut(&mut self, repetition: u32, step: u32) -> Option<&mut StepState> {
        let steps = self.repetitions.get_mut(repetition as usize)?;
        steps.get_mut(step as usize)
    }

    /// Returns the identifiers of all tasks in due repetitions.
    pub(crate) fn task_ids(&self) -> Vec<TaskId> {
        let mut out = Vec::new();
        for (repetition, steps) in self.repetitions.iter().enumerate() {
            for (step, state) in steps.iter().enumerate() {
                for index in 0..state.tasks.len() {
                    out.push(TaskId {
                        job: self.job.id,
                        repetition: repetition as u32,
                        step: step as u32,
                        index: index as u32,
                    });
                }
            }
        }
        out
    }

    /// Restores the state from a record; `slot` returns the slot of a worker by its name.
    pub(crate) fn restore(&mut self, record: &Record, mut slot: impl FnMut(&Arc<str>) -> u32) {
        (self.outcome, self.written_outcome) = (record.outcome, record.outcome);
        let repetitions = record.steps.iter().map(|s| s.0);
        let last_repetition = repetitions.chain(record.tasks.iter().map(|t| t.at.0)).max();
        while last_repetition.is_some_and(|t| self.repetitions.len() <= t as usize) {
            let steps = self.job.spec.steps.iter().map(|s| StepState::new(s.count));
            self.repetitions.push(steps.collect());
        }
        for &(repetition, step) in &record.steps {
            let state = &mut self.repetitions[repetition as usize][step as usize];
            for index in 0..state.tasks.len() {
                state.mark_done(index);
            }
        }
        for task_record in &record.tasks {
            let (repetition, step, index) = task_record.at;
            let state = &mut self.repetitions[repetition as usize][step as usize];
            if task_record.done {
                state.mark_done(index as usize);
            }
            let task = &mut state.tasks[index as usize];
            task.last_run = task_record.run;
            task.failed_runs = task_record.failed.clone();
            task.checkpoint = Checkpoint::from_record(&task_record.saved);
            task.crashes = task_record.crashes.clone();
            let run = task_record.worker.as_ref();
            let run = run.map(|w| Run::new(slot(w), Stage::Inherited, self.known_since));
            if let Some(run) = run {
                state.set_run(index as usize, run);
            }
        }
    }

    /// Records which rows of the log hold the state of the job. Returns whether the log holds all
    /// of it.
    pub(crate) fn mark_logged(&mut self, replayed: Replayed) -> bool {
        for (&(repetition, step), &row) in replayed.steps.iter() {
            if let Some(state) = self.step_mut(repetition, step) {
                state.logged_row = Some(row);
            }
        }
        for (&(repetition, step, index), &(row, _)) in replayed.tasks.iter() {
            let state = self
                .step_mut(repetition, step)
                .filter(|s| s.logged_row.is_none());
            let task = state.and_then(|s| s.tasks.get_mut(index as usize));
            if let Some(task) = task {
                task.mark_logged(row);
            }
        }
        let mut steps = self
            .repetitions
            .iter()
            .flatten()
            .filter(|s| s.logged_row.is_none());
        steps.all(|s| {
            !s.is_done()
                && s.tasks
                    .iter()
                    .all(|t| t.last_run == 0 || t.logged.is_some())
        })
    }
}
