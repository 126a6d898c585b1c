//! Tests of what is learned of guessed times.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::order::estimates::{EstimateModel, ObservedTimes};

/// Milliseconds that a task usually takes.
const USUAL: f64 = 1700.0;

/// Returns the mean errors, in logarithms, of the guesses and of what is expected:
/// times spread by `spread`, guesses by `off` around them.
fn errors(spread: f64, off: f64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guesses = EstimateModel::default();
    let (mut guessed, mut expected) = (0.0, 0.0);
    for at in 0..2000 {
        let took = USUAL * (rng.random_range(-1.7..1.7) * spread).exp();
        let guess = (took * (rng.random_range(-1.7..1.7) * off).exp()) as u64;
        if at >= 1000 {
            let longest = ObservedTimes::default().longest(&guesses, guess, 1);
            guessed += (guess as f64 / took).ln().abs();
            expected += (longest as f64 / took).ln().abs();
        }
        guesses.observe(guess, took as u64);
    }
    (guessed / 1000.0, expected / 1000.0)
}

#[test]
fn where_guesses_tell_little_the_usual_time_is_expected() {
    let (guessed, expected) = errors(0.5, 0.9);
    assert!(expected < 0.6 * guessed, "{expected} of {guessed}");
}

#[test]
fn good_guesses_are_believed() {
    let (guessed, expected) = errors(0.9, 0.1);
    assert!(expected < 1.05 * guessed, "{expected} of {guessed}");
}

#[test]
fn before_anything_is_known_the_guess_counts() {
    let longest = ObservedTimes::default().longest(&EstimateModel::default(), 900, 1);
    assert!((899..=901).contains(&longest), "{longest}");
}

#[test]
fn what_tasks_of_the_step_took_tells_more_than_the_guess() {
    let mut seen = ObservedTimes::default();
    for took in [3900, 4000, 4100] {
        seen.observe(took);
    }
    let longest = seen.longest(&EstimateModel::default(), 500, 1);
    assert!((2900..4000).contains(&longest), "{longest}");
}

#[test]
fn a_run_tells_the_length_once_it_is_a_fifth_through() {
    let mut seen = ObservedTimes::default();
    seen.observe_run(10, 500);
    assert_eq!(seen.longest(&EstimateModel::default(), 0, 1), 0);
    seen.observe_run(50, 1000);
    let longest = seen.longest(&EstimateModel::default(), 0, 1);
    assert!((1990..=2010).contains(&longest), "{longest}");
}
