//! The configuration that operators write.

use std::sync::Arc;

use gorsespur_jobs::QueuePolicy;

/// A queue and how requests find it.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its policy.
    pub policy: QueuePolicy,
    /// Host of its requests.
    pub host: Arc<str>,
    /// First part of their paths.
    pub prefix: Arc<str>,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontLimits {
    /// Bytes of a head.
    pub head: usize,
    /// Bytes of a body.
    pub body: usize,
}

/// The configuration, whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its version; it only grows.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Limits on callers' requests.
    pub limits: FrontLimits,
}

impl Config {
    /// Returns the queue of a request: the longest prefix of its path on its host.
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
