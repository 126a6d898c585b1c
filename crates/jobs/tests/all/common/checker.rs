//! Checks of the scheduler's guarantees, as observed at the workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gorsespur_jobs::{Ending, Spec, StartOrder, TaskId, WorkerReport};

use super::{SimWorker, checkpoints::Checkpoints};

/// Observes starts and ends of runs, and collects violations.
#[derive(Debug, Default)]
pub struct Checker {
    pub violations: Vec<String>,
    /// Tasks of which a run ended done.
    pub done: BTreeSet<TaskId>,
    /// When an owner confirmed that it observed that the task was done.
    pub counted_done: BTreeMap<TaskId, u64>,
    pub counted_failed: BTreeMap<TaskId, u32>,
    /// Number of workers that a task crashed, and of its starts since three had crashed.
    pub crashed: BTreeMap<TaskId, (u32, u32)>,
    /// The number of other runs that were lost in each such crash.
    pub other_runs: Vec<usize>,
    /// Whether the test has no faulty workers, so that a reported end counts as observed soon
    /// after, whether an owner has read it or not.
    pub all_healthy: bool,
    pub checkpoints: Checkpoints,
    /// When a task was first reported as done.
    reported_done: BTreeMap<TaskId, u64>,
    /// The highest number of an end that an owner has read from each incarnation.
    last_read: BTreeMap<(Arc<str>, Option<u64>), u64>,
    /// Runs that some incarnation was ordered never to start.
    blocked_runs: BTreeSet<(TaskId, u32)>,
    /// The highest fencing token of a poll that each incarnation has answered.
    fences: BTreeMap<(Arc<str>, Option<u64>), u64>,
    /// The epoch of the last owner that read a report of each incarnation, and when it first did
    /// so.
    first_read: BTreeMap<(Arc<str>, Option<u64>), (u64, u64)>,
}

/// Time within which an owner has to read the end of a task, in milliseconds.
const READ_MS: u64 = 100;

/// Time within which an owner blocks late starts in an incarnation that has reported to it, in
/// milliseconds.
const BAR_MS: u64 = 2000;

/// Time within which an owner stops runs of late starts that came before the block, in
/// milliseconds.
const STOP_MS: u64 = 3000;

/// Time for which capacity that was taken away still counts, in milliseconds: an owner needs time
/// to read the change.
const SHRINK_GRACE_MS: u64 = 4500;

/// Starts after [`CRASHES`] crashes that are a violation.
const MAX_STARTS: u32 = 3;

/// Crashed workers after which the starts of a task are limited.
const CRASHES: u32 = 3;

impl Checker {
    /// Checks a start against the task's earlier ends, crashes and dependencies.
    pub fn check_start(&mut self, now: u64, task: TaskId, attempts: u32, spec: &Spec) {
        if self.counted_done.contains_key(&task) {
            self.violations
                .push(format!("{now}: {task} starts after it was done"));
        }
        if let Some((crashes, starts)) = self.crashed.get_mut(&task)
            && *crashes >= CRASHES
        {
            *starts += 1;
            if *starts == MAX_STARTS {
                self.violations.push(format!(
                    "{now}: {task} starts {MAX_STARTS} times after {CRASHES} crashes"
                ));
            }
        }
        let step = &spec.steps[task.step as usize];
        let failed = self.counted_failed.get(&task).copied().unwrap_or(0);
        if !step.long_running && failed >= attempts {
            self.violations
                .push(format!("{now}: {task} starts after {failed} failures"));
        }
        for &dep in &step.deps {
            let before = &spec.steps[dep as usize];
            let mut members = (0..before.count).map(|index| TaskId {
                step: dep,
                index,
                ..task
            });
            // One end of a gang stands for all its members.
            let missing = match before.gang {
                true => !members.any(|m| self.done.contains(&m)),
                false => !members.all(|m| self.done.contains(&m)),
            };
            if missing {
                self.violations
                    .push(format!("{now}: {task} starts before step {dep} is done"));
            }
        }
    }

    /// Checks the checkpoint of a start.
    pub fn check_checkpoint(&mut self, now: u64, order: &StartOrder) {
        if let Some(violation) = self.checkpoints.check_start(order) {
            self.violations.push(format!("{now}: {violation}"));
        }
    }

    /// Records that a worker rejected the checkpoint of an order.
    pub fn record_rejected(&mut self, now: u64, order: &StartOrder) {
        if let Some(violation) = self.checkpoints.record_rejected(order) {
            self.violations.push(format!("{now}: {violation}"));
        }
    }

    /// Checks that a start does not exceed the capacity of its worker.
    pub fn check_capacity(&mut self, now: u64, worker: &SimWorker) {
        if worker.is_overcommitted(now, SHRINK_GRACE_MS) {
            let id = &worker.id;
            self.violations
                .push(format!("{now}: {id} exceeds its capacity"));
        }
    }

