//! How long an owner may act.

use crate::Millis;

/// An owner's own view of its lease.
#[derive(Debug, Clone)]
pub struct OwnerLease {
    lease: Millis,
    proved: Millis,
    ticked: Millis,
    doubtful: bool,
}

impl OwnerLease {
    /// Starts a tenure that was proved by a write sent at `now`.
    pub fn new(lease: Millis, now: Millis) -> OwnerLease {
        OwnerLease {
            lease,
            proved: now,
            ticked: now,
            doubtful: false,
        }
    }

    /// Takes note of a write that was sent at `sent` and took effect.
    pub fn confirm(&mut self, sent: Millis) {
        self.proved = self.proved.max(sent);
        self.doubtful = false;
    }

    /// Takes note that the owner runs at `now`.
    ///
    /// A gap of a lease between two notes means that the process was paused
    /// while another may have become the owner.
    pub fn tick(&mut self, now: Millis) {
        if now.saturating_sub(self.ticked) >= self.lease && now >= self.proved + self.lease {
            self.doubtful = true;
        }
        self.ticked = now;
    }

    /// Tells whether the owner may command workers.
    ///
    /// An owner that merely can't reach the table service may: it renews what
    /// runs, and starts nothing since starts need the journal. One that was
    /// paused across its lease may not before it proved its epoch again.
    pub fn can_act(&self) -> bool {
        !self.doubtful
    }

    /// Returns the time since the ownership was proved.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.proved)
    }
}
