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

mod open_jobs;
mod stored;

pub use open_jobs::RemovedQueue;

use self::open_jobs::{OpenJobs, UnknownQueue};
use crate::{action::Batch, model::policy::QueuePolicy, scheduler::Scheduler};

/// Period of counting the open jobs of all queues, in milliseconds.
const COUNT_PERIOD_MS: u64 = 1000;

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
