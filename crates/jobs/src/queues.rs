//! The policies of the queues.
//!
//! An accepted job has to be carried out even if its queue is removed from the configuration, and
//! the queue's policy says where and how often. So the newest known policy of a removed queue holds
//! until the queue has no open jobs. It comes from the configurations that this owner has seen, and
//! from the rows of accepted jobs, which hold the policy under which each job was accepted: an owner
//! that took over later, or that is ahead of the instance that accepted a job, never saw the queue.
//! The owner also stores the policy of each queue with open jobs, for what the rows of jobs lack:
//! changes since the acceptance, and any policy if an earlier version wrote the row.
//!
//! Limits: a change is stored with the next count of the jobs, a second later at most.

use std::sync::Arc;

use crate::{action::Batch, model::policy::QueuePolicy, scheduler::Scheduler};

/// Period of counting the open jobs of all queues, in milliseconds.
const COUNT_PERIOD_MS: u64 = 1000;

/// Maximum number of queues that are logged each time; the others follow.
const MAX_LOG_LINES: usize = 8;

/// Open jobs of one queue.
#[derive(Debug, Clone, Copy, Default)]
struct OpenJobs {
    count: u64,
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

/// What has to be done with the stored policy of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreChange {
    None,
    Write,
    Delete,
}

/// A queue with a known policy.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) policy: QueuePolicy,
    /// Whether the configuration in force has the queue.
    pub(crate) is_configured: bool,
    jobs: OpenJobs,
    /// The stored policy, or the one of a batch in flight.
    stored: Option<QueuePolicy>,
    /// Whether its removal was logged.
    is_logged: bool,
}

impl Queue {
    fn new(policy: QueuePolicy, is_configured: bool) -> Queue {
        Queue {
            policy,
            is_configured,
            jobs: OpenJobs::default(),
            stored: None,
            is_logged: false,
        }
    }

    /// Returns whether the queue was removed and has open jobs.
    fn is_orphaned(&self) -> bool {
        !self.is_configured && self.jobs.count > 0
    }

    /// Returns what has to be done with the stored policy. That of a configured queue without open
    /// jobs is left as it is, since jobs come and go.
    fn store_change(&self) -> StoreChange {
        let stored = self.stored.as_ref();
        match self.jobs.count {
            0 if self.is_configured || stored.is_none() => StoreChange::None,
            0 => StoreChange::Delete,
            _ if stored.is_some_and(|s| s.has_same_terms(&self.policy)) => StoreChange::None,
            _ => StoreChange::Write,
        }
    }
}

/// A queue without a known policy that has open jobs.
#[derive(Debug)]
struct UnknownQueue {
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

/// All queues with a known policy.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    /// Sorted by name.
    rows: Vec<Queue>,
    /// Other queues, sorted by name.
    unknown: Vec<UnknownQueue>,
    /// When the open jobs were last counted, in milliseconds.
    counted_at: u64,
    /// Whether a stored policy has to be changed, as of the last count.
    has_changes: bool,
}

impl Queues {
    /// Returns the position of a queue in [`Queues::iter`].
    pub(crate) fn position(&self, queue: &str) -> Option<usize> {
        let at = self.rows.binary_search_by(|q| (*q.policy.queue).cmp(queue));
        at.ok()
    }

    /// Returns the policy that holds for the jobs of a queue, if it is known.
    pub(crate) fn policy(&self, queue: &str) -> Option<&QueuePolicy> {
        self.position(queue).map(|at| self.policy_at(at))
    }

    /// Returns the policy of the queue at a position that [`Queues::position`] returned.
    pub(crate) fn policy_at(&self, at: usize) -> &QueuePolicy {
        &self.rows[at].policy
    }

    /// Returns all queues with a known policy, sorted by name.
    pub(crate) fn iter(&self) -> impl ExactSizeIterator<Item = &Queue> {
        self.rows.iter()
    }

    /// Puts the policies of a configuration in force, sorted by name. Other queues count as
    /// removed, and keep their policies.
    fn configure(&mut self, policies: Vec<QueuePolicy>) {
        let mut earlier = std::mem::take(&mut self.rows).into_iter().peekable();
        self.rows.reserve(policies.len());
        for policy in policies {
            while let Some(queue) = earlier.next_if(|q| q.policy.queue < policy.queue) {
                self.push_removed(queue);
            }
            let known = earlier.next_if(|q| q.policy.queue == policy.queue);
            let (jobs, stored) = known.map_or_else(Default::default, |q| (q.jobs, q.stored));
            self.rows.push(Queue {
                jobs,
                stored,
                ..Queue::new(policy, true)
            });
        }
        for queue in earlier {
            self.push_removed(queue);
        }
    }

