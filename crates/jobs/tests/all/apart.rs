//! Gangs that have to be isolated since several of their members may have crashed a worker.

use crate::common::{World, WorldSettings, chain, check_invariants, short};
use gorsespur_jobs::{Outcome, Step};

/// Returns a world of five workers, the first of which has crashed just after a whole gang had
/// started there, and has restarted. Each member may be the cause.
fn with_crashed_gang(members: u32) -> World {
    let mut world = World::new(WorldSettings {
        workers: 5,
        ..WorldSettings::default()
    });
    for worker in &mut world.workers[1..] {
        worker.partitioned = true;
    }
    world.run(2000);
    let gang = Step {
        gang: true,
        ..short(members, 800)
    };
    world.submit(1, chain(vec![gang]));
    world.run(100);
    assert_eq!(world.workers[0].runs.len(), members as usize);
    world.crash(0);
    for worker in &mut world.workers[1..] {
        worker.partitioned = false;
    }
    world.run(6000);
    world
}

#[test]
fn a_gang_waiting_for_isolation_keeps_no_workers_from_others() {
    for members in 2..=6 {
        let mut world = with_crashed_gang(members);
        let id = world.submit(2, chain(vec![short(8, 300)]));
        world.run(3000);
        check_invariants(&world, 0);
        assert_eq!(world.outcome(id), Outcome::Complete, "{members} members");
    }
}

#[test]
fn a_gang_whose_worker_crashed_once_runs_again() {
    for members in 2..=6 {
        let mut world = with_crashed_gang(members);
        assert!(world.run_until_done(30_000), "{members} members");
        check_invariants(&world, 0);
    }
}
