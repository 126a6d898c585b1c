//! How long a change takes where an answer is lost, and what instances that idle cost.

use std::time::Duration;

use test_case::test_case;

use crate::long_poll::{max_silence, wait};

/// Time after which the store's client gives a question up that waits no longer.
const GIVEN_UP: u64 = 1000;

/// Time for asking once more and reading the answer, from a store at a sixtieth of its speed.
const ASKED_AGAIN: u64 = 500;

/// The answer that told of the change is lost, or its connection has gone silent for good.
#[test_case(2500)]
#[test_case(3000)]
#[test_case(5000; "the fleet")]
#[test_case(20_000)]
fn a_change_is_in_force_in_time_though_an_answer_is_lost(apply: u64) {
    let wait = wait(Duration::from_millis(apply)).as_millis() as u64;
    assert!(wait + GIVEN_UP + ASKED_AGAIN <= apply, "{wait}");
}

#[test_case(2000; "the smallest deployments")]
#[test_case(0; "no time at all")]
fn a_question_waits_for_a_second_at_least(apply: u64) {
    assert_eq!(wait(Duration::from_millis(apply)), Duration::from_secs(1));
}

/// 600 instances that idle cost less than a third of a call a second each.
#[test]
fn instances_that_idle_ask_seldom() {
    let wait = wait(Duration::from_secs(5)).as_secs_f64();
    assert!(600.0 / wait < 200.0, "{wait}");
}

/// What answers in time is not held for lost, and what does not is noticed before the next
/// question is due.
#[test]
fn the_store_is_lost_once_its_answer_is_overdue() {
    let wait = wait(Duration::from_secs(5));
    let silence = max_silence(wait);
    assert!(silence > wait + Duration::from_millis(250));
    assert!(silence < wait + Duration::from_millis(GIVEN_UP));
}