    fn push_removed(&mut self, queue: Queue) {
        self.rows.push(Queue {
            is_configured: false,
            ..queue
        });
    }

    /// Adds the stored policy of a queue.
    fn add_stored(&mut self, policy: QueuePolicy) {
        self.add_earlier(policy.clone());
        if let Some(at) = self.position(&policy.queue) {
            self.rows[at].stored = Some(policy);
        }
    }

    /// Adds a policy from an earlier configuration, unless a newer one is known.
    fn add_earlier(&mut self, policy: QueuePolicy) {
        let at = self
            .rows
            .binary_search_by(|q| q.policy.queue.cmp(&policy.queue));
        match at {
            Ok(at) => {
                let queue = &mut self.rows[at];
                if !queue.is_configured && queue.policy.version < policy.version {
                    queue.policy = policy;
                }
            }
            Err(at) => self.rows.insert(at, Queue::new(policy, false)),
        }
    }

    fn clear_jobs(&mut self) {
        for queue in &mut self.rows {
            queue.jobs = OpenJobs::default();
        }
        for queue in &mut self.unknown {
            queue.jobs = OpenJobs::default();
        }
    }

    fn add_job(&mut self, queue: &Arc<str>, accepted: u64) {
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
    fn drop_unused(&mut self) {
        self.rows.retain(|queue| {
            let is_kept = queue.is_configured || queue.is_orphaned() || queue.stored.is_some();
            if !is_kept && queue.is_logged {
                log::info!(queue = &*queue.policy.queue; "queue: the last job of a removed queue is over");
            }
            is_kept
        });
        self.unknown.retain(|q| q.jobs.count > 0);
    }

    /// Determines whether a stored policy has to be changed.
    fn update_changes(&mut self) {
        let mut changes = self.rows.iter().map(Queue::store_change);
        self.has_changes = changes.any(|c| c != StoreChange::None);
    }

    /// Moves at most `limit` changes of stored policies to a batch.
    fn take_changes(&mut self, limit: usize, batch: &mut Batch) {
        if !self.has_changes {
            return;
        }
        let changed = self
            .rows
            .iter_mut()
            .filter(|q| q.store_change() != StoreChange::None);
        for queue in changed.take(limit) {
            let policy = &queue.policy;
            if queue.store_change() == StoreChange::Write {
                batch.policies.push(policy.clone());
                queue.stored = Some(policy.clone());
                continue;
            }
            batch.dropped_queues.push(policy.queue.clone());
            queue.stored = None;
        }
        self.has_changes = batch.queue_changes() >= limit;
    }

    /// Logs the queues with open jobs that are not configured.
    fn log_removed(&mut self, wall_clock: u64) {
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
    fn removed(&self, wall_clock: u64) -> Vec<RemovedQueue> {
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

impl Scheduler {
    /// Returns the policy that holds for the jobs of a queue, if it is known.
    pub(crate) fn policy(&self, queue: &str) -> Option<&QueuePolicy> {
        self.queues.policy(queue)
    }

    /// Puts the policies of a configuration in force, sorted by name.
    pub(crate) fn configure_queues(&mut self, policies: Vec<QueuePolicy>) {
        self.queues.configure(policies);
        self.placement_due = true;
    }

    /// Adds the policy under which a job was accepted.
    pub(crate) fn add_accepted_policy(&mut self, policy: QueuePolicy) {
        self.queues.add_earlier(policy);
    }

    /// Restores the policy of a queue that an earlier owner stored.
    pub fn restore_policy(&mut self, policy: QueuePolicy) {
        self.queues.add_stored(policy);
    }

    /// Moves at most `limit` changes of stored policies to a batch.
    pub(crate) fn take_policy_changes(&mut self, limit: usize, batch: &mut Batch) {
        self.queues.take_changes(limit, batch);
    }

    /// Counts the open jobs of all queues if that is due, and logs and drops removed queues.
    pub(crate) fn update_queues(&mut self) {
        if self.now < self.queues.counted_at + COUNT_PERIOD_MS {
            return;
        }
        self.queues.counted_at = self.now;
        self.queues.clear_jobs();
        for id in &self.open_jobs {
            let state = self.jobs.get(id).filter(|j| !j.outcome.is_final());
            if let Some(state) = state {
                self.queues.add_job(&state.job.queue, state.job.accepted);
            }
        }
        self.queues.drop_unused();
        self.queues.update_changes();
        self.queues.log_removed(self.wall_clock);
    }

    /// Returns the queues with open jobs that the configuration in force does not have, as of the
    /// last second.
    pub fn removed_queues(&self) -> Vec<RemovedQueue> {
        self.queues.removed(self.wall_clock)
    }
}
