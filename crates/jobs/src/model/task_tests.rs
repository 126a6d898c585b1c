//! Tests of when a tail latency counts as over its target.

use test_case::test_case;

use crate::model::task::{Run, Stage};

/// Headroom of a step whose tasks are well below their targets.
const HIGH_HEADROOM: f64 = 2.0;
/// Headroom of a step at the peak of its load.
const LOW_HEADROOM: f64 = 1.05;

/// Records tail latencies in percent of the target, one per second, and returns whether the tail
/// counts as over its target.
fn is_over_target(min_headroom: f64, percents: &[u32]) -> bool {
    let mut run = Run::new(0, Stage::Planned, 0);
    for (at, &percent) in (1..).zip(percents) {
        run.record_latency(f64::from(percent) / 100.0, min_headroom, at * 1000);
    }
    run.over_since.is_some()
}

#[test_case(HIGH_HEADROOM, &[80, 92, 99] => false; "below the target")]
#[test_case(HIGH_HEADROOM, &[80, 101] => true; "above the target once")]
#[test_case(HIGH_HEADROOM, &[105, 85] => false; "clearly below once, like the step")]
#[test_case(LOW_HEADROOM, &[105, 85] => true; "below once, at the peak of the step")]
#[test_case(HIGH_HEADROOM, &[105, 95] => true; "just below once")]
#[test_case(LOW_HEADROOM, &[105, 95, 97] => false; "below twice in a row")]
#[test_case(LOW_HEADROOM, &[105, 102, 76, 104] => true; "a single low value among high ones")]
#[test_case(LOW_HEADROOM, &[105, 50] => false; "far below once")]
fn detects_a_tail_latency_over_its_target(min_headroom: f64, percents: &[u32]) -> bool {
    is_over_target(min_headroom, percents)
}
