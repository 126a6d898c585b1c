//! Tests of the bounds of the interference model.

use std::sync::Arc;

use super::{
    interference::{Interference, MAX_ENTRIES},
    sample::{Image, Pressure, StepKey},
};
use crate::model::ids::JobId;

fn step_key(number: u64) -> StepKey {
    StepKey {
        job: JobId(number),
        repetition: 0,
        step: 0,
    }
}

/// Adds three samples of a serving image beside these best-effort images.
fn observe(model: &mut Interference, serving: Image, best_effort: impl Iterator<Item = Image>) {
    let pressures = best_effort.map(|image| Pressure { image, share: 0.1 });
    let pressures: Arc<[Pressure]> = pressures.collect();
    for headroom in [1.5, 1.6, 1.7] {
        let key = step_key(serving.into());
        model.add_sample(key, serving, headroom, &pressures);
    }
}

/// Guards against a model without a bound in bytes: hundreds of best-effort images run on one worker
/// beside hundreds of serving ones.
#[test]
fn images_that_all_run_at_once_take_no_more_than_the_bound() {
    let mut model = Interference::default();
    for _ in 0..6 {
        for serving in 1..250 {
            observe(&mut model, serving, 250..512);
        }
        model.fit(|_| Some(2.0));
        assert!(model.size() <= MAX_ENTRIES, "{} entries", model.size());
    }
    assert!(model.size() > 0);
}

/// Where there are too many pairs, those with the most evidence are kept.
#[test]
fn pairs_with_much_evidence_outlast_others() {
    let mut model = Interference::default();
    for round in 0..400 {
        observe(&mut model, 1, 300..302);
        let serving = 2 + round % 240;
        observe(&mut model, serving, 310..510);
        model.fit(|_| Some(2.0));
    }
    let known = model.known_weights();
    for image in 300..302 {
        let is_known = known
            .iter()
            .any(|p| p.serving_image == 1 && p.best_effort_image == image);
        assert!(is_known, "{image}");
    }
}

/// Images that have not been observed for minutes are forgotten, and count as unknown as before.
#[test]
fn old_evidence_is_forgotten() {
    let mut model = Interference::default();
    observe(&mut model, 1, 2..6);
    model.fit(|_| Some(2.0));
    let before = model.weight(2, 1);
    assert!(model.size() > 0);
    for _ in 0..600 {
        model.fit(|_| None);
    }
    assert_eq!(model.size(), 0);
    let unknown = model.weight(9, 1);
    assert!((before - unknown).abs() > 0.1, "{before}");
    assert_eq!(model.weight(2, 1), unknown);
}
