//! What the queues hold and ask for, and its peak over the last seconds.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    entitlement::{WorkKind, division::Claim},
    runs::worker::{Capacity, demand},
    scheduler::Scheduler,
};

/// Time over which the peak of a demand is taken, in milliseconds. Jobs come in groups; with the
/// present demand alone, capacity would be given away between two of them.
const PEAK_WINDOW_MS: u64 = 10_000;

/// What a queue holds and asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Demand {
    /// Capacity of its runs.
    pub(crate) held: Capacity,
    /// Capacity that its waiting tasks ask for. Tasks of jobs that can no longer meet their
    /// objective don't count.
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
}

impl QueueDemand {
    /// Returns the claim of the queue: the peak for tasks that end, which come and go.
    pub(crate) fn claim(&self) -> Claim {
        let mut present = self.demand.held;
        present.add(self.demand.waiting);
        Claim {
            priority: self.priority,
            demand: match self.kind {
                WorkKind::LongRunning => present,
                WorkKind::Short | WorkKind::BestEffort => self.demand.peak,
            },
        }
    }
}

/// Recent demands, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Peaks {
    samples: VecDeque<Sample>,
}

/// The demands at one time.
#[derive(Debug)]
struct Sample {
    at: u64,
    demands: Vec<(Arc<str>, WorkKind, Capacity)>,
}

impl Peaks {
    /// Records the present demands, and sets their peaks.
    pub(crate) fn record(&mut self, now: u64, demands: &mut [QueueDemand]) {
        let mut sample = Sample {
            at: now,
            demands: Vec::with_capacity(demands.len()),
        };
        for row in demands.iter() {
            let mut present = row.demand.held;
            present.add(row.demand.waiting);
            sample.demands.push((row.queue.clone(), row.kind, present));
        }
        self.samples.push_back(sample);
        while self
            .samples
            .front()
            .is_some_and(|s| s.at + PEAK_WINDOW_MS < now)
        {
            self.samples.pop_front();
        }
        for row in demands {
            for sample in &self.samples {
                let key = (&row.queue, row.kind);
                let at = sample
                    .demands
                    .binary_search_by(|(q, k, _)| (q, *k).cmp(&key));
                let Ok(at) = at else {
                    continue;
                };
                let (_, _, past) = sample.demands[at];
                let peak = &mut row.demand.peak;
                peak.cpu = peak.cpu.max(past.cpu);
                peak.memory = peak.memory.max(past.memory);
                peak.gpu = peak.gpu.max(past.gpu);
            }
        }
    }
}

impl Scheduler {
    /// Returns the present demands of all queues, sorted by queue and kind. Peaks are not set.
    pub(crate) fn demands(&self) -> Vec<QueueDemand> {
        let kinds = [WorkKind::Short, WorkKind::BestEffort, WorkKind::LongRunning];
        let mut rows = Vec::with_capacity(self.queues.len() * kinds.len());
        for policy in &self.queues {
            for kind in kinds {
                rows.push(QueueDemand {
                    service: policy.service.clone(),
                    queue: policy.queue.clone(),
                    kind,
                    priority: policy.priority,
                    demand: Demand::default(),
                });
            }
        }
        let on_time_jobs = self.open_jobs.len().saturating_sub(self.late_jobs);
        for (index, id) in self.open_jobs.iter().enumerate() {
            let Some(state) = self.jobs.get(id) else {
                continue;
            };
            for (repetition, steps) in state.repetitions.iter().enumerate() {
                for (step_index, runs) in steps.iter().enumerate() {
                    let step = &state.job.spec.steps[step_index];
                    if runs.is_done() || !state.is_ready(repetition, step_index) {
                        continue;
                    }
                    let key = (&state.job.queue, WorkKind::of(step));
                    let at = rows.binary_search_by(|r| (&r.queue, r.kind).cmp(&key));
                    let Ok(at) = at else {
                        continue;
                    };
                    let size = demand(step);
                    let open = runs.tasks.len() as u64 - u64::from(runs.done);
                    let waiting = u64::from(runs.unassigned);
                    let row = &mut rows[at].demand;
                    row.held.add(size.times(open - waiting));
                    if index < on_time_jobs {
                        row.waiting.add(size.times(waiting));
                    }
                }
            }
        }
        rows
    }
}
