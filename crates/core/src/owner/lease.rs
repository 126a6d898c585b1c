//! An owner's view of its own lease.

use crate::Millis;

/// Decides whether an owner may still send requests to workers.
#[derive(Debug, Clone)]
pub struct OwnerLease {
    lease: Millis,
    confirmed_at: Millis,
    ticked_at: Millis,
    suspended: bool,
}

impl OwnerLease {
    /// Creates a lease of length `lease` that a write sent at `now` confirmed.
    pub fn new(lease: Millis, now: Millis) -> OwnerLease {
        OwnerLease {
            lease,
            confirmed_at: now,
            ticked_at: now,
            suspended: false,
        }
    }

    /// Records that a write sent at `sent_at` was applied, which confirms the ownership.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.suspended = false;
    }

    /// Records that the owner is running at `now`.
    ///
    /// A gap of a whole lease between two calls means that the process was
    /// paused and that another instance may have become the owner meanwhile.
    pub fn tick(&mut self, now: Millis) {
        if now.saturating_sub(self.ticked_at) >= self.lease && now >= self.confirmed_at + self.lease
        {
            self.suspended = true;
        }
        self.ticked_at = now;
    }

    /// Returns whether the owner may send requests to workers.
    ///
    /// An owner that only can't reach the table service may: it renews leases
    /// of running tasks, and can't start any since starts need the journal. An
    /// owner that was paused beyond its lease may not until a write confirms
    /// its epoch again.
    pub fn can_act(&self) -> bool {
        !self.suspended
    }

    /// Returns the time since the ownership was last confirmed.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.confirmed_at)
    }
}
