//! Bugs that were found, each with its cause and the day that showed it.

use crate::common::{Mode, World, WorldSettings, chain, short};
use gorsespur_jobs::{Outcome, Step};

fn serving(count: u32) -> Step {
    Step {
        lasting: true,
        target: 100,
        image: Some("serve".into()),
        ..short(count, 0)
    }
}

fn filling(count: u32, estimate: u64) -> Step {
    Step {
        fill: true,
        image: Some("fill".into()),
        ..short(count, estimate)
    }
}

/// Lasting tasks waited for 16 s beside free workers.
///
/// Cause: after one failure a worker with other runs got no work until one did
/// well, and lasting tasks never end. Found by a hunt: weldcert, mix seed
/// 990066804524, LOST 5.
#[test]
fn a_worker_is_tried_again_though_its_runs_never_end() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.run(100);
    world.submit(1, chain(vec![serving(2)]));
    world.run(1000);
    world.workers[0].mode = Mode::FailsAll;
    world.submit(2, chain(vec![short(1, 500)]));
    world.run(400);
    world.workers[0].mode = Mode::Well;
    let id = world.submit(3, chain(vec![serving(1)]));
    world.run(6000);
    assert_eq!(world.outcome(id), Outcome::Active);
}

/// A serving task stayed over its target for 4 s while others filled beside it.
///
/// Cause: the time over the target began anew with each figure a little below it,
/// and figures are rough. Found by a hunt: tmdro, mix seed 652337052647, HARM 1.
#[test]
fn one_low_figure_does_not_end_the_time_over_the_target() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        ..WorldSettings::default()
    });
    world.workers[0].tails = vec![105, 102, 85, 104];
    world.run(100);
    world.submit(1, chain(vec![serving(1)]));
    world.run(1000);
    world.submit(2, chain(vec![filling(3, 60_000)]));
    let mut harmed = 0;
    let mut filled = false;
    for _ in 0..200 {
        world.run(50);
        let runs = &world.workers[0].runs;
        match runs.iter().any(|r| r.fill && r.pace > 0) {
            true => {
                harmed += 50;
                filled = true;
            }
            false => harmed = 0,
        }
        assert!(
            harmed < 4000,
            "filled for 4 s beside a tail over its target"
        );
    }
    assert!(filled);
}
