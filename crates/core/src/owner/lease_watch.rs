//! When a shard may be taken.

use super::ShardRow;
use crate::Millis;

/// What a contender saw of a shard's row.
#[derive(Debug, Clone)]
pub struct LeaseWatch {
    lease: Millis,
    version: Option<u64>,
    unchanged_since: Millis,
    unowned: bool,
}

impl LeaseWatch {
    /// Returns a claim that saw nothing yet.
    pub fn new(lease: Millis) -> LeaseWatch {
        LeaseWatch {
            lease,
            version: None,
            unchanged_since: 0,
            unowned: false,
        }
    }

    /// Takes note of the row as read at `now`; version 0 stands for no row.
    pub fn observe(&mut self, now: Millis, row: Option<&ShardRow>, version: u64) {
        if self.version != Some(version) {
            self.version = Some(version);
            self.unchanged_since = now;
        }
        self.unowned = row.is_none_or(|r| r.owner.is_none());
    }

    /// Tells whether the shard may be taken: it is free, or its owner did not
    /// renew for a lease.
    pub fn can_acquire(&self, now: Millis) -> bool {
        let observed = self.version.is_some();
        observed && (self.unowned || now >= self.unchanged_since + self.lease)
    }

    /// Tells whether the row has been as it is for at least `time`.
    pub fn is_unchanged_for(&self, now: Millis, time: Millis) -> bool {
        now >= self.unchanged_since + time
    }

    /// Forgets what was seen, for example after a pause of this process.
    pub fn reset(&mut self) {
        self.version = None;
        self.unowned = false;
    }
}
