//! Requests that wait for a target.

use crate::{Millis, template::Priority};

/// A request under way or waiting on this entry.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub req: u64,
    pub service: usize,
    pub priority: Priority,
    pub deadline: Millis,
    pub repeatable: bool,
    /// Tries so far.
    pub attempts: u32,
    /// Workers of the tries under way, by number of the try.
    pub in_flight: Vec<(u32, crate::name::Name)>,
    /// Workers that failed it.
    pub failed_on: Vec<crate::name::Name>,
    /// Whether a try ended without proof that it did not run.
    pub may_have_run: bool,
}

/// Order in which waiting requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueEntry {
    pub priority: Priority,
    pub deadline: Millis,
    pub req: u64,
}
