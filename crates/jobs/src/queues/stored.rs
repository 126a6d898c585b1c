//! The stored policies of queues with open jobs.

use super::{Queue, Queues};
use crate::action::Batch;

/// What has to be done with the stored policy of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreChange {
    None,
    Write,
    Delete,
}

impl Queue {
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

impl Queues {
    /// Determines whether a stored policy has to be changed.
    pub(super) fn update_changes(&mut self) {
        let mut changes = self.rows.iter().map(Queue::store_change);
        self.has_changes = changes.any(|c| c != StoreChange::None);
    }

    /// Moves at most `limit` changes of stored policies to a batch.
    pub(super) fn take_changes(&mut self, limit: usize, batch: &mut Batch) {
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
}
