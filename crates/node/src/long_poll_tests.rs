//! Tests of the waits of long polls: how long a change takes if an answer is lost, and what idle
//! instances cost.

use std::time::Duration;

use test_case::test_case;

use crate::long_poll::{max_silence, wait};

/// Time after its wait when the store's client abandons a long poll, in milliseconds.
const ABANDON_MS: u64 = 1000;

/// Time to repeat the long poll and read the answer from a store at a sixtieth of its speed, in
/// milliseconds.
const REPEAT_MS: u64 = 500;

/// The answer with the change is lost, or its connection has stopped delivering.
#[test_case(2500)]
#[test_case(3000)]
#[test_case(5000; "the fleet")]
#[test_case(20_000)]
fn a_change_is_in_force_in_time_if_an_answer_is_lost(apply: u64) {
    let wait = wait(Duration::from_millis(apply)).as_millis() as u64;
    assert!(wait + ABANDON_MS + REPEAT_MS <= apply, "{wait}");
}

#[test_case(2000; "the smallest deployments")]
#[test_case(0; "no time at all")]
fn a_long_poll_waits_for_at_least_a_second(apply: u64) {
    assert_eq!(wait(Duration::from_millis(apply)), Duration::from_secs(1));
}

/// 600 idle instances make fewer than 200 calls a second in total, less than a third of a call
/// each.
#[test]
fn idle_instances_make_few_calls() {
    let wait = wait(Duration::from_secs(5)).as_secs_f64();
    assert!(600.0 / wait < 200.0, "{wait}");
}

/// A store that answers in time is not taken for lost, and one that does not is noticed before the
/// next long poll is due.
#[test]
fn the_store_is_lost_once_its_answer_is_overdue() {
    let wait = wait(Duration::from_secs(5));
    let silence = max_silence(wait);
    assert!(silence > wait + Duration::from_millis(250));
    assert!(silence < wait + Duration::from_millis(ABANDON_MS));
}
