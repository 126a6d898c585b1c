//! Tests of when an instance rests from following the lease.

use test_case::test_case;

use crate::follow_turns::{FollowTurn, MAX_SILENCE_MS, Rest, RestStep};

/// A time long after the turn began, in milliseconds.
const LATER_MS: u64 = 60_000;

#[test]
fn all_follow_if_there_are_few() {
    assert_eq!(FollowTurn::new(0).rest_ms(LATER_MS, 9, 0.5), None);
}

#[test]
fn all_follow_if_the_count_is_unknown() {
    assert_eq!(FollowTurn::new(0).rest_ms(LATER_MS, 0, 0.5), None);
}

#[test]
fn an_instance_does_not_rest_during_its_turn() {
    assert_eq!(FollowTurn::new(0).rest_ms(500, 600, 0.5), None);
}

/// Twice as many instances rest for about twice as long.
#[test]
fn rests_grow_with_the_count() {
    let rest = |count| {
        FollowTurn::new(0)
            .rest_ms(LATER_MS, count, 0.5)
            .expect("a rest")
    };
    assert!(rest(600) > rest(300) * 19 / 10);
    assert!(rest(600) < rest(300) * 21 / 10);
}

/// A rest is interrupted by silence, whatever its length.
#[test_case(0, 0, RestStep::Wait(MAX_SILENCE_MS); "at the beginning")]
#[test_case(MAX_SILENCE_MS, 0, RestStep::Look; "silence")]
#[test_case(MAX_SILENCE_MS, 1000, RestStep::Wait(1000); "heard since")]
#[test_case(4000, 3000, RestStep::Wait(1500); "heard again")]
#[test_case(59_000, 58_900, RestStep::Wait(1000); "near the end")]
#[test_case(60_000, 59_900, RestStep::End; "at the end")]
fn a_silent_owner_is_looked_after(now: u64, heard_at: u64, expected: RestStep) {
    assert_eq!(Rest::new(0, 60_000, 0).step(now, heard_at), expected);
}

/// A look that finds the lease renewed allows as long a silence as a heartbeat.
#[test]
fn a_renewed_lease_counts_as_heard() {
    let mut rest = Rest::new(0, 60_000, 0);
    rest.record_renewed(MAX_SILENCE_MS);
    assert_eq!(rest.step(MAX_SILENCE_MS, 0), RestStep::Wait(MAX_SILENCE_MS));
}
