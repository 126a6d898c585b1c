//! Bugs that were found, each with its cause.

mod common;

use common::{Fault, World, WorldSettings, check_promises, spec};
use gorsespur_core::template::Priority;

/// A worker whose answer went missing inside the owner was never asked again.
///
/// Cause: the machine waited for the result of each exchange, however long.
/// Found by random interleavings: an owner that was paused together with an
/// outage of the table service lost the answers that came meanwhile.
#[test]
fn a_missing_answer_does_not_end_the_exchanges() {
    let mut world = World::new(WorldSettings::default());
    world.submit(spec("job", 3, 3_000, Priority::Normal));
    world.run(500);
    world.strike(Fault::StoreDown, 0);
    world.strike(Fault::OwnerPaused, 0);
    assert!(world.run_until_finished(120_000));
    check_promises(&world);
}

/// A worker that held a replica of a service never left its quarantine.
///
/// Cause: after a quarantine a worker gets one task at a time, and "none yet"
/// was taken as "no resident", but replicas stay through a quarantine. Found by
/// random interleavings: with the other workers gone nothing ran any more.
#[test]
fn a_quarantined_worker_with_a_replica_is_tried_again() {
    let mut world = World::new(WorldSettings {
        workers: 1,
        replicas: 1,
        ..WorldSettings::default()
    });
    world.strike(Fault::WorkerFailsAll, 0);
    for i in 0..4 {
        world.submit(spec(&format!("job{i}"), 1, 1_000, Priority::Normal));
    }
    assert!(world.run_until_finished(200_000));
    check_promises(&world);
    world.submit(spec("after", 1, 1_000, Priority::Normal));
    assert!(
        world.run_until_finished(60_000),
        "the worker is never tried again"
    );
}
