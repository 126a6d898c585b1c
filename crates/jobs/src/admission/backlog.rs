//! The work that waits before a new job, and the capacity that works on it.
//!
//! The load pattern is a burst. Of two jobs that have not started, either may be placed first, so
//! that a new job competes with all that wait. Jobs that can no longer be on time are placed last
//! and don't delay it.

use std::{cmp::Ordering, sync::Arc};

use crate::{
    admission::{
        arrivals::Arrival,
        boundary::{Competition, Waiting},
    },
    entitlement::WorkKind,
    model::{
        job::JobState,
        record::Outcome,
        spec::Step,
        step::StepState,
        task::{Run, UNKNOWN_PACE},
    },
    order::{estimates::EstimateModel, urgency::order_share},
    runs::worker::Capacity,
    scheduler::Scheduler,
};

/// Age of a job without runs from which its waiting tasks show that capacity which seems free
/// can't be used, in milliseconds. A job that fits is placed within a few passes.
const UNUSABLE_MS: u64 = 300;

/// Waiting and running work of one queue and kind.
#[derive(Debug, Clone)]
pub(crate) struct QueueLoad {
    pub(crate) service: Arc<str>,
    pub(crate) queue: Arc<str>,
    pub(crate) kind: WorkKind,
    pub(crate) priority: u32,
    /// Waiting work of jobs that have started, which go before new jobs of any priority, in
    /// thousandths of a core times milliseconds.
    pub(crate) started: u64,
    /// Waiting work of jobs that have not started.
    pub(crate) pending: Vec<Waiting>,
    /// CPU that callers ask for, in thousandths of a core.
    pub(crate) asked: u64,
    /// CPU of the runs, as far as they are not slowed, in thousandths of a core.
    pub(crate) held: u64,
    /// Size of the smallest task that any worker may run and that has waited for a while.
    pub(crate) stuck: Option<Capacity>,
}

/// Returns the work that goes before a new job of `own` or competes with it, where work is taken up
/// at `pace` thousandths of a core.
pub(crate) fn competition(loads: &[QueueLoad], own: &QueueLoad, pace: u64) -> Competition {
    let mut competition = Competition {
        pace,
        ..Competition::default()
    };
    for load in peers(loads, own) {
        competition.ahead += load.started;
        match load.priority.cmp(&own.priority) {
            Ordering::Less => {
                competition.ahead += load.pending_work();
                competition.asked_ahead += load.asked;
            }
            Ordering::Equal => {
                competition.waiting.extend(&load.pending);
                competition.asked += load.asked;
            }
            Ordering::Greater => {}
        }
    }
    competition.waiting.sort_unstable();
    competition
}

/// Returns the CPU of all runs that leave their capacity to the same tasks as those of `own`.
pub(crate) fn held_cpu(loads: &[QueueLoad], own: &QueueLoad) -> u64 {
    peers(loads, own).map(|l| l.held).sum()
}

fn peers<'a>(loads: &'a [QueueLoad], own: &QueueLoad) -> impl Iterator<Item = &'a QueueLoad> {
    loads
        .iter()
        .filter(|l| l.service == own.service && l.kind == own.kind)
}

/// Returns the work of a job that has just arrived.
pub(crate) fn arrival(state: &JobState, model: &EstimateModel, now: u64) -> Arrival {
    let mut work = 0;
    for (step, runs) in state
        .job
        .spec
        .steps
        .iter()
        .zip(state.repetitions.iter().flatten())
    {
        let each = runs.typical_task_ms(model, step.estimate, now);
        work += u64::from(step.count) * cpu_weight(step) * each;
    }
    Arrival {
        at: now,
        order: order_share(state.job.id),
        work,
    }
}

/// Returns the CPU by which the work of a step is measured. A pace needs a unit even where tasks
/// request no CPU.
fn cpu_weight(step: &Step) -> u64 {
    step.cpu.max(1)
}

