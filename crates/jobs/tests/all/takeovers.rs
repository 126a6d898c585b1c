//! Takeovers, and what a new owner does not know of its workers.

use crate::common::{World, WorldSettings, chain, check_seed};
use gorsespur_jobs::{JobId, Step};

/// A job of four lasting tasks, one on each worker.
const LASTING: JobId = JobId(1);

/// A world whose workers have one lasting task each.
fn world() -> World {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let step = Step {
        count: 4,
        cpu: 1000,
        memory: 1000,
        lasting: true,
        spread: 1,
        ..Step::default()
    };
    world.submit(LASTING.0, chain(vec![step]));
    world.run(1500);
    assert!(world.workers.iter().all(|w| w.runs.len() == 1));
    world
}

/// Takes a worker away, and with it its row.
fn vanish(world: &mut World, at: usize) {
    world.workers[at].alive = false;
    world.workers[at].runs.clear();
}

/// An operator sees how many tasks wait for a worker that the new owner can't ask.
#[test]
fn runs_on_a_worker_that_has_vanished_are_counted() {
    let mut world = world();
    world.pause(true);
    vanish(&mut world, 0);
    let over = world.lease_end();
    world.take_over(over);
    assert_eq!(world.figures().unheard, 4);
    world.run(500);
    assert_eq!(world.figures().unheard, 1);
    world.run(over - world.now + 500);
    assert_eq!(world.figures().unheard, 0);
    check_seed(&world, 0);
}
