//! What the machine wants done.

use std::sync::Arc;

use crate::model::{
    ids::{JobId, TaskId},
    spec::Spec,
};

/// A start of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Text for the worker.
    pub spec: Arc<Spec>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub deadline: u64,
    /// Progress to go on from; empty for none.
    pub checkpoint: Arc<str>,
}

/// What is made durable together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records of jobs, in place of those that were written before.
    pub records: Vec<(JobId, Vec<u8>)>,
    /// Rows that are appended to the log.
    pub appended_rows: Vec<Vec<u8>>,
    /// How many of the log's oldest rows are dropped.
    pub dropped_rows: usize,
}

impl Batch {
    /// Tells whether there is nothing to be made durable.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.appended_rows.is_empty() && self.dropped_rows == 0
    }
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask a worker what runs and what ended, and renew its lease.
    Poll {
        /// The worker.
        worker: u32,
        /// Ends up to this number may be dropped.
        observed: u64,
        /// End of the lease on the worker's clock; none leaves it as it is.
        deadline: Option<u64>,
        /// Milliseconds that the worker may wait for an end.
        wait: u64,
    },
    /// Start a run.
    Start(u32, StartOrder),
    /// Stop a run.
    Stop {
        /// The worker.
        worker: u32,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u32,
    },
    /// Let a run work at a share of its pace.
    Pace {
        /// The worker.
        worker: u32,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Share in percent.
        percent: u32,
    },
    /// Make a batch durable, all of it or none; one at a time.
    Commit(Batch),
    /// Another owner has taken over: stop at once.
    StepDown,
}
