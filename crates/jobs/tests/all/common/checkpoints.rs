//! Checkpoints that workers write and list, and what starts bring of them.

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
    /// The worker's life.
    pub incarnation: Arc<str>,
    /// Work that was done, in milliseconds.
    pub progress_ms: u64,
}

impl Checkpoint {
    /// The text that workers list for it: nothing but a name to whoever reads it, with signs
    /// that a codec may trip over.
    pub fn text(&self) -> Arc<str> {
        let mut hasher = DefaultHasher::new();
        let task = self.task.to_string();
        (task, self.run, &*self.incarnation, self.progress_ms).hash(&mut hasher);
        format!("{:08}\"\\é\n{:016x}", self.progress_ms, hasher.finish()).into()
    }
}

/// What starts brought, for tasks of which a checkpoint was listed before.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Resumed {
    /// Starts of such tasks.
    pub starts: u64,
    /// Those that bring none.
    pub without_checkpoint: u64,
    /// Those that bring less progress than was listed, or none.
    pub stale: u64,
    /// Work that these do again, in milliseconds, in all and at the most.
    pub redone_ms: u64,
    pub max_redone_ms: u64,
    /// Those that bring a checkpoint of a run that failed.
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

/// All checkpoints, and the tasks that they were listed for.
#[derive(Debug, Default)]
pub struct Checkpoints {
    written: BTreeMap<Arc<str>, Checkpoint>,
    /// For a gang under its first member.
    listed: BTreeMap<TaskId, BTreeSet<Arc<str>>>,
    /// What the first member of a gang brought that began under a number.
    gangs: BTreeMap<(TaskId, u32), Arc<str>>,
    /// Runs that failed.
    failed: BTreeSet<(TaskId, u32)>,
    pub resumed: Resumed,
    /// What workers rejected, as it came.
    pub rejected: Vec<(TaskId, Arc<str>)>,
}

impl Checkpoints {
    /// A worker wrote this.
    pub fn record_written(&mut self, checkpoint: Checkpoint) {
        match self.written.entry(checkpoint.text()) {
            Entry::Vacant(entry) => {
                entry.insert(checkpoint);
            }
            Entry::Occupied(entry) => assert_eq!(*entry.get(), checkpoint, "texts are unique"),
        }
    }

    /// The work that had been done at a checkpoint, in milliseconds.
    pub fn progress(&self, text: &str) -> u64 {
        self.written.get(text).map_or(0, |c| c.progress_ms)
    }

    /// Tells whether an order brings none, or one that was written for its task or gang.
    pub fn is_valid_for(&self, order: &StartOrder) -> bool {
        let gang = order.spec.steps[order.task.step as usize].gang;
        let made = self.written.get(&order.checkpoint);
        let own = made.is_some_and(|c| group_key(c.task, gang) == group_key(order.task, gang));
        order.checkpoint.is_empty() || own
    }

    /// A worker rejected what an order brings; returns what is wrong if it did so before.
    pub fn record_rejected(&mut self, order: &StartOrder) -> Option<String> {
        self.rejected.push((order.task, order.checkpoint.clone()));
        let (task, saved) = (order.task, &order.checkpoint);
        let before = &self.rejected[..self.rejected.len() - 1];
        let again = before.iter().any(|(t, s)| *t == task && s == saved);
        again.then(|| format!("{task} brings {saved} again, which was rejected"))
    }

    /// A run ended failed.
    pub fn record_failed(&mut self, task: TaskId, run: u32) {
        self.failed.insert((task, run));
    }

    /// A worker sent this answer; `gang` tells whether a task belongs to one.
    pub fn record_listed(&mut self, report: &WorkerReport, gang: impl Fn(TaskId) -> bool) {
        let running = report.running.iter().map(|r| (r.task, &r.checkpoint));
        let finished = report.finished.iter().map(|e| (e.task, &e.checkpoint));
        for (task, text) in running.chain(finished) {
            if text.is_empty() {
                continue;
            }
            let holder = group_key(task, gang(task));
            self.listed.entry(holder).or_default().insert(text.clone());
        }
    }

    /// A worker began what this order says; returns what is wrong with what it brings.
    pub fn check_start(&mut self, order: &StartOrder) -> Option<String> {
        let (task, run, saved) = (order.task, order.run, &order.checkpoint);
        let gang = order.spec.steps[task.step as usize].gang;
        let holder = group_key(task, gang);
        let listed = self.listed.get(&holder);
        let texts = || listed.into_iter().flatten();
        if !saved.is_empty() && !texts().any(|t| t == saved) {
            let made = self.written.get(saved);
            return Some(format!(
                "{task} run {run} begins with {saved}, which was never listed for it ({made:?})"
            ));
        }
        let most = texts().map(|t| self.progress(t)).max();
        if let Some(most) = most {
            self.count_start(saved, most);
        }
        if gang {
            let first = self.gangs.entry((holder, run));
            let first = first.or_insert_with(|| saved.clone());
            if first != saved {
                return Some(format!(
                    "{task} run {run} begins with {saved:?}, another member with {first:?}"
                ));
            }
        }
        None
    }

    /// A task begins of which checkpoints were listed, with this much progress at the most.
    fn count_start(&mut self, saved: &str, most: u64) {
        let again = most.saturating_sub(self.progress(saved));
        let made = self.written.get(saved);
        let failed = made.is_some_and(|c| self.failed.contains(&(c.task, c.run)));
        let brought = &mut self.resumed;
        brought.starts += 1;
        brought.without_checkpoint += u64::from(saved.is_empty());
        brought.stale += u64::from(again > 0);
        brought.redone_ms += again;
        brought.max_redone_ms = brought.max_redone_ms.max(again);
        brought.failed += u64::from(failed);
    }
}

/// The task that stands for all whose checkpoints are as good: the first member of its gang.
fn group_key(task: TaskId, gang: bool) -> TaskId {
    match gang {
        true => TaskId { index: 0, ..task },
        false => task,
    }
}
