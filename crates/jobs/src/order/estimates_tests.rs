//! Tests of the estimates of task durations.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::order::estimates::{EstimateModel, ObservedTimes};

/// Usual duration of a task.
const USUAL_MS: f64 = 1700.0;

/// Returns the mean absolute errors, in logarithms, of the guesses and of the estimates.
/// Durations vary by `time_spread` around the usual one, and guesses by `guess_spread`
/// around the durations.
fn errors(time_spread: f64, guess_spread: f64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut model = EstimateModel::default();
    let (mut guessed, mut expected) = (0.0, 0.0);
    for index in 0..2000 {
        let took = USUAL_MS * (rng.random_range(-1.7..1.7) * time_spread).exp();
        let guess = (took * (rng.random_range(-1.7..1.7) * guess_spread).exp()) as u64;
        if index >= 1000 {
            let longest_ms = ObservedTimes::default().longest_ms(&model, guess, 1);
            guessed += (guess as f64 / took).ln().abs();
            expected += (longest_ms as f64 / took).ln().abs();
        }
        model.observe(guess, took as u64);
    }
    (guessed / 1000.0, expected / 1000.0)
}

#[test]
fn poor_guesses_yield_the_usual_time() {
    let (guessed, expected) = errors(0.5, 0.9);
    assert!(expected < 0.6 * guessed, "{expected} of {guessed}");
}

#[test]
fn accurate_guesses_are_kept() {
    let (guessed, expected) = errors(0.9, 0.1);
    assert!(expected < 1.05 * guessed, "{expected} of {guessed}");
}

#[test]
fn without_observations_the_guess_is_used() {
    let longest_ms = ObservedTimes::default().longest_ms(&EstimateModel::default(), 900, 1);
    assert!((899..=901).contains(&longest_ms), "{longest_ms}");
}

#[test]
fn observed_times_of_the_step_outweigh_the_guess() {
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
