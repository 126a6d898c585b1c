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
}
