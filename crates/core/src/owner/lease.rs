//! How long an owner may act.

use crate::Millis;

/// An owner's own view of its lease.
#[derive(Debug, Clone)]
pub struct OwnerLease {
    lease: Millis,
    confirmed_at: Millis,
    ticked_at: Millis,
    suspended: bool,
}

impl OwnerLease {
    /// Starts a tenure that was proved by a write sent at `now`.
    pub fn new(lease: Millis, now: Millis) -> OwnerLease {
        OwnerLease {
            lease,
            confirmed_at: now,
            ticked_at: now,
            suspended: false,
        }
    }

    /// Takes note of a write that was sent at `sent` and took effect.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.suspended = false;
    }

    /// Takes note that the owner runs at `now`.
    ///
    /// A gap of a lease between two notes means that the process was paused
    /// while another may have become the owner.
    pub fn tick(&mut self, now: Millis) {
        if now.saturating_sub(self.ticked_at) >= self.lease && now >= self.confirmed_at + self.lease
        {
            self.suspended = true;
        }
        self.ticked_at = now;
    }

    /// Tells whether the owner may command workers.
    ///
    /// An owner that merely can't reach the table service may: it renews what
    /// runs, and starts nothing since starts need the journal. One that was
    /// paused across its lease may not before it proved its epoch again.
    pub fn can_act(&self) -> bool {
        !self.suspended
    }

    /// Returns the time since the ownership was proved.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.confirmed_at)
    }
}
