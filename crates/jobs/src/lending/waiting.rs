//! The short tasks that wait for capacity.
//!
//! Limits: tasks of gangs, and tasks that would hold lent capacity for too long, don't count.

use std::sync::Arc;

use crate::{
    entitlement::WorkKind,
    lending::settings::Lending,
    model::{ids::TaskId, job::JobState},
    runs::worker::{Capacity, demand},
    scheduler::Scheduler,
};

/// Time for which a task waits before others are stopped for it, in milliseconds. Objectives of
/// short jobs are 1 to 3 s, and a worker that is free or about to be takes the task before that.
const WAITED_MS: u64 = 300;

/// Maximum number of sizes of waiting tasks that one choice considers, the most urgent first.
const MAX_SIZES: usize = 32;

/// Waiting tasks of one size and with the same needs.
#[derive(Debug)]
pub(super) struct Group {
    /// The first of them.
    pub(super) first: TaskId,
    pub(super) size: Capacity,
    label: Option<Arc<str>>,
    /// Whether a worker takes only some of them, so that no other step belongs to the group.
    is_limited: bool,
    pub(super) count: u32,
}

impl Scheduler {
    /// Returns the tasks of a queue's short jobs that can be on time and have waited for a moment.
    pub(super) fn waiting_groups(&self, queue: &str, bounds: &Lending) -> Vec<Group> {
        let mut groups: Vec<Group> = Vec::new();
        let on_time_jobs = self.open_jobs.len().saturating_sub(self.late_jobs);
        for id in &self.open_jobs[..on_time_jobs] {
            let Some(state) = self.jobs.get(id).filter(|s| *s.job.queue == *queue) else {
                continue;
            };
            for (repetition, steps) in (0..).zip(&state.repetitions) {
                for (step, runs) in (0..).zip(steps) {
                    if runs.unassigned == 0 {
                        continue;
                    }
                    let first = TaskId {
                        job: *id,
                        repetition,
                        step,
                        index: 0,
                    };
                    let count = self.waiting_count(state, first, bounds);
                    add_tasks(&mut groups, state, first, count);
                }
            }
        }
        groups
    }

    /// Returns how many tasks of a step have waited for a moment and could be placed.
    fn waiting_count(&self, state: &JobState, first: TaskId, bounds: &Lending) -> u32 {
        let spec = &state.job.spec.steps[first.step as usize];
        let (repetition, step) = (first.repetition as usize, first.step as usize);
        let is_short = WorkKind::of(spec) == WorkKind::Short && !spec.gang;
        let is_long = spec.estimate > bounds.max_use();
        if !is_short || is_long || !state.is_ready(repetition, step) {
            return 0;
        }
        // A step becomes ready when the last run of those before it has ended.
        let steps = &state.repetitions[repetition];
        let earlier = spec.deps.iter().flat_map(|&d| &steps[d as usize].tasks);
        let ready_at = earlier.map(|t| t.idle_since).max().unwrap_or(0);
        let ready_at = ready_at.max(state.known_since);
        let waiting = steps[step].waiting_tasks(self.now);
        let waited = waiting.iter().filter(|&&index| {
            let task = &steps[step].tasks[index as usize];
            let since = ready_at.max(task.idle_since).max(task.retry_at);
            self.now >= since + WAITED_MS
        });
        waited.count() as u32
    }
}

/// Adds waiting tasks of a step to the groups.
fn add_tasks(groups: &mut Vec<Group>, state: &JobState, first: TaskId, count: u32) {
    if count == 0 {
        return;
    }
    let step = &state.job.spec.steps[first.step as usize];
    let (size, is_limited) = (demand(step), step.max_per_worker > 0);
    let known = groups.iter_mut().find(|g| {
        let is_alike = g.size == size && g.label == step.label;
        is_alike && !g.is_limited && !is_limited
    });
    if let Some(group) = known {
        group.count += count;
    } else if groups.len() < MAX_SIZES {
        groups.push(Group {
            first,
            size,
            label: step.label.clone(),
            is_limited,
            count,
        });
    }
}
