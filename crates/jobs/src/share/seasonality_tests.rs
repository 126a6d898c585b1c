//! Tests which period is chosen, and when curves are reliable.

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

/// Steps of the simulated deployment.
const STEPS: u64 = 20;

/// Time between two points of a step.
const POINT_INTERVAL_MS: u64 = 500;

/// Headroom of a step (first argument) at a time in milliseconds (second argument).
type HeadroomAt = fn(u64, u64) -> f64;

/// Simulates steps with these headrooms, measured with an error of up to a tenth. Returns the
/// seasonality at the end, and the root mean square error of the curves' forecasts for 2 s later,
/// over the last 20 s.
fn simulate(seconds: u64, headroom_at: HeadroomAt) -> (Seasonality, f64) {
    let mut seasonality = Seasonality::default();
    let mut histories = vec![History::default(); STEPS as usize];
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut squares, mut count) = (0.0, 0.0);
    for at in (0..seconds * 1000).step_by(POINT_INTERVAL_MS as usize) {
        seasonality.decay(at);
        for (step, history) in (0..).zip(&mut histories) {
            let headroom = headroom_at(step, at) * rng.random_range(0.9..1.1);
            history.push(Point {
                at,
                headroom,
                precision: 20.0,
            });
            let step_key = StepKey {
                job: JobId(step),
                repetition: 0,
                step: 0,
            };
            seasonality.score(step_key, headroom, at);
            let curve = history.fit(&seasonality.prior, at).curve;
            seasonality.add_forecast(step_key, &curve, headroom, at);
            if at + 20_000 > seconds * 1000 {
                squares += (curve.expected(at + 2000) - headroom_at(step, at + 2000)).powi(2);
                count += 1.0;
            }
        }
        if seasonality.is_due(at) {
            let all: Vec<&History> = histories.iter().collect();
            seasonality.choose_period(&all, at);
        }
    }
    (seasonality, f64::sqrt(squares / count))
}

/// Returns a headroom that oscillates around a mean, with a phase of its own for each step.
fn periodic_headroom(period: f64, step: u64, at: u64) -> f64 {
    3.0 + 1.6 * (TAU * (at as f64 / period + step as f64 * 0.37)).sin()
}

#[test_case(10_000.0, |s, t| periodic_headroom(10_000.0, s, t); "of 10 s")]
#[test_case(14_000.0, |s, t| periodic_headroom(14_000.0, s, t); "of 14 s")]
#[test_case(20_000.0, |s, t| periodic_headroom(20_000.0, s, t); "of 20 s")]
fn the_period_of_loads_is_found(period: f64, headroom_at: HeadroomAt) {
    let (seasonality, error) = simulate(60, headroom_at);
    assert!(seasonality.is_reliable());
    let found = seasonality.prior.period;
    assert!((found / period - 1.0).abs() < 0.05, "{found} ms");
    assert!(error < 0.3, "forecast error {error}");
}

/// Where the load has no pattern, the last value is as good a forecast as any curve.
#[test]
fn curves_are_not_used_for_loads_that_jump_without_pattern() {
    let headroom_at: HeadroomAt = |s, t| 2.0 + pseudo_random(t / 4000 * 31 + s);
    let (seasonality, _) = simulate(60, headroom_at);
    assert!(!seasonality.is_reliable());
}

/// A single measurement is off by up to a tenth, the mean of many is closer.
#[test]
fn a_constant_load_is_forecast_unchanged() {
    let (_, error) = simulate(60, |_, _| 2.0);
    assert!(error < 0.1, "forecast error {error}");
}

/// Returns a pseudo-random number from 0 to 2.
fn pseudo_random(seed: u64) -> f64 {
    let hash = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash >> 40) as f64 / f64::from(1 << 23)
}

/// All headrooms fall by 1, a third of their mean, at once and stay there.
#[test]
fn a_permanent_rise_of_the_load_is_followed() {
    let headroom_at: HeadroomAt =
        |s, t| periodic_headroom(20_000.0, s, t) - if t > 45_000 { 1.0 } else { 0.0 };
    let (_, error) = simulate(70, headroom_at);
    assert!(error < 0.45, "forecast error {error}");
}

/// A step without points is assumed to be like the others. After five seconds of points its curve
/// forecasts the next two.
#[test]
fn a_new_step_is_forecast_after_five_seconds() {
    let (seasonality, _) = simulate(60, |s, t| periodic_headroom(20_000.0, s, t));
    let mut history = History::default();
    for at in (60_000..65_000).step_by(POINT_INTERVAL_MS as usize) {
        history.push(Point {
            at,
            headroom: periodic_headroom(20_000.0, 3, at),
            precision: 20.0,
        });
    }
    let curve = history.fit(&seasonality.prior, 65_000).curve;
    let error = curve.expected(67_000) - periodic_headroom(20_000.0, 3, 67_000);
    assert!(error.abs() < 0.35, "forecast error {error}");
}
