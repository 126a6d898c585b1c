//! Memory of an owner, by what callers choose freely. A test binary of its own, since all memory of
//! the process is counted.

#![expect(
    dead_code,
    unused_imports,
    reason = "the simulation of the other tests is used in part"
)]

#[path = "all/common/mod.rs"]
mod common;
#[path = "all/ledger.rs"]
mod ledger;

use std::alloc::System;

use cap::Cap;
use common::{World, WorldSettings, chain, long_running, short};
use gorsespur_jobs::Step;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const WORKERS: usize = 10;

/// Images of serving and of best-effort tasks.
const SERVING: u64 = 100;
const FILLING: u64 = 250;

/// Milliseconds between two best-effort jobs.
const INTERVAL_MS: u64 = 200;

/// Bytes that an instance may take for everything, as users ask at the target size.
const MAX_BYTES: usize = 32 << 20;

/// Guards against owners that outgrow their memory one after the other: each of many serving images
/// runs beside each of many best-effort images.
#[test]
fn the_model_of_interference_is_bounded_in_bytes() {
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    for at in 0..WORKERS {
        world.workers[at].capacity = (32_000, 125_000);
        world.announce(at, true);
    }
    world.run(100);
    for number in 0..SERVING {
        let step = Step {
            cpu: 400,
            latency_target: 150,
            image: Some(format!("serve-{number}").into()),
            ..long_running(1)
        };
        world.submit(number, chain(vec![step]));
    }
    world.run(2000);
    let before = ALLOCATOR.allocated();
    for number in 0..2 * FILLING {
        let step = Step {
            best_effort: true,
            memory: 64,
            max_per_worker: 1,
            image: Some(format!("fill-{}", number % FILLING).into()),
            ..short(WORKERS as u32, 1500)
        };
        world.submit(1_000_000 + number, chain(vec![step]));
        world.run(INTERVAL_MS);
    }
    let grown = ALLOCATOR.allocated().saturating_sub(before);
    println!("{} KB more", grown >> 10);
    assert!(grown < MAX_BYTES, "{grown} bytes");
}
