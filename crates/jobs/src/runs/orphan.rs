//! Runs that are no longer wanted.

use crate::{model::ids::TaskId, runs::worker::Capacity};

/// A run on a worker that is not wanted there.
#[derive(Debug, Clone)]
pub(crate) struct Orphan {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// Resources that the run takes up.
    pub(crate) size: Capacity,
    /// When its stop was sent, while the answer is pending.
    pub(crate) sent_at: Option<u64>,
    /// When its stop was confirmed.
    pub(crate) stopped_at: Option<u64>,
    /// Earliest time of the next stop.
    pub(crate) retry_at: u64,
}
