//! What must hold, as the workers see it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gorsespur_jobs::{Ending, Spec, StartOrder, TaskId, WorkerReport};

use super::{SimWorker, checkpoints::Checkpoints};

/// Watches starts and ends, and remembers what was wrong.
#[derive(Debug, Default)]
pub struct Checker {
    pub violations: Vec<String>,
    /// Tasks of which a run ended done.
    pub done: BTreeSet<TaskId>,
    /// Ends that a durable record counts.
    pub counted_done: BTreeMap<TaskId, u64>,
    pub counted_failed: BTreeMap<TaskId, u32>,
    /// Workers that a task crashed, and starts of it since three had crashed.
    pub crashed: BTreeMap<TaskId, (u32, u32)>,
    /// For each such crash, how many other runs it took with it.
    pub other_runs: Vec<usize>,
    /// Whether nothing is wrong with workers, so that an end that one lists counts as
    /// noted soon after, read or not.
    pub all_healthy: bool,
    pub checkpoints: Checkpoints,
    /// When the end of a task was first listed, for those that ended done.
    listed: BTreeMap<TaskId, u64>,
    /// The highest end of each life that an owner has read.
    last_read: BTreeMap<(Arc<str>, Option<u64>), u64>,
    /// Runs that a life was told never to begin.
    barred: BTreeSet<(TaskId, u32)>,
    /// The owner that read each life last, and when it first did.
    first_read: BTreeMap<(Arc<str>, Option<u64>), (u64, u64)>,
}

/// Time in which an owner has to read an end before it starts the task again.
const READ_MS: u64 = 100;

/// Time in which an owner has late starts barred in a life that it has heard, in milliseconds.
const BAR_MS: u64 = 2000;

/// Time in which it has runs stopped that they began before, in milliseconds.
const STOP_MS: u64 = 3000;

/// Room that has shrunk counts for this long, in milliseconds: time to hear of it.
const SHRINK_GRACE_MS: u64 = 4500;

/// A task is not started this often any more ...
const MAX_STARTS: u32 = 3;

/// ... after so many workers have crashed under it.
const CRASHES: u32 = 3;

impl Checker {
    /// A run began on a worker.
    pub fn check_start(&mut self, now: u64, task: TaskId, attempts: u32, spec: &Spec) {
        if self.counted_done.contains_key(&task) {
            self.violations
                .push(format!("{now}: {task} begins after it was done"));
        }
        if let Some((crashes, starts)) = self.crashed.get_mut(&task)
            && *crashes >= CRASHES
        {
            *starts += 1;
            if *starts == MAX_STARTS {
                self.violations.push(format!(
                    "{now}: {task} begins {MAX_STARTS} times after {CRASHES} crashes"
                ));
            }
        }
        let step = &spec.steps[task.step as usize];
        let failed = self.counted_failed.get(&task).copied().unwrap_or(0);
        if !step.long_running && failed >= attempts {
            self.violations
                .push(format!("{now}: {task} begins after {failed} failures"));
        }
        for &dep in &step.deps {
            for index in 0..spec.steps[dep as usize].count {
                let before = TaskId {
                    step: dep,
                    index,
                    ..task
                };
                if !self.done.contains(&before) {
                    self.violations
                        .push(format!("{now}: {task} begins before {before} is done"));
                }
            }
        }
    }

    /// A run began on a worker with a checkpoint of its task, or without any.
    pub fn check_checkpoint(&mut self, now: u64, order: &StartOrder) {
        if let Some(violation) = self.checkpoints.check_start(order) {
            self.violations.push(format!("{now}: {violation}"));
        }
    }

    /// A worker rejected the checkpoint that an order brings.
    pub fn record_rejected(&mut self, now: u64, order: &StartOrder) {
        if let Some(violation) = self.checkpoints.record_rejected(order) {
            self.violations.push(format!("{now}: {violation}"));
        }
    }

