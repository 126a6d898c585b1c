//! Random interleavings of faults, checked against the invariants of the shard.
//!
//! `PROPTEST_CASES=2000 cargo test --release -p gorsespur-core --test promises`
//! runs more cases.

mod common;

use common::{Fault, World, WorldSettings, check_invariants, checks::done_counts, spec};
use gorsespur_core::template::Priority;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Number of cases without `PROPTEST_CASES`.
const CASES: u32 = 64;

/// Maximum virtual time until every job has ended after the last fault.
const LIMIT_MS: u64 = 1_500_000;

#[derive(Debug, Clone)]
enum Op {
    Inject(Fault, usize),
    Submit(u32, u64, bool),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let fault = prop::sample::select(Fault::ALL.to_vec());
    prop_oneof![
        4 => (fault, 0..8usize).prop_map(|(f, p)| Op::Inject(f, p)),
        2 => (1..4u32, 200..40_000u64, any::<bool>()).prop_map(|(t, r, u)| Op::Submit(t, r, u)),
        4 => (20..8_000u64).prop_map(Op::Wait),
    ]
}

fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|c| c.parse().ok());
    Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn nothing_is_lost_or_doubled(
        ops in prop::collection::vec(op(), 1..16),
        workers in 3..6usize,
        hold in prop::sample::select(vec![3_000u64, 12_000, 60_000]),
        seed in 0..1_000u64,
    ) {
        let mut world = World::new(WorldSettings { workers, hold, seed, ..WorldSettings::default() });
        for i in 0..14 {
            let run = 1_500 + i * 3_000;
            world.submit(spec(&format!("first{i}"), 2, run, Priority::Bulk));
        }
        world.run(2_000);
        for (i, op) in ops.iter().enumerate() {
            match op {
                Op::Inject(fault, pick) => world.inject(*fault, *pick),
                Op::Submit(tasks, run, urgent) => {
                    let priority = if *urgent { Priority::Urgent } else { Priority::Normal };
                    world.submit(spec(&format!("job{i}"), *tasks, *run, priority));
                }
                Op::Wait(time) => world.run(*time),
            }
        }
        world.run(1_000);
        let finished = world.run_until_finished(LIMIT_MS);
        world.end_faults();
        world.run(3_000);
        check_invariants(&world);
        prop_assert!(finished, "jobs are still open");
        done_counts(&world);
    }
}
