//! A simulation of workers, a store and owners in virtual time.

mod checker;
mod checkpoints;
mod clock;
mod crash;
mod incarnations;
mod orders;
mod sim;
mod watched;
mod world;

pub use checker::Checker;
pub use checkpoints::Resumed;
pub use crash::Crasher;
pub use incarnations::Restart;
pub use orders::{Held, fencing_token};
pub use sim::{Mode, SimWorker};
pub use watched::{DRAIN_MS, MAX_STALL_MS, WatchedWorld};
pub use world::{World, WorldSettings, queue_policy};

use gorsespur_jobs::{Spec, Step};

/// Returns a step of short tasks.
pub fn short(count: u32, estimate: u64) -> Step {
    Step {
        count,
        cpu: 1000,
        memory: 1000,
        estimate,
        ..Step::default()
    }
}

/// Returns a step of long-running tasks.
pub fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        ..short(count, 0)
    }
}

/// Returns a step of serving tasks, which are long-running and have a latency target.
pub fn serving(count: u32) -> Step {
    Step {
        latency_target: 100,
        image: Some("serve".into()),
        ..long_running(count)
    }
}

/// Returns the same step with tasks that write checkpoints.
pub fn with_checkpoints(step: Step) -> Step {
    Step {
        checkpoints: true,
        ..step
    }
}

/// Returns the steps, with checkpoints for jobs that have an even number.
pub fn some_with_checkpoints(id: u64, steps: Vec<Step>) -> Vec<Step> {
    match id.is_multiple_of(2) {
        true => steps.into_iter().map(with_checkpoints).collect(),
        false => steps,
    }
}

/// Asserts that the checker found no violations in the world of a seed.
pub fn check_invariants(world: &World, seed: u64) {
    let violations = &world.checker.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Returns a job of these steps, each of which depends on the one before.
pub fn chain(mut steps: Vec<Step>) -> Spec {
    for (at, step) in steps.iter_mut().enumerate().skip(1) {
        step.deps = vec![at as u32 - 1];
    }
    Spec {
        payload: "work".into(),
        steps,
        ..Spec::default()
    }
}