    /// Checks that a task is not started after a worker reported it as done, if all workers are
    /// healthy.
    pub fn check_not_done(&mut self, now: u64, task: TaskId) {
        let reported_at = self.reported_done.get(&task);
        if self.all_healthy && reported_at.is_some_and(|at| now > at + READ_MS) {
            self.violations.push(format!(
                "{now}: {task} starts although it was reported as done"
            ));
        }
    }

    /// Records that a task crashed its worker, and the number of other runs that were lost by it.
    pub fn record_crash(&mut self, task: TaskId, other_runs: usize) {
        self.other_runs.push(other_runs);
        self.crashed.entry(task).or_insert((0, 0)).0 += 1;
    }

    /// Records that an owner has read a worker's report.
    pub fn record_report(&mut self, now: u64, epoch: u64, id: Arc<str>, report: &WorkerReport) {
        let first_read = self.first_read.entry((id.clone(), report.start_time));
        let first_read = first_read.or_insert((epoch, now));
        if first_read.0 < epoch {
            *first_read = (epoch, now);
        }
        let Some(last) = report.finished.last() else {
            return;
        };
        let highest = self.last_read.entry((id, report.start_time)).or_insert(0);
        *highest = last.number.max(*highest);
    }

    /// Records that an incarnation never starts a run any more.
    pub fn record_bar(&mut self, task: TaskId, run: u32) {
        self.blocked_runs.insert((task, run));
    }

    /// Records that an owner has read a report to a poll with a fencing token: the incarnation
    /// refuses all orders with lower ones.
    pub fn record_fence(&mut self, id: Arc<str>, start_time: Option<u64>, fence: u64) {
        let highest = self.fences.entry((id, start_time)).or_insert(0);
        *highest = fence.max(*highest);
    }

    /// Returns whether an order with a fencing token can't be carried out any more by an earlier
    /// incarnation of a worker.
    fn is_fenced_off(&self, worker: &SimWorker, fence: u64) -> bool {
        let mut others = self
            .fences
            .iter()
            .filter(|((id, start_time), _)| *id == worker.id && *start_time != worker.start_time);
        others.any(|(_, highest)| *highest > fence)
    }

    /// Returns the time until which the run of a late start with a fencing token may overlap other
    /// runs, or 0. No owner can prevent a late start that it had blocked or fenced off in an
    /// earlier incarnation if it has not read of the new one yet.
    pub fn exempt_until(
        &self,
        now: u64,
        epoch: u64,
        worker: &SimWorker,
        (fence, order): (u64, &StartOrder),
    ) -> u64 {
        let is_blocked = self.blocked_runs.contains(&(order.task, order.run));
        if !is_blocked && !self.is_fenced_off(worker, fence) {
            return 0;
        }
        let first_read = self.first_read.get(&(worker.id.clone(), worker.start_time));
        let known = first_read.is_some_and(|(e, at)| *e == epoch && now > at + BAR_MS);
        match worker.start_time {
            Some(_) if !known => now + STOP_MS,
            _ => 0,
        }
    }

    /// Records that a worker may drop ends up to a number. No owner may have let it drop an end
    /// that none has read, not even by an order that was meant for an earlier incarnation.
    pub fn record_observed(&mut self, now: u64, worker: &SimWorker, number: u64) {
        let read = self.last_read.get(&(worker.id.clone(), worker.start_time));
        let read = read.copied().unwrap_or(0);
        for end in worker.finished.iter().filter(|e| e.number <= number) {
            if end.number > read {
                let (id, task) = (&worker.id, end.task);
                self.violations
                    .push(format!("{now}: {id} drops the unread end of {task}"));
            }
            match end.ending {
                Ending::Done => {
                    self.counted_done.entry(end.task).or_insert(now);
                }
                Ending::Failed => *self.counted_failed.entry(end.task).or_insert(0) += 1,
                _ => {}
            }
        }
    }

    /// Checks that no task has two runs at a time on workers that are alive.
    pub fn check(&mut self, now: u64, workers: &[SimWorker]) {
        let mut seen: BTreeMap<TaskId, &str> = BTreeMap::new();
        for end in workers.iter().flat_map(|w| &w.finished) {
            match end.ending {
                Ending::Done => {
                    self.done.insert(end.task);
                    self.reported_done.entry(end.task).or_insert(now);
                }
                Ending::Failed => self.checkpoints.record_failed(end.task, end.run),
                _ => {}
            }
        }
        for worker in workers.iter().filter(|w| w.alive) {
            for run in worker.runs.iter().filter(|r| r.exempt_until <= now) {
                if let Some(other) = seen.insert(run.task, &worker.id) {
                    let id = &worker.id;
                    self.violations
                        .push(format!("{now}: {} runs on both {other} and {id}", run.task));
                }
            }
        }
    }
}
