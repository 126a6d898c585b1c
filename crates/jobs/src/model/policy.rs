//! What the configuration says of a queue.

use std::sync::Arc;

/// A queue's policy.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// The service whose workers run its tasks.
    pub service: Arc<str>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job has failed.
    pub attempts: u32,
    /// Objective: this many times the longest chain of estimated times ...
    pub stretch: f64,
    /// ... and this much more, in milliseconds.
    pub latency: u64,
}