    /// A run began on a worker, which may not be over its room by that.
    pub fn check_capacity(&mut self, now: u64, worker: &SimWorker) {
        if worker.is_overcommitted(now, SHRINK_GRACE_MS) {
            let id = &worker.id;
            self.violations
                .push(format!("{now}: {id} holds more than it may"));
        }
    }

    /// A run began: where all is calm, not of a task that a worker lists as done.
    pub fn check_not_done(&mut self, now: u64, task: TaskId) {
        let listed = self.listed.get(&task);
        if self.all_healthy && listed.is_some_and(|at| now > at + READ_MS) {
            self.violations
                .push(format!("{now}: {task} begins though it is listed as done"));
        }
    }

    /// A worker crashed since this task began there, and with it so many other runs.
    pub fn record_crash(&mut self, task: TaskId, others: usize) {
        self.other_runs.push(others);
        self.crashed.entry(task).or_insert((0, 0)).0 += 1;
    }

    /// An owner has read a worker's answer.
    pub fn record_report(&mut self, now: u64, epoch: u64, id: Arc<str>, report: &WorkerReport) {
        let heard = self.first_read.entry((id.clone(), report.start_time));
        let heard = heard.or_insert((epoch, now));
        if heard.0 < epoch {
            *heard = (epoch, now);
        }
        let Some(last) = report.finished.last() else {
            return;
        };
        let highest = self.last_read.entry((id, report.start_time)).or_insert(0);
        *highest = last.number.max(*highest);
    }

    /// A life will not begin a run.
    pub fn record_bar(&mut self, task: TaskId, run: u32) {
        self.barred.insert((task, run));
    }

    /// Returns until when no owner can help what a late start begins: it had barred it in an
    /// earlier life, and did not know yet that this one has begun.
    pub fn exempt_until(
        &self,
        now: u64,
        epoch: u64,
        worker: &SimWorker,
        order: &StartOrder,
    ) -> u64 {
        if !self.barred.contains(&(order.task, order.run)) {
            return 0;
        }
        let heard = self.first_read.get(&(worker.id.clone(), worker.start_time));
        let known = heard.is_some_and(|(e, at)| *e == epoch && now > at + BAR_MS);
        match worker.start_time {
            Some(_) if !known => now + STOP_MS,
            _ => 0,
        }
    }

    /// A worker was told that it may forget ends up to a number; by a late order perhaps, which
    /// its sender may have meant for an earlier life.
    pub fn record_observed(&mut self, now: u64, worker: &SimWorker, number: u64, late: bool) {
        let read = self.last_read.get(&(worker.id.clone(), worker.start_time));
        let read = read.copied().unwrap_or(0);
        for end in worker.finished.iter().filter(|e| e.number <= number) {
            match end.ending {
                Ending::Done => {
                    if !late && end.number > read {
                        let (id, task) = (&worker.id, end.task);
                        self.violations
                            .push(format!("{now}: {id} forgets unread that {task} was done"));
                    }
                    self.counted_done.entry(end.task).or_insert(now);
                }
                Ending::Failed => *self.counted_failed.entry(end.task).or_insert(0) += 1,
                _ => {}
            }
        }
    }

    /// No task may run twice at once on workers that are alive.
    pub fn check(&mut self, now: u64, workers: &[SimWorker]) {
        let mut seen: BTreeMap<TaskId, &str> = BTreeMap::new();
        for end in workers.iter().flat_map(|w| &w.finished) {
            match end.ending {
                Ending::Done => {
                    self.done.insert(end.task);
                    self.listed.entry(end.task).or_insert(now);
                }
                Ending::Failed => self.checkpoints.record_failed(end.task, end.run),
                _ => {}
            }
        }
        for worker in workers.iter().filter(|w| w.alive) {
            for run in worker.runs.iter().filter(|r| r.exempt_until <= now) {
                if let Some(other) = seen.insert(run.task, &worker.id) {
                    let here = &worker.id;
                    self.violations
                        .push(format!("{now}: {} runs on {other} and {here}", run.task));
                }
            }
        }
    }
}
