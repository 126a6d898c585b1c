//! Tests of when an instance rests from following the lease.

use crate::follow_turns::FollowTurn;

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
