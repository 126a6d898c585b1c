//! A contender's view of a shard's lease.

use super::ShardRow;
use crate::Millis;

/// Decides from the observed versions of a shard's row whether its lease is over.
#[derive(Debug, Clone)]
pub struct LeaseWatch {
    lease: Millis,
    version: Option<u64>,
    unchanged_since: Millis,
    unowned: bool,
}

impl LeaseWatch {
    /// Creates a watch that has not observed the row yet.
    pub fn new(lease: Millis) -> LeaseWatch {
        LeaseWatch {
            lease,
            version: None,
            unchanged_since: 0,
            unowned: false,
        }
    }

    /// Records the row and its version as read at `now`; version 0 stands for no row.
    pub fn observe(&mut self, now: Millis, row: Option<&ShardRow>, version: u64) {
        if self.version != Some(version) {
            self.version = Some(version);
            self.unchanged_since = now;
        }
        self.unowned = row.is_none_or(|r| r.owner.is_none());
    }

    /// Returns whether the shard may be acquired: it has no owner, or its row
    /// has not changed for a whole lease.
    pub fn can_acquire(&self, now: Millis) -> bool {
        let observed = self.version.is_some();
        observed && (self.unowned || now >= self.unchanged_since + self.lease)
    }

    /// Returns whether the row has not changed for at least `time`.
    pub fn is_unchanged_for(&self, now: Millis, time: Millis) -> bool {
        now >= self.unchanged_since + time
    }

    /// Discards the observations, for example after this process was paused.
    pub fn reset(&mut self) {
        self.version = None;
        self.unowned = false;
    }
}
