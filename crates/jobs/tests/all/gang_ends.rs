//! Gangs of which one member is stopped while the others complete.

use crate::common::{World, WorldSettings, chain, check_invariants, short, with_checkpoints};
use gorsespur_jobs::{Ending, Step};

/// Estimate of the gang's work in milliseconds. It is so high that the owner expects no run to end
/// before a leaving worker does, and stops it.
const ESTIMATE_MS: u64 = 20_000;

/// Starts a gang that works for `work` milliseconds on three workers and a step after it, lets the
/// worker of a member leave `leaves_after` milliseconds after the gang was submitted, and runs the
/// world until the gang has ended.
fn world(work: u64, leaves_after: u64) -> World {
    let mut world = World::new(WorldSettings {
        workers: 4,
        ..WorldSettings::default()
    });
    for worker in &mut world.workers {
        worker.task_ms = Some(work);
    }
    world.run(100);
    let gang = Step {
        gang: true,
        max_per_worker: 1,
        ..with_checkpoints(short(3, ESTIMATE_MS))
    };
    world.submit(1, chain(vec![gang, short(2, 300)]));
    world.run(leaves_after);
    let member = world.workers.iter().position(|w| !w.runs.is_empty());
    world.announce(member.expect("the gang runs"), false);
    while world.now < 3_600_100 + 1500 && world.workers.iter().all(|w| w.finished.is_empty()) {
        world.run(5);
    }
    world
}

/// Returns whether a member of the gang has ended in this way.
fn has_end(world: &World, ending: Ending) -> bool {
    let ends = world.workers.iter().flat_map(|w| &w.finished);
    ends.into_iter().any(|e| e.ending == ending)
}

/// One end `done` stands for all members of a gang, so that the next step may start although the
/// stop of one member took effect as the others completed.
#[test]
fn a_step_after_a_gang_starts_after_one_member_was_done() {
    let mut mixed_ends = 0;
    // The owner sends stops every 20 ms.
    let works = (1000..1020).step_by(5);
    for (work, leaves_after) in works.flat_map(|w| (700..1000).step_by(20).map(move |l| (w, l))) {
        let mut world = world(work, leaves_after);
        let is_mixed = has_end(&world, Ending::Stopped) && has_end(&world, Ending::Done);
        mixed_ends += u32::from(is_mixed);
        let done = world.run_until_done(30_000);
        check_invariants(&world, leaves_after);
        assert!(done, "{work} {leaves_after}: unfinished job");
    }
    assert!(
        mixed_ends > 0,
        "no member was stopped as the others completed"
    );
}
