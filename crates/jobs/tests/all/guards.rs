//! One test for each safeguard whose removal the tables of faults did not detect; see
//! docs/PROMISES.md.

use gorsespur_jobs::{JobId, Outcome};

use crate::common::{Mode, World, WorldSettings, chain, short};

/// An unreachable worker continues its runs until the lease expires on its own clock, which may be
/// slow.
#[test]
fn a_long_task_waits_for_the_lease_of_a_partitioned_worker() {
    for at in 0..4 {
        let mut world = World::new(WorldSettings::default());
        world.run(100);
        world.submit(1, chain(vec![short(8, 30_000)]));
        world.run(1500);
        world.workers[at].partitioned = true;
        world.run(12_000);
        assert!(
            world.checker.violations.is_empty(),
            "{:#?}",
            world.checker.violations
        );
        let running: usize = world.workers.iter().map(|w| w.runs.len()).sum();
        assert_eq!(running, 8, "tasks were started elsewhere");
    }
}

/// An unanswered start may be carried out seconds later.
#[test]
fn a_late_start_never_runs_a_task_twice() {
    for late in [800, 1500, 3000, 5000] {
        let mut world = World::new(WorldSettings::default());
        world.run(100);
        world.workers[2].delay_ms = late;
        world.submit(1, chain(vec![short(8, 7000)]));
        world.run(400);
        world.workers[2].delay_ms = 0;
        assert!(world.run_until_done(60_000));
        assert!(
            world.checker.violations.is_empty(),
            "{late}: {:#?}",
            world.checker.violations
        );
    }
}

/// An end that was counted before a takeover is reported to the new owner again.
#[test]
fn a_failure_counts_once_for_two_owners() {
    for delay in (0..80).step_by(5) {
        let mut world = World::new(WorldSettings {
            workers: 2,
            attempts: 2,
            ..WorldSettings::default()
        });
        world.run(100);
        for worker in &mut world.workers {
            worker.mode = Mode::FailsAll;
        }
        world.submit(1, chain(vec![short(1, 500)]));
        for _ in 0..200 {
            if world.workers.iter().any(|w| !w.finished.is_empty()) {
                break;
            }
            world.run(5);
        }
        for worker in &mut world.workers {
            worker.mode = Mode::Healthy;
        }
        // The owner reads the end, and can no longer confirm it to the worker.
        world.run(delay);
        for worker in &mut world.workers {
            worker.partitioned = true;
        }
        world.run(50);
        for worker in &mut world.workers {
            worker.partitioned = false;
        }
        let end = world.lease_end();
        world.take_over(end);
        assert!(world.run_until_done(60_000));
        assert_eq!(
            world.outcome(JobId(1)),
            Outcome::Complete,
            "after {delay} ms"
        );
    }
}
