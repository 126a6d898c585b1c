//! Checkpoints that workers write and report, and those that starts bring.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    hash::{DefaultHasher, Hash, Hasher},
    ops::AddAssign,
    sync::Arc,
};

use gorsespur_jobs::{StartOrder, TaskId, WorkerReport};

/// A checkpoint that a worker wrote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checkpoint {
    pub task: TaskId,
    pub run: u32,
    /// Name and start time of the incarnation of the worker.
    pub incarnation: Arc<str>,
    /// Work that was done at the checkpoint, in milliseconds.
    pub progress_ms: u64,
}

impl Checkpoint {
    /// Returns the text that workers report for the checkpoint. It is opaque to its readers and
    /// has characters that codecs may mishandle.
    pub fn text(&self) -> Arc<str> {
        let mut hasher = DefaultHasher::new();
        let task = self.task.to_string();
        (task, self.run, &*self.incarnation, self.progress_ms).hash(&mut hasher);
        format!("{:08}\"\\é\n{:016x}", self.progress_ms, hasher.finish()).into()
    }
}

/// Starts of tasks for which a checkpoint had been reported before.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Resumed {
    /// Number of such starts.
    pub starts: u64,
    /// Starts without a checkpoint.
    pub without_checkpoint: u64,
    /// Starts with less progress than was reported, or without a checkpoint.
    pub stale: u64,
    /// Work that these starts repeat, in milliseconds: the sum and the maximum.
    pub redone_ms: u64,
    pub max_redone_ms: u64,
    /// Starts with a checkpoint of a run that failed.
    pub failed: u64,
}

impl AddAssign for Resumed {
    fn add_assign(&mut self, other: Resumed) {
        self.starts += other.starts;
        self.without_checkpoint += other.without_checkpoint;
        self.stale += other.stale;
        self.redone_ms += other.redone_ms;
        self.max_redone_ms = self.max_redone_ms.max(other.max_redone_ms);
        self.failed += other.failed;
    }
}

/// All checkpoints, and the tasks for which they were reported.
#[derive(Debug, Default)]
pub struct Checkpoints {
    written: BTreeMap<Arc<str>, Checkpoint>,
    /// The reported checkpoints of each task; those of a gang are kept under its first member.
    reported: BTreeMap<TaskId, BTreeSet<Arc<str>>>,
    /// The checkpoint with which the first member of a gang started, by run number.
    gangs: BTreeMap<(TaskId, u32), Arc<str>>,
    /// Runs that failed.
    failed: BTreeSet<(TaskId, u32)>,
    pub resumed: Resumed,
    /// Checkpoints that workers rejected, in order.
    pub rejected: Vec<(TaskId, Arc<str>)>,
}

impl Checkpoints {
    /// Records a checkpoint that a worker wrote.
    pub fn record_written(&mut self, checkpoint: Checkpoint) {
        match self.written.entry(checkpoint.text()) {
            Entry::Vacant(entry) => {
                entry.insert(checkpoint);
            }
            Entry::Occupied(entry) => assert_eq!(*entry.get(), checkpoint, "texts are unique"),
        }
    }

    /// Returns the work at a checkpoint, in milliseconds.
    pub fn progress(&self, text: &str) -> u64 {
        self.written.get(text).map_or(0, |c| c.progress_ms)
    }

    /// Returns whether an order has no checkpoint, or one that was written by its task or gang.
    pub fn is_valid_for(&self, order: &StartOrder) -> bool {
        let gang = order.spec.steps[order.task.step as usize].gang;
        let written = self.written.get(&order.checkpoint);
        let is_own =
            written.is_some_and(|c| group_key(c.task, gang) == group_key(order.task, gang));
        order.checkpoint.is_empty() || is_own
    }

    /// Records that a worker rejected an order's checkpoint. Returns a violation if the task's
    /// start with this checkpoint was rejected before.
    pub fn record_rejected(&mut self, order: &StartOrder) -> Option<String> {
        self.rejected.push((order.task, order.checkpoint.clone()));
        let (task, saved) = (order.task, &order.checkpoint);
        let before = &self.rejected[..self.rejected.len() - 1];
        let repeated = before.iter().any(|(t, s)| *t == task && s == saved);
        repeated.then(|| format!("{task} starts again with {saved}, which was rejected"))
    }

    /// Records that a run failed.
    pub fn record_failed(&mut self, task: TaskId, run: u32) {
        self.failed.insert((task, run));
    }

    /// Records the checkpoints of a report; `gang` returns whether a task belongs to a gang.
    pub fn record_report(&mut self, report: &WorkerReport, gang: impl Fn(TaskId) -> bool) {
        let running = report.running.iter().map(|r| (r.task, &r.checkpoint));
        let finished = report.finished.iter().map(|e| (e.task, &e.checkpoint));
        for (task, text) in running.chain(finished) {
            if text.is_empty() {
                continue;
            }
            let key = group_key(task, gang(task));
            self.reported.entry(key).or_default().insert(text.clone());
        }
    }

    /// Checks the checkpoint of an order that a worker carried out. Returns the violation, if any.
    pub fn check_start(&mut self, order: &StartOrder) -> Option<String> {
        let (task, run, saved) = (order.task, order.run, &order.checkpoint);
        let gang = order.spec.steps[task.step as usize].gang;
        let key = group_key(task, gang);
        let reported = self.reported.get(&key);
        let texts = || reported.into_iter().flatten();
        if !saved.is_empty() && !texts().any(|t| t == saved) {
            let written = self.written.get(saved);
            return Some(format!(
                "{task} run {run} starts with {saved}, which was never reported for it ({written:?})"
            ));
        }
        let most = texts().map(|t| self.progress(t)).max();
        if let Some(most) = most {
            self.count_start(saved, most);
        }
        if gang {
            let first = self.gangs.entry((key, run));
            let first = first.or_insert_with(|| saved.clone());
            if first != saved {
                return Some(format!(
                    "{task} run {run} starts with {saved:?}, another member with {first:?}"
                ));
            }
        }
        None
    }

    /// Counts a start of a task whose reported checkpoints have at most this much progress.
    fn count_start(&mut self, saved: &str, most: u64) {
        let repeated = most.saturating_sub(self.progress(saved));
        let written = self.written.get(saved);
        let failed = written.is_some_and(|c| self.failed.contains(&(c.task, c.run)));
        let resumed = &mut self.resumed;
        resumed.starts += 1;
        resumed.without_checkpoint += u64::from(saved.is_empty());
        resumed.stale += u64::from(repeated > 0);
        resumed.redone_ms += repeated;
        resumed.max_redone_ms = resumed.max_redone_ms.max(repeated);
        resumed.failed += u64::from(failed);
    }
}

/// Returns the task under which checkpoints are kept: the first member for a gang.
fn group_key(task: TaskId, gang: bool) -> TaskId {
    match gang {
        true => TaskId { index: 0, ..task },
        false => task,
    }
}
