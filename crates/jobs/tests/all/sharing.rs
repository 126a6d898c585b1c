//! What fills beside what serves, where loads swing and tails grow as in a queue.

use crate::common::{World, WorldSettings, chain, short};
use gorsespur_jobs::Step;

const WORKERS: usize = 8;

/// A world with two jobs that serve on all workers, after five calm seconds.
fn world() -> World {
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    for worker in &mut world.workers {
        worker.queues = true;
    }
    world.run(100);
    for id in 1..3 {
        let serve = Step {
            lasting: true,
            target: 100,
            spread: 1,
            image: Some("serve".into()),
            ..short(WORKERS as u32, 0)
        };
        world.submit(id, chain(vec![serve]));
    }
    world.run(5000);
    world
}

fn filling(image: &str, count: u32) -> Step {
    Step {
        fill: true,
        image: Some(image.into()),
        ..short(count, 2_000)
    }
}

/// What became of 40 s in which jobs fill, in seconds of tasks.
#[derive(Debug, Default)]
struct Seen {
    served: f64,
    over: f64,
    harmless: f64,
    /// Of these, at less than full pace.
    slowed: f64,
    heavy: f64,
}

/// Fills with four harmless images and a heavy one; what the first 10 s teach does
/// not count.
fn fill() -> Seen {
    let mut world = world();
    let mut seen = Seen::default();
    for step in 0..800 {
        if step % 10 == 0 {
            let image = ["light", "thin", "small", "soft"][step / 10 % 4];
            world.submit(1000 + step as u64, chain(vec![filling(image, 4)]));
            world.submit(5000 + step as u64, chain(vec![filling("heavy", 2)]));
        }
        world.run(50);
        if step >= 200 {
            count(&world, &mut seen);
        }
    }
    seen
}

fn count(world: &World, seen: &mut Seen) {
    for worker in &world.workers {
        for run in &worker.runs {
            if run.target > 0 {
                seen.served += 0.05;
                seen.over += 0.05 * f64::from(worker.headroom(world.now, run) < 1.0);
                continue;
            }
            if run.image.as_deref() == Some("heavy") {
                seen.heavy += 0.05 * f64::from(run.pace) / 100.0;
                continue;
            }
            seen.harmless += 0.05;
            seen.slowed += 0.05 * f64::from(run.pace < 100);
        }
    }
}

#[test]
fn what_does_not_disturb_is_not_slowed_by_a_swinging_load() {
    let seen = fill();
    assert!(seen.slowed < 0.001 * seen.harmless, "{seen:?}");
}

#[test]
fn what_disturbs_works_as_far_as_the_load_lets_it() {
    let seen = fill();
    assert!(seen.over < 0.003 * seen.served, "{seen:?}");
    assert!(seen.heavy > 150.0, "{seen:?}");
}

#[test]
fn what_serves_begins_where_nothing_disturbs_it() {
    let mut world = world();
    let long = |image: &str| Step {
        count: 4,
        estimate: 60_000,
        spread: 1,
        ..filling(image, 4)
    };
    world.submit(10, chain(vec![long("heavy")]));
    world.run(200);
    world.submit(11, chain(vec![long("light")]));
    world.run(8000);
    let serve = Step {
        lasting: true,
        target: 100,
        spread: 1,
        image: Some("serve".into()),
        ..short(4, 0)
    };
    let before: Vec<usize> = world.workers.iter().map(|w| w.runs.len()).collect();
    world.submit(12, chain(vec![serve]));
    world.run(300);
    for (worker, before) in world.workers.iter().zip(before) {
        let mut images = worker.runs.iter().filter_map(|r| r.image.as_deref());
        let disturbed = images.any(|i| i == "heavy");
        let begun = worker.runs.len() > before;
        assert!(!(begun && disturbed), "{:?}", worker.runs);
    }
}
