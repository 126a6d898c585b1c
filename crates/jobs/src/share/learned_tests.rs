//! What is learned stays within one row of the store, and numbers of images within their limit.

use std::sync::Arc;

use crate::{
    model::spec::{Spec, Step},
    scheduler::Scheduler,
    settings::Settings,
    share::{images::MAX_IMAGES, learned::PairWeight, sample::Image},
    takeover::Takeover,
};

fn scheduler() -> Scheduler {
    let takeover = Takeover {
        asked_at: 0,
        prior_leases_end: 0,
    };
    Scheduler::new(Settings::default(), 0, takeover)
}

fn name(number: usize, length: usize) -> Arc<str> {
    format!("{number:0length$}").into()
}

fn pair(best_effort_image: Image, serving_image: Image, seen: f32) -> PairWeight {
    PairWeight {
        best_effort_image,
        serving_image,
        weight: 6.5,
        seen,
    }
}

/// The row held all names that any job had, and outgrew the store's limit.
#[test]
fn a_row_of_estimates_fits_the_limit_of_the_store() {
    let mut owner = scheduler();
    let images: Vec<Image> = (0..400)
        .map(|n| owner.number_image(&name(n, 300)))
        .collect();
    for (n, &image) in images.iter().enumerate() {
        for &serving in &images[..5] {
            owner
                .interference
                .restore(&pair(image, serving, n as f32 + 1.0));
        }
    }
    for n in 0..2000 {
        owner.estimates.or_default(&name(n, 100)).observe(100, 200);
    }
    let learned = owner.learned();
    let row = rmp_serde::to_vec(&learned).expect("a row");
    let limit = owner.settings.row_bytes;
    assert!(
        (limit / 10 * 8..=limit).contains(&row.len()),
        "{}",
        row.len()
    );
    // The pairs with the most evidence are kept, under their names.
    let mut next = scheduler();
    next.import_learned(&learned);
    let best_effort = next.number_image(&name(399, 300));
    let serving = next.number_image(&name(4, 300));
    assert_eq!(next.interference.weight(best_effort, serving), 6.5);
}

/// A queue whose name alone exceeds the limit is left out, and nothing else.
#[test]
fn a_name_beyond_the_limit_is_left_out() {
    let mut owner = scheduler();
    owner
        .estimates
        .or_default(&"q".repeat(70_000).into())
        .observe(100, 200);
    owner.estimates.or_default(&name(2, 20)).observe(100, 200);
    let row = rmp_serde::to_vec(&owner.learned()).expect("a row");
    assert!((60..200).contains(&row.len()), "{}", row.len());
}

fn spec(step: Step) -> Spec {
    Spec {
        steps: vec![step],
        ..Spec::default()
    }
}

fn best_effort(name: Arc<str>) -> Spec {
    spec(Step {
        count: 1,
        image: Some(name),
        best_effort: true,
        ..Step::default()
    })
}

/// From the 65,536th name on, two images shared one number, and no name was ever forgotten.
#[test]
fn images_in_use_keep_numbers_of_their_own() {
    let mut owner = scheduler();
    let kept: Vec<Image> = (0..100)
        .flat_map(|n| owner.acquire_images(&best_effort(name(n, 9))))
        .collect();
    for n in 100..70_000 {
        let images = owner.acquire_images(&best_effort(name(n, 9)));
        assert!(images[0] > 0 && !kept.contains(&images[0]));
        owner.release_images(&images);
    }
    assert_eq!(owner.images.len(), MAX_IMAGES);
    for (n, &image) in kept.iter().enumerate() {
        assert_eq!(owner.number_image(&name(n, 9)), image);
    }
}

/// A number that goes to another image brings nothing of what was learned about the first one.
#[test]
fn a_reused_number_starts_without_evidence() {
    let mut owner = scheduler();
    let first = owner.number_image(&name(0, 9));
    let serving = owner.acquire_images(&best_effort(name(1, 9)))[0];
    let unknown = owner.interference.weight(first, serving);
    owner.interference.restore(&pair(first, serving, 5.0));
    owner.now = 1;
    let others = (2..=MAX_IMAGES).map(|n| owner.number_image(&name(n, 9)));
    let others: Vec<Image> = others.collect();
    assert!(others.contains(&first));
    assert_eq!(owner.interference.weight(first, serving), unknown);
}

/// Images of tasks that neither serve nor fill are of no use to the model.
#[test]
fn other_images_have_no_number() {
    let mut owner = scheduler();
    let step = Step {
        count: 1,
        image: Some(name(1, 9)),
        ..Step::default()
    };
    assert_eq!(owner.acquire_images(&spec(step)), [0]);
    assert_eq!(owner.images.len(), 0);
}
