//! The configuration written by operators.

use std::sync::Arc;

use gorsespur_jobs::QueuePolicy;

/// A queue and the requests that belong to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Policy.
    pub policy: QueuePolicy,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Prefix of the requests' paths.
    pub prefix: Arc<str>,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontLimits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
}

/// The whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version; only increases.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Limits on callers' requests.
    pub limits: FrontLimits,
}

impl Config {
    /// Returns the queue of a request: of those on its host, the one with the longest matching
    /// prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let fit = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix);
        self.queues
            .iter()
            .filter(fit)
            .max_by_key(|q| q.prefix.len())
    }

    /// Returns the queues' policies, sorted by name.
    pub fn policies(&self) -> Vec<QueuePolicy> {
        let mut out: Vec<_> = self.queues.iter().map(|q| q.policy.clone()).collect();
        out.sort_by(|a, b| a.queue.cmp(&b.queue));
        out
    }
}
