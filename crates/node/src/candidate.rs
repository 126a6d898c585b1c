//! Decides when an instance may claim the lease.
//!
//! Claims are staggered so that large instances come first and not all instances claim at once.

use gorsespur_jobs::{Settings, lease_upper_bound};

use crate::{
    census::is_small,
    owner::{journal::MAX_CONTACT_LEAD_MS, renewal_gaps::MAX_TERM_MS},
    rows::LeaseRow,
};

/// Time without a renewal after which a lease expires if its row states no term, in milliseconds.
const DEFAULT_TERM_MS: u64 = MAX_TERM_MS;

/// Largest random delay of a claim, in milliseconds, so that instances do not all claim at once.
pub(crate) const MAX_JITTER_MS: u64 = 300;

/// Delay of a claim by an instance with a CPU share of 0, in milliseconds; it shrinks linearly with
/// the share relative to the largest owner so far. Deciding takes more than a tenth of a CPU, so a
/// small owner falls permanently behind.
const SMALL_DELAY_MS: u64 = 600;

/// Age of an epoch after which an instance claims the lease of an owner with less than half its
/// share, in milliseconds.
const UPGRADE_DELAY_MS: u64 = 1500;

/// Inputs of the decision whether to claim the lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    /// The lease; `None` if it has never been claimed.
    pub(crate) lease: Option<&'a LeaseRow>,
    /// The instance's name.
    pub(crate) name: &'a str,
    /// Its CPU share, in thousandths.
    pub(crate) share: u64,
    /// Time since the last renewal was seen, in milliseconds.
    pub(crate) age_ms: u64,
    /// Time for which the lease was followed without a rest, in milliseconds.
    pub(crate) followed_ms: u64,
    /// Time since the owner's epoch was first seen, in milliseconds.
    pub(crate) tenure_ms: u64,
    /// Random delay of the claim, in milliseconds.
    pub(crate) jitter_ms: u64,
}

impl Candidate<'_> {
    /// Returns whether the instance may claim the lease now.
    pub(crate) fn can_claim(&self) -> bool {
        self.claim_delay() == 0
    }

    /// Returns the milliseconds until the instance may claim the lease if the lease does not
    /// change.
    pub(crate) fn claim_delay(&self) -> u64 {
        let Some(lease) = self.lease else {
            return 0;
        };
        let largest = lease.largest.max(self.share).max(1);
        let small_delay = SMALL_DELAY_MS * (largest - self.share) / largest;
        // An owner that reads its own name has restarted, and its previous process has ended.
        if lease.released || lease.owner == self.name {
            return small_delay.saturating_sub(self.age_ms);
        }
        // A renewal during a rest may not have been seen yet, since the store's changes may lag by
        // a second.
        let age_ms = self.age_ms.min(self.followed_ms);
        if is_small(lease.share, self.share) && age_ms < UPGRADE_DELAY_MS {
            return (UPGRADE_DELAY_MS + 1).saturating_sub(self.tenure_ms);
        }
        let term_ms = if lease.term > 0 {
            lease.term
        } else {
            DEFAULT_TERM_MS
        };
        (term_ms + self.jitter_ms + small_delay + 1).saturating_sub(age_ms)
    }

    /// Returns the number of instances in the same size class as this one; 0 if unknown or if the
    /// lease has no owner.
    pub(crate) fn peers(&self) -> u64 {
        let Some(lease) = self.lease.filter(|l| !l.released) else {
            return 0;
        };
        lease.census.peers(is_small(self.share, lease.largest))
    }

    /// Returns how long the instance can wait before it polls again, in milliseconds.
    ///
    /// Each renewal, 2.5 times a second, answers every long poll. An instance much smaller than the
    /// largest claims the lease only if no large one does, so it polls only when its claim is due.
    /// With 132 such instances of 147, their polls were a third of all calls to the store.
    pub(crate) fn follow_pause(&self) -> u64 {
        let Some(lease) = self.lease else {
            return 0;
        };
        if is_small(self.share, lease.largest) && !lease.released {
            self.claim_delay()
        } else {
            0
        }
    }

    /// Returns when the last lease that any earlier owner granted to a worker ends, if this
    /// instance claims the lease at `now`; both by its own clock, in milliseconds.
    pub(crate) fn prior_leases_end(&self, now: u64, jobs: &Settings) -> u64 {
        let Some(lease) = self.lease else {
            return 0;
        };
        let last_owner_end = if lease.released || lease.owner == self.name {
            // Only one process runs under a name, so the previous holder has ended.
            now + lease_upper_bound(jobs.lease)
        } else {
            // Worker leases end at a fixed time after the owner's last contact with the store.
            // Adding the renewal period and the length of a lease instead would give 12.7 s, and a
            // long-running task may be away for only 10 s.
            (now + MAX_CONTACT_LEAD_MS + lease_upper_bound(jobs.store_grace))
                .saturating_sub(self.age_ms)
        };
        // An owner before the last one may still run in a partitioned zone and renew leases there.
        last_owner_end.max((now + lease.earlier).saturating_sub(self.age_ms))
    }
}
