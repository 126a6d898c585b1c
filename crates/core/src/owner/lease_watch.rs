//! When a shard may be taken.

use super::ShardRow;
use crate::Millis;

/// What a contender saw of a shard's row.
#[derive(Debug, Clone)]
pub struct LeaseWatch {
    lease: Millis,
    version: Option<u64>,
    since: Millis,
    free: bool,
}

impl LeaseWatch {
    /// Returns a claim that saw nothing yet.
    pub fn new(lease: Millis) -> LeaseWatch {
        LeaseWatch {
            lease,
            version: None,
            since: 0,
            free: false,
        }
    }

    /// Takes note of the row as read at `now`; version 0 stands for no row.
    pub fn observe(&mut self, now: Millis, row: Option<&ShardRow>, version: u64) {
        if self.version != Some(version) {
            self.version = Some(version);
            self.since = now;
        }
        self.free = row.is_none_or(|r| r.owner.is_none());
    }

    /// Tells whether the shard may be taken: it is free, or its owner did not
    /// renew for a lease.
    pub fn can_acquire(&self, now: Millis) -> bool {
        let seen = self.version.is_some();
        seen && (self.free || now >= self.since + self.lease)
    }

    /// Tells whether the row has been as it is for at least `time`.
    pub fn is_unchanged_for(&self, now: Millis, time: Millis) -> bool {
        now >= self.since + time
    }

    /// Forgets what was seen, for example after a pause of this process.
    pub fn reset(&mut self) {
        self.version = None;
        self.free = false;
    }
}
