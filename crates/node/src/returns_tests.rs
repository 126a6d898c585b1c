//! Tests of when refused callers come back.

use std::sync::Arc;

use test_case::test_case;

use crate::returns::ReturnSchedule;

/// The load: a hundred callers a second are refused. They return in the order in
/// which they were refused, and no more at one time than came at one time.
#[test_case(2000; "a short wait")]
#[test_case(0; "no forecast")]
#[test_case(10_000; "a long wait")]
fn refused_callers_do_not_return_together(earliest: u64) {
    let mut schedule = ReturnSchedule::default();
    let queue: Arc<str> = "q".into();
    let mut previous = 0;
    let mut returns = Vec::new();
    // As many as fit into the spread.
    for index in 0..30 {
        let now = 10_000 + index * 10;
        let seconds = schedule.retry_after_s(now, &queue, earliest);
        let at = now + seconds * 1000;
        assert!(seconds >= 1 && at >= now + earliest, "{seconds}");
        assert!(at > previous, "{index}");
        previous = at;
        returns.push(at);
    }
    for second in returns[0] / 1000..=previous / 1000 {
        let count = returns.iter().filter(|&&at| at / 1000 == second).count();
        assert!(count <= 5, "{count} in second {second}");
    }
    for index in 30..300 {
        let now = 10_000 + index * 10;
        let seconds = schedule.retry_after_s(now, &queue, earliest);
        assert!(seconds * 1000 <= earliest.max(1000) + 10_000, "{seconds}");
    }
}
