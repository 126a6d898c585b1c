//! Workers whose room shrinks and grows while they run.
//!
//! Placement looks at what a worker announced; the start follows once its place is durable. With
//! a store that was away in between, the place was chosen seconds before the start was sent, and
//! on a worker that does not guard itself it began beyond the room that was left by then.

use crate::common::{World, WorldSettings, chain, check_seed, saving_some, serving, short};
use gorsespur_jobs::{JobId, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Cores and memory of a worker in full.
const FULL: (u64, u64) = (8000, 16000);

/// A world of workers that start whatever they are told.
fn world(workers: usize, seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        seed,
        ..WorldSettings::default()
    });
    for worker in &mut world.workers {
        worker.guards = false;
    }
    world.run(100);
    world
}

/// A worker's room changes; owners hear of it if they hear anything.
fn resize(world: &mut World, at: usize, room: (u64, u64)) {
    let now = world.now;
    world.workers[at].resize(room, now);
    if !world.store_down {
        world.announce(at, true);
    }
}

#[test]
fn nothing_begins_in_room_that_is_gone_by_then() {
    let mut world = world(2, 0);
    let id = world.submit(1, chain(vec![short(12, 2000)]));
    world.run(5);
    world.store_down = true;
    world.unheard = true;
    resize(&mut world, 0, (1000, 2000));
    resize(&mut world, 1, (1000, 2000));
    world.run(5000);
    assert_eq!(world.figures().starts, 0, "not durable yet");
    // The write is confirmed a little before the workers' rows are read again.
    world.store_down = false;
    world.run(300);
    check_seed(&world, 0);
    world.unheard = false;
    for at in 0..2 {
        world.announce(at, true);
    }
    world.run(3000);
    for at in 0..2 {
        resize(&mut world, at, FULL);
    }
    assert!(world.run_until_done(30_000));
    assert_eq!(world.outcome(id), gorsespur_jobs::Outcome::Complete);
    check_seed(&world, 0);
}

/// The same if the owner has heard of it meanwhile.
#[test]
fn nothing_begins_in_room_that_is_known_to_be_gone() {
    let mut world = world(1, 0);
    world.submit(1, chain(vec![short(6, 2000)]));
    world.run(5);
    world.store_down = true;
    let now = world.now;
    world.workers[0].resize((1000, 2000), now);
    world.announce(0, true);
    world.run(5000);
    world.store_down = false;
    world.run(2000);
    check_seed(&world, 0);
    resize(&mut world, 0, FULL);
    assert!(world.run_until_done(30_000));
}

/// Nothing begins on a worker that has too much of one thing, though it asks for none of that.
#[test]
fn what_fills_does_not_begin_where_there_is_too_much() {
    let mut world = world(1, 0);
    world.submit(1, chain(vec![serving(6)]));
    world.run(1500);
    resize(&mut world, 0, (4000, 16000));
    let fill = Step {
        fill: true,
        image: Some("fill".into()),
        ..short(1, 500)
    };
    world.submit(2, chain(vec![fill]));
    world.run(7000);
    assert_eq!(world.workers[0].runs.len(), 6);
    // It is not even tried: a place that is chosen and dropped costs a write each time.
    assert!(world.figures().commits < 10, "{:?}", world.figures());
    check_seed(&world, 0);
}

/// What runs on a worker when its room shrinks goes on, and nothing more begins there until
/// enough of it has ended; what is being stopped still counts.
#[test]
fn a_worker_that_shrank_gets_nothing_until_there_is_room() {
    let mut world = world(1, 0);
    world.submit(1, chain(vec![serving(6)]));
    world.run(1500);
    assert_eq!(world.workers[0].runs.len(), 6);
    resize(&mut world, 0, (4000, 16000));
    world.submit(2, chain(vec![short(2, 300)]));
    world.run(6000);
    assert_eq!(world.workers[0].runs.len(), 6, "none stopped, none begun");
    world.cancel(JobId(1));
    assert!(world.run_until_done(10_000));
    check_seed(&world, 0);
}

#[test]
fn rooms_that_shrink_and_grow_are_never_exceeded() {
    for seed in 0..20 {
        let mut world = world(6, seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        world.submit(1, chain(vec![serving(8)]));
        for id in 10..130 {
            let steps = vec![short(4, 700), short(3, 400)];
            world.submit(id, chain(saving_some(id, steps)));
            let at = rng.random_range(0..6);
            match rng.random_range(0..12) {
                0 => world.store_down = true,
                1 | 2 => {
                    let left = rng.random_range(1..8) * 1000;
                    resize(&mut world, at, (left, left * 2));
                }
                3 => resize(&mut world, at, FULL),
                4 => world.pause(true),
                _ => {
                    world.store_down = false;
                    world.pause(false);
                    (0..6).for_each(|at| world.announce(at, true));
                }
            }
            world.run(rng.random_range(20..500));
        }
        world.store_down = false;
        world.pause(false);
        (0..6).for_each(|at| resize(&mut world, at, FULL));
        assert!(world.run_until_done(60_000), "seed {seed}: jobs are left");
        check_seed(&world, seed);
    }
}
