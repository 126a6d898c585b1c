//! Tests of when an instance rests from following the lease.

use crate::follow_turns::FollowTurn;

/// A time long after the turn began, in milliseconds.
const LATER: u64 = 60_000;

#[test]
fn where_few_could_follow_all_do() {
    assert_eq!(FollowTurn::new(0).rest_ms(LATER, 9, 0.5), None);
}

#[test]
fn where_the_number_is_not_known_all_follow() {
    assert_eq!(FollowTurn::new(0).rest_ms(LATER, 0, 0.5), None);
}

#[test]
fn nobody_rests_before_the_end_of_the_turn() {
    assert_eq!(FollowTurn::new(0).rest_ms(500, 600, 0.5), None);
}

/// Twice as many instances rest for about twice as long.
#[test]
fn rests_grow_with_the_number() {
    let rest = |count| {
        FollowTurn::new(0)
            .rest_ms(LATER, count, 0.5)
            .expect("a rest")
    };
    assert!(rest(600) > rest(300) * 19 / 10);
    assert!(rest(600) < rest(300) * 21 / 10);
}
