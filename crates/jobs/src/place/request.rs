//! A request for a worker.

use std::sync::Arc;

use crate::{
    model::{ids::TaskId, spec::Step},
    share::sample::Image,
};

/// A request for a worker for one task of a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    /// The first task of the step, which identifies the step.
    pub(crate) first_task: TaskId,
    /// The step.
    pub(crate) step: &'a Step,
    /// The image that the step's tasks run.
    pub(crate) image: Image,
    /// The service whose workers run the step.
    pub(crate) service: &'a Arc<str>,
    /// The worker on which the task failed recently.
    pub(crate) failed_worker: Option<u32>,
    /// Whether the job is starved, so that the task may exceed the CPU share of
    /// best-effort tasks.
    pub(crate) starved: bool,
    /// Which lent capacity the task may take.
    pub(crate) access: LoanAccess,
    /// Whether the tasks are long-running and users are about to count one as lost, so that
    /// workers that are reserved for other long-running tasks may take them.
    pub(crate) nearly_lost: bool,
}

/// Which lent capacity a task may take, from the least on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LoanAccess {
    /// None: a long-running task that waits for its first run, or has not waited for long.
    Denied,
    /// What it lent itself, now that it returns.
    Own,
    /// All: a short task that leaves in time, or a long-running one that lost its run.
    Full,
}
