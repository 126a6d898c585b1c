//! Waiting for a write while the store is slow.

use crate::write_limit::write_limit;

#[test]
fn the_result_of_a_write_to_a_slow_store_is_waited_for() {
    // The store runs at a sixtieth of its speed: a read takes 250 ms, a write that waits for
    // others of its part up to 1.6 s.
    assert!(write_limit(Some(3000), 250) > 1600);
}

#[test]
fn a_caller_has_time_for_another_instance_if_a_fast_store_falls_silent() {
    // Half of the time suffices for a try at another instance, and for one more after that.
    assert!(write_limit(Some(3000), 4) <= 1500);
}

#[test]
fn an_answer_reaches_the_caller_in_time() {
    for timeout in [200, 1000, 3000] {
        assert!(write_limit(Some(timeout), 60_000) < timeout);
    }
}
