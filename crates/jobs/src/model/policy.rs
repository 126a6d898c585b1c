//! The configured policy of a queue.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The policy of a queue. Encoded as an array, to save bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Version of the configuration that the policy is from.
    pub version: u64,
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
    /// Returns whether the policies are the same but for the versions that they are from.
    pub(crate) fn has_same_terms(&self, other: &QueuePolicy) -> bool {
        let version = other.version;
        QueuePolicy {
            version,
            ..self.clone()
        } == *other
    }
}
