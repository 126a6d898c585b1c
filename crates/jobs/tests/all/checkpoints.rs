//! Checkpoints that workers list, and those that starts bring.
//!
//! A start brings a checkpoint that was listed for its very task. In a gang that of any member
//! will do, and all members bring the same. The tests' workers write checkpoints whose texts
//! tell nothing, and the judge knows where each was written.

use crate::common::{World, WorldSettings, chain, check_seed, saving, short};
use gorsespur_jobs::{JobId, Outcome, Step};

/// A world in which a job runs, one task on a worker.
fn world(step: Step) -> (World, JobId) {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let id = world.submit(1, chain(vec![Step { spread: 1, ..step }]));
    world.run(1500);
    let begun: Vec<_> = world.workers.iter().map(|w| w.runs.len()).collect();
    assert_eq!(begun, [1, 1, 1, 0]);
    (world, id)
}

/// Each task goes on from what it had done, whether its run was stopped or its worker crashed.
#[test]
fn a_task_goes_on_from_its_own_checkpoint() {
    let (mut world, id) = world(saving(short(3, 3000)));
    world.crash(0);
    world.announce(1, false);
    assert!(world.run_until_done(8000));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_seed(&world, 0);
    let brought = world.judge.checkpoints.brought;
    assert_eq!((brought.starts, brought.none), (2, 0), "{brought:?}");
}

/// A worker of a gang crashed. The gang began again, each member with the checkpoint that it
/// had written itself, though a gang goes on from one that all of them bring. What a start
/// brought was each task's own last text, and nothing compared the members: run 2 of the three
/// tasks began with three different texts. Now they share the newest one when they are placed.
#[test]
fn all_members_of_a_gang_bring_the_same_checkpoint() {
    let gang = Step {
        gang: true,
        ..short(3, 3000)
    };
    let (mut world, id) = world(saving(gang));
    world.crash(0);
    assert!(world.run_until_done(15_000));
    assert_eq!(world.outcome(id), Outcome::Complete);
    check_seed(&world, 0);
}
