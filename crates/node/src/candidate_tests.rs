//! Tests of when an instance claims the lease.

use gorsespur_jobs::Settings;
use test_case::test_case;

use crate::{candidate::Candidate, rows::LeaseRow};

fn lease(share: u64) -> LeaseRow {
    LeaseRow {
        owner: "other".into(),
        epoch: 3,
        share,
        largest: 500,
        ..LeaseRow::default()
    }
}

fn candidate(lease: &LeaseRow, share: u64, age_ms: u64) -> Candidate<'_> {
    Candidate {
        lease: Some(lease),
        name: "me",
        share,
        age_ms,
        followed_ms: 60_000,
        tenure_ms: 60_000,
        jitter_ms: 0,
    }
}

#[test]
fn a_lease_without_an_owner_is_claimed_at_once() {
    let lease = LeaseRow::default();
    let unowned = Candidate {
        lease: None,
        ..candidate(&lease, 69, 0)
    };
    assert!(unowned.can_claim());
}

#[test_case(1700, false; "recently renewed")]
#[test_case(2000, true; "not renewed")]
fn a_lease_is_claimed_after_the_default_term(age_ms: u64, can_claim: bool) {
    assert_eq!(candidate(&lease(500), 500, age_ms).can_claim(), can_claim);
}

/// The owner publishes the term in the lease.
#[test_case(1000, false; "recently renewed")]
#[test_case(1100, true; "not renewed")]
fn a_lease_is_claimed_after_its_published_term(age_ms: u64, can_claim: bool) {
    let published = LeaseRow {
        term: 1060,
        ..lease(500)
    };
    assert_eq!(candidate(&published, 500, age_ms).can_claim(), can_claim);
}

#[test]
fn a_restarted_owner_claims_its_lease_at_once() {
    let own_lease = LeaseRow {
        owner: "me".into(),
        ..lease(500)
    };
    assert!(candidate(&own_lease, 500, 0).can_claim());
}

/// Guards against a small instance that takes a released lease before a large one: with 0.069 of a
/// CPU it never finished reading the jobs, while another had 0.5.
#[test]
fn a_small_instance_waits_for_a_large_one() {
    let released = LeaseRow {
        released: true,
        ..lease(500)
    };
    assert!(candidate(&released, 500, 0).can_claim());
    assert!(!candidate(&released, 69, 400).can_claim());
    assert!(candidate(&released, 69, 600).can_claim());
}

#[test]
fn a_large_instance_replaces_a_small_owner() {
    assert!(candidate(&lease(69), 500, 100).can_claim());
    assert!(!candidate(&lease(69), 69, 100).can_claim());
    assert!(!candidate(&lease(300), 500, 100).can_claim());
    let new = lease(69);
    let just_started = Candidate {
        tenure_ms: 500,
        ..candidate(&new, 500, 100)
    };
    assert!(!just_started.can_claim());
}

/// Guards against a long poll that outlasts the time to claim the lease: after a zone was cut off,
/// an instance with 0.12 of a CPU took the lease before those with 0.5, which still waited for
/// answers to their last polls, and jobs were reported as begun that had not.
#[test_case(0, 1801; "just renewed")]
#[test_case(1500, 301; "nearly expired")]
#[test_case(1801, 0; "expired")]
fn a_long_poll_ends_when_the_lease_may_be_claimed(age_ms: u64, claim_delay: u64) {
    assert_eq!(
        candidate(&lease(500), 500, age_ms).claim_delay(),
        claim_delay
    );
}

#[test]
fn a_large_instance_may_claim_before_a_small_one() {
    let lease = lease(500);
    let large = Candidate {
        jitter_ms: crate::candidate::MAX_JITTER_MS,
        ..candidate(&lease, 500, 0)
    };
    assert!(large.claim_delay() < candidate(&lease, 120, 0).claim_delay());
}

/// Guards against a restarted owner that waits for worker leases of its own previous process for as
/// long as for those of an owner that may still run.
#[test_case("other", false, 2000, 12_233; "may still run since its last renewal")]
#[test_case("other", true, 2000, 11_182; "released the lease")]
#[test_case("me", false, 0, 11_182; "was this instance, which restarted")]
fn leases_of_the_previous_owner_end(owner: &str, released: bool, age_ms: u64, expected: u64) {
    let lease = LeaseRow {
        owner: owner.into(),
        released,
        ..lease(500)
    };
    // Leases last 6 s, and end at most 8.5 s after the last contact with the store, on a clock that
    // may be 2% slow, with a margin of 60 ms; a contact may be 0.5 s newer than the renewal.
    let prior_leases_end =
        candidate(&lease, 500, age_ms).prior_leases_end(5000, &Settings::default());
    assert_eq!(prior_leases_end, expected);
}

/// Small instances poll when they may claim the lease; large ones wait for its renewals.
#[test_case(120, 0, 2257; "small, just renewed")]
#[test_case(120, 2000, 257; "small, nearly expired")]
#[test_case(500, 0, 0; "large")]
fn small_instances_pause_until_their_claim_is_due(share: u64, age_ms: u64, pause: u64) {
    assert_eq!(candidate(&lease(500), share, age_ms).follow_pause(), pause);
}

#[test]
fn a_small_instance_polls_at_once_for_a_released_lease() {
    let released = LeaseRow {
        released: true,
        ..lease(500)
    };
    assert_eq!(candidate(&released, 120, 0).follow_pause(), 0);
}

/// Time for which users allow a long-running task to be away after the last fault, in
/// milliseconds.
const MAX_AWAY_MS: u64 = 10_000;

/// Longest time to abandon a worker's runs, place their tasks, write and start them without other
/// faults, in milliseconds.
const RESTART_MS: u64 = 300;

/// Guards against waiting too long for leases of an earlier owner: two long-running tasks started
/// 11 s after a takeover, since their worker was lost and those leases ended only 12.7 s after the
/// last renewal.
#[test_case(0; "taken at once")]
#[test_case(1000; "after the shortest term")]
#[test_case(2100; "after the longest term")]
#[test_case(5000; "after an outage")]
fn leases_of_the_previous_owner_end_in_time_for_a_restart(age_ms: u64) {
    let now = 60_000;
    let prior_leases_end =
        candidate(&lease(500), 500, age_ms).prior_leases_end(now, &Settings::default());
    let after = prior_leases_end - (now - age_ms);
    assert!(
        after + RESTART_MS <= MAX_AWAY_MS,
        "{after} ms after the last renewal"
    );
}

/// An owner in a partitioned zone may grant leases until its own time is up, while other owners
/// follow each other quickly. If the last one released the lease or restarted, its leases end
/// before those of the partitioned one.
#[test_case("other", true, 0, 60_000 + 8_000; "released just now")]
#[test_case("other", true, 3000, 60_000 + 6_182; "released a while ago")]
#[test_case("me", false, 0, 60_000 + 8_000; "restarted")]
#[test_case("other", false, 0, 60_000 + 9_233; "may still run")]
fn leases_of_owners_before_the_last_one_count(
    owner: &str,
    released: bool,
    age_ms: u64,
    expected: u64,
) {
    let lease = LeaseRow {
        owner: owner.into(),
        released,
        earlier: 8_000,
        ..lease(500)
    };
    let prior_leases_end =
        candidate(&lease, 500, age_ms).prior_leases_end(60_000, &Settings::default());
    assert_eq!(prior_leases_end, expected);
}
