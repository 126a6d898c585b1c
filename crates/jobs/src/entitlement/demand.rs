//! What the queues hold and ask for.
//!
//! Limits: a task counts with its size alone. Labels, spread and limits per worker, which may
//! keep it from capacity that is free, do not show.

use std::sync::Arc;

use crate::{
    entitlement::{WorkKind, division::Claim, peaks::Load, room::ServiceRoom},
    model::{ids::TaskId, job::JobState, spec::Step, step::StepState},
    runs::worker::{Capacity, demand},
    scheduler::Scheduler,
};

/// All kinds of work, sorted.
const KINDS: [WorkKind; 3] = [WorkKind::Short, WorkKind::BestEffort, WorkKind::LongRunning];

/// What a queue holds and asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Demand {
    /// Capacity of its runs on available workers.
    pub(crate) held: Capacity,
    /// Capacity that its waiting tasks ask for. Tasks of jobs that can no longer meet their
    /// objective don't count, nor those that are larger than any worker.
    pub(crate) waiting: Capacity,
    /// The highest sum of both over the last seconds.
    pub(crate) peak: Capacity,
}

/// The demand of one queue for one kind of work.
#[derive(Debug, Clone)]
pub(crate) struct QueueDemand {
    pub(crate) service: Arc<str>,
    pub(crate) queue: Arc<str>,
    pub(crate) kind: WorkKind,
    pub(crate) priority: u32,
    pub(crate) demand: Demand,
    /// Number of tasks that hold or wait for capacity.
    pub(crate) tasks: u64,
    /// The highest number of tasks over the last seconds.
    pub(crate) peak_tasks: u64,
}

impl QueueDemand {
    /// Returns the claim of the queue: the peak for tasks that end, which come and go.
    pub(crate) fn claim(&self) -> Claim {
        Claim {
            priority: self.priority,
            demand: match self.kind {
                WorkKind::LongRunning => self.present().size,
                WorkKind::Short | WorkKind::BestEffort => self.demand.peak,
            },
        }
    }

    /// Returns what the queue holds and asks for at present.
    pub(crate) fn present(&self) -> Load {
        let mut size = self.demand.held;
        size.add(self.demand.waiting);
        Load {
            size,
            tasks: self.tasks,
        }
    }

    fn add_held(&mut self, size: Capacity, tasks: u64) {
        self.demand.held.add(size.times(tasks));
        self.tasks += tasks;
    }

    fn add_waiting(&mut self, size: Capacity, tasks: u64) {
        self.demand.waiting.add(size.times(tasks));
        self.tasks += tasks;
    }
}

impl Scheduler {
    /// Returns the present demands of all queues, sorted by queue and kind. Peaks are not set.
    pub(crate) fn demands(&self, rooms: &[ServiceRoom]) -> Vec<QueueDemand> {
        let queues = self.queues.iter();
        let mut rows = Vec::with_capacity(queues.len() * KINDS.len());
        for policy in queues.map(|q| &q.policy) {
            rows.extend(KINDS.map(|kind| QueueDemand {
                service: policy.service.clone(),
                queue: policy.queue.clone(),
                kind,
                priority: policy.priority,
                demand: Demand::default(),
                tasks: 0,
                peak_tasks: 0,
            }));
        }
        for id in &self.open_jobs {
            if let Some(state) = self.jobs.get(id) {
                self.add_job(state, rooms, &mut rows);
            }
        }
        self.count_unavailable(&mut rows);
        rows
    }

    /// Adds what a job holds and asks for.
    fn add_job(&self, state: &JobState, rooms: &[ServiceRoom], rows: &mut [QueueDemand]) {
        let Some(at) = self.queues.position(&state.job.queue) else {
            return;
        };
        let policy = self.queues.policy_at(at);
        // Queues and rows have the same order.
        let rows = &mut rows[at * KINDS.len()..(at + 1) * KINDS.len()];
        let room = ServiceRoom::find(rooms, &policy.service);
        let is_late = self.is_late(state, policy);
        for (repetition, steps) in state.repetitions.iter().enumerate() {
            for (step_index, runs) in steps.iter().enumerate() {
                let step = &state.job.spec.steps[step_index];
                if runs.is_done() || !state.is_ready(repetition, step_index) {
                    continue;
                }
                let size = demand(step);
                let row = &mut rows[WorkKind::of(step) as usize];
                let open = runs.tasks.len() as u64 - u64::from(runs.done);
                row.add_held(size, open.saturating_sub(u64::from(runs.unassigned)));
                if !is_late && room.is_some_and(|r| r.largest.has_room(Capacity::default(), size)) {
                    row.add_waiting(size, waiting_tasks(step, runs, self.now));
                }
            }
        }
    }

    /// Takes the runs on unavailable workers out of what is held. Their capacity is not divided.
    /// Long-running tasks wait for another place at once; others may end where they are.
    fn count_unavailable(&self, rows: &mut [QueueDemand]) {
        let workers = self.fleet.workers.iter().filter(|w| !w.is_available());
        for &id in workers.flat_map(|w| &w.runs) {
            let Some((row, size)) = self.row_of(id, rows) else {
                continue;
            };
            row.demand.held.subtract(size);
            row.tasks = row.tasks.saturating_sub(1);
            if row.kind == WorkKind::LongRunning {
                row.add_waiting(size, 1);
            }
        }
    }

    /// Returns the row of a task that is not done and the size of the task.
    fn row_of<'a>(
        &self,
        id: TaskId,
        rows: &'a mut [QueueDemand],
    ) -> Option<(&'a mut QueueDemand, Capacity)> {
        let state = self.jobs.get(&id.job)?;
        if state.outcome.is_final() || state.task(id)?.done {
            return None;
        }
        let step = &state.job.spec.steps[id.step as usize];
        let key = (&state.job.queue, WorkKind::of(step));
        let at = rows.binary_search_by(|r| (&r.queue, r.kind).cmp(&key));
        Some((&mut rows[at.ok()?], demand(step)))
    }
}

/// Returns the number of tasks of a step that ask for capacity.
///
/// Tasks that are held back after a failure, or that run apart because they may have crashed a
/// worker, would leave capacity idle that is kept for them. Long-running ones count nevertheless:
/// others that took their place would not make way for them again.
fn waiting_tasks(step: &Step, runs: &StepState, now: u64) -> u64 {
    match step.long_running {
        true => u64::from(runs.unassigned),
        false => runs.waiting_count(now),
    }
}