/// Returns the CPU that the runs of a step work with.
fn held_by(step: &Step, state: &StepState) -> u64 {
    let runs = state.tasks.iter().filter_map(|t| t.run.as_ref());
    let cpu = cpu_weight(step);
    runs.map(|run| cpu * effective_pace(run) / 100).sum()
}

fn effective_pace(run: &Run) -> u64 {
    match run.pace {
        UNKNOWN_PACE => 100,
        pace => u64::from(pace.min(100)),
    }
}

/// Returns whether each worker with enough capacity may run a task of the step.
fn is_plain(step: &Step) -> bool {
    step.label.is_none() && step.max_per_worker == 0 && !step.gang && !step.same_rack
}

impl QueueLoad {
    /// Adds one step of a job.
    fn add(&mut self, state: &JobState, step: &Step, runs: &StepState, work: u64) {
        let has_started =
            state.outcome == Outcome::Active || state.job.spec.schedule.repetitions > 0;
        match has_started {
            true => self.started += work,
            false if work > 0 => self.pending.push(Waiting {
                order: order_share(state.job.id),
                work,
            }),
            false => {}
        }
        self.held += held_by(step, runs);
    }

    fn pending_work(&self) -> u64 {
        self.pending.iter().map(|w| w.work).sum()
    }

    /// Notes that a task has waited for a while.
    fn note_stuck(&mut self, step: &Step) {
        let size = Capacity {
            cpu: step.cpu,
            memory: step.memory,
            gpu: step.gpu,
        };
        if self.stuck.is_none_or(|s| size.cpu < s.cpu) {
            self.stuck = Some(size);
        }
    }
}

impl Scheduler {
    /// Returns the loads of all queues, sorted by queue and kind. The open jobs must have been
    /// sorted.
    pub(super) fn queue_loads(&self) -> Vec<QueueLoad> {
        let mut loads = Vec::with_capacity(self.queues.len() * 2);
        for policy in &self.queues {
            for kind in [WorkKind::Short, WorkKind::BestEffort] {
                loads.push(QueueLoad {
                    service: policy.service.clone(),
                    queue: policy.queue.clone(),
                    kind,
                    priority: policy.priority,
                    started: 0,
                    pending: Vec::new(),
                    asked: 0,
                    held: 0,
                    stuck: None,
                });
            }
        }
        let on_time_jobs = self.open_jobs.len().saturating_sub(self.late_jobs);
        for (index, id) in self.open_jobs.iter().enumerate() {
            if let Some(state) = self.jobs.get(id) {
                self.add_job_load(&mut loads, state, index < on_time_jobs);
            }
        }
        loads
    }

    fn add_job_load(&self, loads: &mut [QueueLoad], state: &JobState, is_on_time: bool) {
        let no_model = EstimateModel::default();
        let model = self.estimates.get(&state.job.queue).unwrap_or(&no_model);
        let is_unplaced =
            state.outcome == Outcome::Pending && self.now > state.known_since + UNUSABLE_MS;
        for (repetition, steps) in state.repetitions.iter().enumerate() {
            for (index, runs) in steps.iter().enumerate() {
                let step = &state.job.spec.steps[index];
                if runs.is_done() {
                    continue;
                }
                let key = (&state.job.queue, WorkKind::of(step));
                let Ok(at) = loads.binary_search_by(|l| (&l.queue, l.kind).cmp(&key)) else {
                    continue;
                };
                let mut work = 0;
                if is_on_time && runs.unassigned > 0 {
                    let each = runs.typical_task_ms(model, step.estimate, self.now);
                    work = u64::from(runs.unassigned) * cpu_weight(step) * each;
                }
                loads[at].add(state, step, runs, work);
                let waits = is_unplaced && runs.unassigned > 0 && is_plain(step);
                if waits && state.is_ready(repetition, index) {
                    loads[at].note_stuck(step);
                }
            }
        }
    }
}
