//! Tests of the predicted durations of tasks.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::order::estimates::{EstimateModel, ObservedTimes};

/// Typical duration of a task.
const TYPICAL_MS: f64 = 1700.0;

/// Returns the mean absolute errors, in logarithms, of the callers' estimates and of the predicted
/// durations. Durations vary by `time_spread` around the typical one, and estimates by
/// `estimate_spread` around the durations.
fn errors(time_spread: f64, estimate_spread: f64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut model = EstimateModel::default();
    let (mut estimated, mut expected) = (0.0, 0.0);
    for index in 0..2000 {
        let took = TYPICAL_MS * (rng.random_range(-1.7..1.7) * time_spread).exp();
        let estimate = (took * (rng.random_range(-1.7..1.7) * estimate_spread).exp()) as u64;
        if index >= 1000 {
            let longest_ms = ObservedTimes::default().longest_ms(&model, estimate, 1);
            estimated += (estimate as f64 / took).ln().abs();
            expected += (longest_ms as f64 / took).ln().abs();
        }
        model.observe(estimate, took as u64);
    }
    (estimated / 1000.0, expected / 1000.0)
}

#[test]
fn poor_estimates_yield_the_typical_time() {
    let (estimated, expected) = errors(0.5, 0.9);
    assert!(expected < 0.6 * estimated, "{expected} of {estimated}");
}

#[test]
fn accurate_estimates_are_kept() {
    let (estimated, expected) = errors(0.9, 0.1);
    assert!(expected < 1.05 * estimated, "{expected} of {estimated}");
}

#[test]
fn without_observations_the_estimate_is_used() {
    let longest_ms = ObservedTimes::default().longest_ms(&EstimateModel::default(), 900, 1);
    assert!((899..=901).contains(&longest_ms), "{longest_ms}");
}

#[test]
fn observed_times_of_the_step_outweigh_the_estimate() {
    let mut times = ObservedTimes::default();
    for took in [3900, 4000, 4100] {
        times.observe(took);
    }
    let longest_ms = times.longest_ms(&EstimateModel::default(), 500, 1);
    assert!((2900..4000).contains(&longest_ms), "{longest_ms}");
}

#[test]
fn a_run_is_extrapolated_once_it_has_enough_progress() {
    let mut times = ObservedTimes::default();
    times.observe_run(10, 500);
    assert_eq!(times.longest_ms(&EstimateModel::default(), 0, 1), 0);
    times.observe_run(50, 1000);
    let longest_ms = times.longest_ms(&EstimateModel::default(), 0, 1);
    assert!((1990..=2010).contains(&longest_ms), "{longest_ms}");
}
