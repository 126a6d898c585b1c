//! Open requests and their order in the queue.

use crate::{Millis, template::Priority};

/// An open request on this entry instance, queued or in flight.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub req: u64,
    pub service: usize,
    pub priority: Priority,
    pub deadline: Millis,
    pub repeatable: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Attempts in flight: their numbers and workers.
    pub in_flight: Vec<(u32, crate::name::Name)>,
    /// Workers on which an attempt of the request failed.
    pub failed_on: Vec<crate::name::Name>,
    /// Whether an attempt ended without proof that it did not run.
    pub may_have_run: bool,
}

/// Position of a queued request; the order of the fields is the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueEntry {
    pub priority: Priority,
    pub deadline: Millis,
    pub req: u64,
}
