//! Each fault of the brief alone, twice in succession, and together with every other fault.

mod common;

use common::{Fault, World, WorldSettings, check_invariants, checks::done_counts, spec};
use gorsespur_core::template::Priority;
use test_case::test_case;

/// Times between two faults.
const GAPS_MS: [u64; 3] = [0, 700, 5_000];

/// Maximum virtual time until every job has ended after the last fault.
const LIMIT_MS: u64 = 500_000;

fn busy_world(seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        seed,
        ..WorldSettings::default()
    });
    for i in 0..16 {
        let priority = if i % 3 == 0 {
            Priority::Bulk
        } else {
            Priority::Normal
        };
        world.submit(spec(&format!("job{i}"), 2, 2_000 + i * 2_500, priority));
    }
    world.run(1_500);
    world
}

fn check_faults(faults: &[Fault], gap: u64) {
    let mut world = busy_world(gap + faults.len() as u64);
    for (i, fault) in faults.iter().enumerate() {
        world.inject(*fault, i + 1);
        world.run(gap);
    }
    let finished = world.run_until_finished(LIMIT_MS);
    world.end_faults();
    world.run(3_000);
    check_invariants(&world);
    assert!(finished, "not finished after {faults:?} with gap {gap}");
    done_counts(&world);
}

#[test_case(Fault::OwnerDies)]
#[test_case(Fault::OwnerPaused)]
#[test_case(Fault::StoreDown)]
#[test_case(Fault::OwnerCutFromStore)]
#[test_case(Fault::WorkerDies)]
#[test_case(Fault::RackDies)]
#[test_case(Fault::WorkerReboots)]
#[test_case(Fault::WorkerCut)]
#[test_case(Fault::WorkerKeepsOwner)]
#[test_case(Fault::WorkerPaused)]
#[test_case(Fault::AnswersLost)]
#[test_case(Fault::RequestsLate)]
#[test_case(Fault::RequestsTwice)]
#[test_case(Fault::WorkerFailsAll)]
#[test_case(Fault::WorkerLeaves)]
#[test_case(Fault::Cancels)]
#[test_case(Fault::UrgentComes)]
fn alone_twice_and_with_every_other(fault: Fault) {
    check_faults(&[fault], 0);
    for gap in GAPS_MS {
        check_faults(&[fault, fault], gap);
        for other in Fault::ALL {
            check_faults(&[fault, other], gap);
        }
    }
}
