//! Who takes a lease that may be free.

use gorsespur_jobs::{Settings, lease_upper_bound};

use crate::{
    census::is_small,
    owner::{journal::MAX_CONTACT_LEAD_MS, renewal_gaps::MAX_TERM_MS},
    rows::LeaseRow,
};

/// A lease whose owner did not say after how long it is free is free after this long,
/// in milliseconds.
const DEFAULT_TERM_MS: u64 = MAX_TERM_MS;

/// Added to that by chance, so that not all instances claim at once, in milliseconds.
pub(crate) const MAX_JITTER_MS: u64 = 300;

/// An instance with no share of a processor at all would wait this much longer than
/// the largest that ever owned the lease, in milliseconds: deciding takes more than
/// a tenth of a processor, and a small instance falls behind for good.
const SMALL_DELAY_MS: u64 = 600;

/// A lease whose owner has less than half of an instance's share goes to that
/// instance after this long, in milliseconds.
const UPGRADE_DELAY_MS: u64 = 1500;

/// What an instance knows when it asks whether to take the lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    /// The lease; nothing if nobody ever had it.
    pub(crate) lease: Option<&'a LeaseRow>,
    /// The instance's name.
    pub(crate) name: &'a str,
    /// Its share of a processor, in thousandths.
    pub(crate) share: u64,
    /// For how long the lease was not renewed, in milliseconds.
    pub(crate) age: u64,
    /// For how long it was followed without a rest, in milliseconds.
    pub(crate) followed_ms: u64,
    /// For how long it has had its owner, in milliseconds.
    pub(crate) tenure: u64,
    /// A delay by chance, in milliseconds.
    pub(crate) jitter: u64,
}

impl Candidate<'_> {
    /// Tells whether the instance should take the lease now.
    pub(crate) fn can_claim(&self) -> bool {
        self.claim_delay() == 0
    }

    /// Returns after how many milliseconds the instance should take the lease if it
    /// does not change until then.
    pub(crate) fn claim_delay(&self) -> u64 {
        let Some(lease) = self.lease else {
            return 0;
        };
        let largest = lease.largest.max(self.share).max(1);
        let small_delay = SMALL_DELAY_MS * (largest - self.share) / largest;
        // An owner that asks has started anew and holds nothing.
        if lease.released || lease.owner == self.name {
            return small_delay.saturating_sub(self.age);
        }
        // What was not renewed during a rest may have been renewed unheard: the store may fall
        // behind with changes for a second.
        let age = self.age.min(self.followed_ms);
        if is_small(lease.share, self.share) && age < UPGRADE_DELAY_MS {
            return (UPGRADE_DELAY_MS + 1).saturating_sub(self.tenure);
        }
        let term_ms = if lease.term > 0 {
            lease.term
        } else {
            DEFAULT_TERM_MS
        };
        (term_ms + self.jitter + small_delay + 1).saturating_sub(age)
    }

    /// Returns how many instances are about as large as this one; none if that is not known, or
    /// if the lease has no owner.
    pub(crate) fn peers(&self) -> u64 {
        let Some(lease) = self.lease.filter(|l| !l.released) else {
            return 0;
        };
        lease.census.peers(is_small(self.share, lease.largest))
    }

    /// Returns for how long the instance need not ask again, in milliseconds.
    ///
    /// A renewal answers each question that waits, 2.5 times a second. An instance much
    /// smaller than the largest is to take the lease only if no large one does; it asks
    /// when it may do so. With 132 such instances of 147 a third of all calls to the store
    /// were their questions.
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

    /// Returns when the last lease that any earlier owner granted to a worker is over, if
    /// this instance takes over at `now`; both by its own clock, in milliseconds.
    pub(crate) fn prior_leases_end(&self, now: u64, jobs: &Settings) -> u64 {
        let Some(lease) = self.lease else {
            return 0;
        };
        let last_owner_end = if lease.released || lease.owner == self.name {
            // One process runs under a name: the one that held the lease has ended.
            now + lease_upper_bound(jobs.lease)
        } else {
            // Whatever it still grants reaches no further from its last contact. Without that
            // the times of renewing and of a lease add up to 12.7 s, and a lasting task may be
            // away for 10 s.
            (now + MAX_CONTACT_LEAD_MS + lease_upper_bound(jobs.store_grace))
                .saturating_sub(self.age)
        };
        // One before it may live on in a zone that is cut off, and renew what runs there.
        last_owner_end.max((now + lease.earlier).saturating_sub(self.age))
    }
}
