//! What placement is asked for.

use std::sync::Arc;

use crate::{
    model::{ids::TaskId, spec::Step},
    share::sample::Image,
};

/// A task that asks for a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    /// Its step's first task.
    pub(crate) first_task: TaskId,
    /// The step.
    pub(crate) step: &'a Step,
    /// What its tasks run.
    pub(crate) image: Image,
    /// The service whose workers run it.
    pub(crate) service: &'a Arc<str>,
    /// The worker that it failed on of late.
    pub(crate) failed_worker: Option<u32>,
    /// Whether its job has waited for long with nothing at work.
    pub(crate) starved: bool,
}
