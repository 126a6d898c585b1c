//! Tests of the state kept while watching the lease, and of what a claim publishes about earlier
//! owners.

use std::sync::atomic::Ordering;

use gorsespur_jobs::MAX_GENERATION;

use crate::{
    fakes_tests::{LeaseStore, shared},
    lease::{FollowTiming, LeaseWatch, claim, fencing_token},
    rows::LeaseRow,
};

/// The lease of a lost owner.
fn lease() -> LeaseRow {
    LeaseRow {
        owner: "gone".into(),
        epoch: 3,
        share: 500,
        largest: 500,
        earlier: u64::from(u32::MAX),
        ..LeaseRow::default()
    }
}

/// Guards against resetting the age of a lease when the store fails: after an outage longer than
/// two calls the lease counted as just renewed, and the next owner waited for worker leases until
/// 14.4 s instead of 9.2 s after the last renewal.
#[test]
fn the_age_of_a_lease_survives_store_failures() {
    let store = LeaseStore::new(lease());
    let shared = shared(store.clone());
    let mut watch = LeaseWatch::default();
    let since = watch
        .refresh(&shared, FollowTiming::default())
        .expect("an answer")
        .version_since;
    store.away.store(true, Ordering::SeqCst);
    for _ in 0..3 {
        assert!(watch.refresh(&shared, FollowTiming::default()).is_err());
    }
    store.away.store(false, Ordering::SeqCst);
    let again = watch
        .refresh(&shared, FollowTiming::default())
        .expect("an answer")
        .version_since;
    assert_eq!(again, since);
}

/// A claim waits for worker leases of owners before the last one, and publishes when they end.
#[test]
fn a_claim_publishes_when_earlier_leases_end() {
    let store = LeaseStore::new(lease());
    let shared = shared(store.clone());
    let mut watch = LeaseWatch::default();
    let seen = watch
        .refresh(&shared, FollowTiming::default())
        .expect("an answer");
    let tenure = claim(&shared, seen).expect("an answer").expect("claimed");
    let takeover = tenure.takeover;
    // Both count from when the lease was seen, not from when the claim was requested.
    assert_eq!(
        takeover.prior_leases_end,
        seen.version_since + u64::from(u32::MAX)
    );
    assert_eq!(
        store.newest().earlier,
        takeover.prior_leases_end - takeover.asked_at
    );
}

/// An owner of any version continues from the epoch in the lease, and workers refuse lower fencing
/// tokens. So those of an owner are above the epoch of its predecessor, and not above its own.
#[test]
fn the_fencing_tokens_of_owners_do_not_overlap() {
    let store = LeaseStore::new(lease());
    let shared = shared(store.clone());
    let mut watch = LeaseWatch::default();
    let seen = watch
        .refresh(&shared, FollowTiming::default())
        .expect("an answer");
    let tenure = claim(&shared, seen).expect("an answer").expect("claimed");
    let epoch = store.newest().epoch;
    assert_eq!(tenure.epoch, epoch);
    assert!(fencing_token(epoch, 1) > lease().epoch);
    assert_eq!(fencing_token(epoch, MAX_GENERATION), epoch);
}
