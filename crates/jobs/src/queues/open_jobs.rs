//! The open jobs of each queue, and what operators see of removed queues that have any.
//!
//! Limits: jobs are counted once a second.

use std::sync::Arc;

use super::{Queue, Queues};

/// Maximum number of queues that are logged each time; the others follow.
const MAX_LOG_LINES: usize = 8;

/// Open jobs of one queue.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OpenJobs {
    pub(super) count: u64,
    /// When the oldest one was accepted, in milliseconds since the Unix epoch.
    oldest: u64,
}

impl OpenJobs {
    fn add(&mut self, accepted: u64) {
        self.oldest = match self.count {
            0 => accepted,
            _ => self.oldest.min(accepted),
        };
        self.count += 1;
    }
}

/// A queue without a known policy that has open jobs.
#[derive(Debug)]
pub(super) struct UnknownQueue {
    queue: Arc<str>,
    jobs: OpenJobs,
    /// Whether it was logged.
    is_logged: bool,
}

/// Open jobs of a queue that the configuration in force does not have, as gauges for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedQueue {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Number of its open jobs.
    pub jobs: u64,
    /// Time since the oldest of them was accepted, in milliseconds.
    pub oldest_ms: u64,
    /// Whether its policy is known. If not, none of its tasks is started.
    pub has_policy: bool,
}

impl Queue {
    /// Returns whether the queue was removed and has open jobs.
    pub(super) fn is_orphaned(&self) -> bool {
        !self.is_configured && self.jobs.count > 0
    }
}

impl Queues {
    /// Begins a new count.
    pub(super) fn clear_jobs(&mut self) {
        for queue in &mut self.rows {
            queue.jobs = OpenJobs::default();
        }
        for queue in &mut self.unknown {
            queue.jobs = OpenJobs::default();
        }
    }

    /// Counts an open job.
    pub(super) fn add_job(&mut self, queue: &Arc<str>, accepted: u64) {
        let jobs = match self.position(queue) {
            Some(at) => &mut self.rows[at].jobs,
            None => self.unknown_jobs(queue),
        };
        jobs.add(accepted);
    }

    /// Returns the open jobs of a queue without a known policy.
    fn unknown_jobs(&mut self, queue: &Arc<str>) -> &mut OpenJobs {
        let found = self.unknown.binary_search_by(|q| q.queue.cmp(queue));
        let at = found.unwrap_or_else(|at| {
            let added = UnknownQueue {
                queue: queue.clone(),
                jobs: OpenJobs::default(),
                is_logged: false,
            };
            self.unknown.insert(at, added);
            at
        });
        &mut self.unknown[at].jobs
    }

    /// Drops the removed queues without open jobs once their policies are no longer stored.
    pub(super) fn drop_unused(&mut self) {
        self.rows.retain(|queue| {
            let is_kept = queue.is_configured || queue.is_orphaned() || queue.stored.is_some();
            if !is_kept && queue.is_logged {
                log::info!(queue = &*queue.policy.queue; "queue: the last job of a removed queue is over");
            }
            is_kept
        });
        self.unknown.retain(|q| q.jobs.count > 0);
    }

    /// Logs the queues with open jobs that are not configured.
    pub(super) fn log_removed(&mut self, wall_clock: u64) {
        let unknown = self.unknown.iter_mut().filter(|q| !q.is_logged);
        for queue in unknown.take(MAX_LOG_LINES) {
            queue.is_logged = true;
            let oldest_ms = wall_clock.saturating_sub(queue.jobs.oldest);
            log::warn!(queue = &*queue.queue, jobs = queue.jobs.count, oldest_ms; "queue: removed with open jobs, its policy is unknown");
        }
        let orphaned = self.rows.iter_mut().filter(|q| q.is_orphaned());
        for queue in orphaned.filter(|q| !q.is_logged).take(MAX_LOG_LINES) {
            queue.is_logged = true;
            let (policy, jobs) = (&queue.policy, queue.jobs);
            log::info!(
                queue = &*policy.queue, jobs = jobs.count,
                oldest_ms = wall_clock.saturating_sub(jobs.oldest), service = &*policy.service,
                priority = policy.priority, attempts = policy.attempts, version = policy.version;
                "queue: removed with open jobs"
            );
        }
    }

    /// Returns the queues with open jobs that the configuration in force does not have.
    pub(super) fn removed(&self, wall_clock: u64) -> Vec<RemovedQueue> {
        let row = |queue: &Arc<str>, jobs: OpenJobs, has_policy| RemovedQueue {
            queue: queue.clone(),
            jobs: jobs.count,
            oldest_ms: wall_clock.saturating_sub(jobs.oldest),
            has_policy,
        };
        let known = self.rows.iter().filter(|q| q.is_orphaned());
        let known = known.map(|q| row(&q.policy.queue, q.jobs, true));
        let unknown = self.unknown.iter().map(|q| row(&q.queue, q.jobs, false));
        known.chain(unknown).collect()
    }
}
