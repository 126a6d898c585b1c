//! The configured policy of a queue.

use std::sync::Arc;

/// The policy of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// The service whose workers run its tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Factor of the objective for the time of a job, which is `stretch` times the critical
    /// path of its estimates plus `latency`.
    pub stretch: f64,
    /// Constant part of the objective, in milliseconds.
    pub latency: u64,
}

impl QueuePolicy {
    /// Returns the objective for a job with a critical path of `path` milliseconds.
    pub(crate) fn objective_ms(&self, path: u64) -> u64 {
        (path as f64 * self.stretch) as u64 + self.latency
    }
}
