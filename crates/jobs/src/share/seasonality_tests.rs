//! Which period is found, and when curves are used.

use std::f64::consts::TAU;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

use crate::{
    model::ids::JobId,
    share::{
        forecast::{History, Point},
        sample::StepKey,
        seasonality::Seasonality,
    },
};

/// Steps of a deployment.
const STEPS: u64 = 20;

/// Milliseconds from one point of a step to the next.
const EACH: u64 = 500;

/// What the headroom of a step is at a time.
type Law = fn(u64, u64) -> f64;

/// Plays loads by a law, with figures that are off by a tenth, and returns what is known of
/// them at the end, and the root of the mean square by which curves missed headrooms 2 s later
/// in the last 20 s.
fn play(seconds: u64, law: Law) -> (Seasonality, f64) {
    let mut season = Seasonality::default();
    let mut histories = vec![History::default(); STEPS as usize];
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut squares, mut count) = (0.0, 0.0);
    for at in (0..seconds * 1000).step_by(EACH as usize) {
        season.fade(at);
        for (step, history) in (0..).zip(&mut histories) {
            let headroom = law(step, at) * rng.random_range(0.9..1.1);
            history.note(Point {
                at,
                headroom,
                precision: 20.0,
            });
            let group = StepKey {
                job: JobId(step),
                repetition: 0,
                step: 0,
            };
            season.score(group, headroom, at);
            let curve = history.fit(&season.prior, at).curve;
            season.add_forecast(group, &curve, headroom, at);
            if at + 20_000 > seconds * 1000 {
                squares += (curve.expected(at + 2000) - law(step, at + 2000)).powi(2);
                count += 1.0;
            }
        }
        if season.is_due(at) {
            let all: Vec<&History> = histories.iter().collect();
            season.choose_period(&all, at);
        }
    }
    (season, f64::sqrt(squares / count))
}

/// A load that swings around a mean, at another time for each step.
fn swing(period: f64, step: u64, at: u64) -> f64 {
    3.0 + 1.6 * (TAU * (at as f64 / period + step as f64 * 0.37)).sin()
}

#[test_case(10_000.0, |s, t| swing(10_000.0, s, t); "of 10 s")]
#[test_case(14_000.0, |s, t| swing(14_000.0, s, t); "of 14 s")]
#[test_case(20_000.0, |s, t| swing(20_000.0, s, t); "of 20 s")]
fn the_period_of_loads_is_found(period: f64, law: Law) {
    let (season, missed) = play(60, law);
    assert!(season.is_known());
    let found = season.prior.period;
    assert!((found / period - 1.0).abs() < 0.05, "{found} ms");
    assert!(missed < 0.3, "missed by {missed}");
}

/// What was seen last tells as much as any curve.
#[test]
fn curves_are_not_used_for_loads_that_jump_without_pattern() {
    let law: Law = |s, t| 2.0 + mixed(t / 4000 * 31 + s);
    let (season, _) = play(60, law);
    assert!(!season.is_known());
}

/// A figure that is off by a tenth tells less than the mean of many.
#[test]
fn a_load_that_stays_is_foreseen_as_it_is() {
    let (_, missed) = play(60, |_, _| 2.0);
    assert!(missed < 0.1, "missed by {missed}");
}

/// Returns a number from 0 to 2 without pattern.
fn mixed(seed: u64) -> f64 {
    let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 40) as f64 / f64::from(1 << 23)
}

/// All loads rise by a third of the headroom at once, and stay so.
#[test]
fn a_load_that_rises_for_good_is_followed() {
    let law: Law = |s, t| swing(20_000.0, s, t) - if t > 45_000 { 1.0 } else { 0.0 };
    let (_, missed) = play(70, law);
    assert!(missed < 0.45, "missed by {missed}");
}

/// Without a point a step is thought to be as the others; after five seconds of figures its
/// curve foresees the next two.
#[test]
fn a_step_that_is_new_is_foreseen_soon() {
    let (season, _) = play(60, |s, t| swing(20_000.0, s, t));
    let mut history = History::default();
    for at in (60_000..65_000).step_by(EACH as usize) {
        history.note(Point {
            at,
            headroom: swing(20_000.0, 3, at),
            precision: 20.0,
        });
    }
    let curve = history.fit(&season.prior, 65_000).curve;
    let missed = curve.expected(67_000) - swing(20_000.0, 3, 67_000);
    assert!(missed.abs() < 0.35, "missed by {missed}");
}
