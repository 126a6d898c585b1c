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
    pub saved: Arc<str>,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask a worker what runs and what ended, and renew its lease.
    Look {
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
    /// Make records durable, all or none; one batch at a time.
    Commit(Vec<(JobId, Vec<u8>)>),
    /// Another owner has taken over: stop at once.
    Depose,
}
