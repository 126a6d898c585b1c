//! Evacuated availability zones: no run starts there, and existing runs continue.

use crate::common::{World, WorldSettings, chain, check_invariants, short};
use gorsespur_jobs::{JobId, Outcome, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Returns the zones of the world.
fn zones() -> [std::sync::Arc<str>; 2] {
    [World::zone(0), World::zone(1)]
}

/// Returns the number of runs on the workers of a zone.
fn runs_in(world: &World, zone: &str) -> usize {
    let workers = world.workers.iter().enumerate();
    let inside = workers.filter(|(at, _)| *World::zone(*at) == *zone);
    inside.map(|(_, w)| w.runs.len()).sum()
}

#[test]
fn existing_runs_continue_and_new_ones_start_elsewhere() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let step = Step {
        long_running: true,
        ..short(8, 0)
    };
    world.submit(1, chain(vec![step]));
    world.run(1000);
    let [first, second] = zones();
    let before = runs_in(&world, &first);
    assert!(before > 0);
    world.evacuate(std::slice::from_ref(&first));
    let id = world.submit(2, chain(vec![short(8, 60_000)]));
    world.run(1000);
    assert_eq!(world.outcome(id), Outcome::Active);
    assert_eq!(runs_in(&world, &first), before);
    assert_eq!(runs_in(&world, &second), 8 - before + 8);
}

#[test]
fn a_zone_is_used_again_after_the_evacuation() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let [first, second] = zones();
    world.evacuate(&[first.clone(), second]);
    let id = world.submit(1, chain(vec![short(8, 60_000)]));
    world.run(1000);
    assert_eq!(world.outcome(id), Outcome::Pending);
    world.evacuate(&[]);
    world.run(1000);
    assert_eq!(world.outcome(id), Outcome::Active);
    assert_eq!(runs_in(&world, &first), 4);
}

#[test]
fn a_new_owner_and_joining_workers_respect_the_evacuation() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let [first, _] = zones();
    world.evacuate(std::slice::from_ref(&first));
    world.run(100);
    let lease_end = world.lease_end();
    world.take_over(lease_end);
    world.announce(0, false);
    world.announce(0, true);
    world.submit(1, chain(vec![short(8, 60_000)]));
    world.run(1000);
    assert_eq!(runs_in(&world, &first), 0);
}

#[test]
fn an_unknown_zone_changes_nothing() {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    world.evacuate(&["nowhere".into(), "".into()]);
    let id = world.submit(1, chain(vec![short(8, 500)]));
    assert!(world.run_until_done(3000));
    assert_eq!(world.outcome(id), Outcome::Complete);
}

/// Evacuations come and go while owners change, workers leave and the store is unavailable.
#[test]
fn random_series_of_evacuations_break_no_promise() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(WorldSettings {
            workers: 6,
            attempts: 40,
            seed,
            lost_percent: rng.random_range(0..4),
            reuse_names: false,
            ..WorldSettings::default()
        });
        world.run(100);
        for round in 0..rng.random_range(3..9) {
            for id in 0..rng.random_range(1..6) {
                let steps = vec![short(3, 400), short(2, 700)];
                world.submit(round * 10 + id, chain(steps));
            }
            let requested: Vec<_> = zones()
                .into_iter()
                .filter(|_| rng.random_bool(0.5))
                .collect();
            world.evacuate(&requested);
            world.run(rng.random_range(0..3000));
            match rng.random_range(0..6) {
                0 => {
                    let lease_end = world.lease_end();
                    world.take_over(lease_end);
                }
                1 => {
                    world.pause(true);
                    world.run(2500);
                    world.pause(false);
                }
                2 => {
                    world.pause(true);
                    let lease_end = world.lease_end();
                    world.run(9000);
                    world.take_over(lease_end);
                }
                3 => world.store_down = true,
                4 => world.announce(rng.random_range(0..6), false),
                _ => {}
            }
            world.run(rng.random_range(0..6000));
            world.store_down = false;
        }
        world.evacuate(&[]);
        for at in 0..6 {
            world.announce(at, true);
        }
        let done = world.run_until_done(120_000);
        check_invariants(&world, seed);
        assert!(done, "seed {seed}: unfinished jobs");
        assert_eq!(world.outcome(JobId(0)), Outcome::Complete);
    }
}
