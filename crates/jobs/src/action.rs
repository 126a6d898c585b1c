//! The actions that the scheduler returns.

use std::sync::Arc;

use crate::model::{
    ids::{JobId, TaskId},
    policy::QueuePolicy,
    spec::Spec,
};

/// The order to start a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// The job's spec, with the payload for the worker.
    pub spec: Arc<Spec>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub deadline: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Generation of the order.
    pub generation: u32,
}

/// Changes that are committed atomically.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// Records of jobs, which replace the previous ones.
    pub records: Vec<(JobId, Vec<u8>)>,
    /// Rows to append to the log.
    pub appended_rows: Vec<Vec<u8>>,
    /// Number of the log's oldest rows to delete.
    pub dropped_rows: usize,
    /// Policies of queues, which replace the previous ones.
    pub policies: Vec<QueuePolicy>,
    /// Queues whose policies to delete.
    pub dropped_queues: Vec<Arc<str>>,
}

impl Batch {
    /// Returns the number of changes to the stored policies of queues.
    pub(crate) fn queue_changes(&self) -> usize {
        self.policies.len() + self.dropped_queues.len()
    }

    /// Returns whether there is nothing to commit.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
            && self.appended_rows.is_empty()
            && self.dropped_rows == 0
            && self.queue_changes() == 0
    }
}

/// An action for the caller to carry out.
///
/// The orders to a worker carry a generation, which the caller sends as the lower part of the
/// fencing token, below the epoch of the lease. Once a worker has carried out an order, it refuses
/// all orders of lower generations, however late they arrive.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Poll a worker for its running and ended runs, and renew its lease.
    Poll {
        /// The worker.
        worker: u32,
        /// Generation of the order.
        generation: u32,
        /// The worker may drop ends up to this number.
        observed: u64,
        /// End of the lease on the worker's clock, in milliseconds; `None` leaves the lease
        /// unchanged.
        deadline: Option<u64>,
        /// Milliseconds that the worker may wait for a run to end before it reports.
        wait: u64,
    },
    /// Start a run.
    Start(u32, StartOrder),
    /// Stop a run.
    Stop {
        /// The worker.
        worker: u32,
        /// Generation of the order.
        generation: u32,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u32,
    },
    /// Set the pace of a run.
    Pace {
        /// The worker.
        worker: u32,
        /// Generation of the order.
        generation: u32,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Pace in percent of full speed.
        percent: u32,
    },
    /// Commit a batch atomically. At most one batch is in flight.
    Commit(Batch),
    /// Another owner has taken over, or the generations of a worker are used up: stop immediately.
    StepDown,
}

impl Action {
    /// Returns the generation of an order, or `None` if the action is no order.
    pub fn generation(&self) -> Option<u32> {
        match self {
            Action::Poll { generation, .. }
            | Action::Stop { generation, .. }
            | Action::Pace { generation, .. } => Some(*generation),
            Action::Start(_, order) => Some(order.generation),
            Action::Commit(_) | Action::StepDown => None,
        }
    }
}
