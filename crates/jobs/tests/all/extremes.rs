//! Numbers of any size in jobs and policies. Debug builds end at an overflow, so that the tests fail
//! there.

use crate::common::{World, WorldSettings, chain, check_invariants, long_running, serving, short};
use gorsespur_jobs::{
    Capacity, Ending, JobId, Outcome, RunEnd, Schedule, Spec, SpecError, Step, TaskId, WorkerInfo,
    WorkerReport,
};
use test_case::test_case;

/// Guards against owners that end one after the other: the number of tasks wraps around to 0.
#[test_case(4, 1 << 31, 1 << 31)]
#[test_case(2, u32::MAX, u32::MAX)]
#[test_case(1, 4001, 1)]
#[test_case(1, 1, 4001)]
fn a_number_of_tasks_that_wraps_around_is_rejected(steps: usize, count: u32, repetitions: u32) {
    let step = Step {
        count,
        ..Step::default()
    };
    let spec = Spec {
        steps: vec![step; steps],
        schedule: Schedule {
            repetitions,
            ..Schedule::default()
        },
        ..Spec::default()
    };
    let result = spec.validate();
    let is_rejected = matches!(result, Err(SpecError::TooManyTasks { .. }));
    assert!(is_rejected, "{result:?}");
}

fn with_cpu(step: Step) -> Step {
    Step {
        cpu: 10_u64.pow(19),
        ..step
    }
}

fn with_memory(step: Step) -> Step {
    Step {
        memory: u64::MAX,
        ..step
    }
}

fn with_gpu(step: Step) -> Step {
    Step {
        gpu: u64::MAX,
        ..step
    }
}

fn with_estimate(step: Step) -> Step {
    Step {
        estimate: u64::MAX,
        ..step
    }
}

fn with_target(step: Step) -> Step {
    Step {
        latency_target: u64::MAX,
        ..step
    }
}

/// Returns a job whose second repetition is due at a time beyond all numbers.
fn with_schedule(first: u64, interval: u64) -> Spec {
    Spec {
        schedule: Schedule {
            repetitions: 3,
            first,
            interval,
        },
        ..chain(vec![short(2, 100)])
    }
}

#[test_case(chain(vec![with_cpu(short(2, 100))]), "cpu")]
#[test_case(chain(vec![with_memory(short(2, 100))]), "memory")]
#[test_case(chain(vec![with_gpu(short(2, 100))]), "gpu")]
#[test_case(chain(vec![short(1, 5), with_estimate(short(2, 100))]), "estimate")]
#[test_case(chain(vec![with_target(serving(2))]), "target")]
#[test_case(with_schedule(u64::MAX, 1), "first")]
#[test_case(with_schedule(1, u64::MAX), "interval")]
fn a_number_beyond_its_bound_is_rejected_by_the_name_of_its_field(spec: Spec, field: &str) {
    let error = spec.validate().expect_err("beyond the bound");
    assert!(error.to_string().contains(field), "{error}");
}

/// Guards against owners that end at a job that an earlier version has accepted, or that decide on
/// sums that have wrapped around. Others run beside it, also under later owners.
#[test_case(chain(vec![with_cpu(short(3, 100))]))]
#[test_case(chain(vec![with_cpu(long_running(3))]))]
#[test_case(chain(vec![with_cpu(Step { gang: true, ..short(3, 100) })]))]
#[test_case(chain(vec![with_cpu(serving(3))]))]
#[test_case(chain(vec![with_cpu(Step { best_effort: true, ..short(3, 100) })]))]
#[test_case(chain(vec![with_memory(long_running(3))]))]
#[test_case(chain(vec![with_gpu(long_running(3))]))]
#[test_case(chain(vec![with_estimate(short(3, 100))]))]
#[test_case(chain(vec![with_estimate(short(3, 100)), with_estimate(short(3, 100))]))]
#[test_case(chain(vec![with_estimate(Step { checkpoints: true, ..short(3, 100) })]))]
#[test_case(chain(vec![with_target(serving(3))]))]
#[test_case(with_schedule(u64::MAX, u64::MAX))]
#[test_case(with_schedule(1, u64::MAX))]
fn jobs_run_beside_one_with_extreme_numbers(extreme: Spec) {
    let mut world = World::new(WorldSettings::default());
    world.run(100);
    let mut others = vec![world.submit(2, chain(vec![short(3, 200)]))];
    world.submit(1, extreme);
    for number in 0..4 {
        world.run(1500);
        others.push(world.submit(10 + number, chain(vec![short(3, 200), short(1, 100)])));
        let end = world.lease_end();
        world.take_over(end);
    }
    world.run(8000);
    for id in others {
        assert_eq!(world.outcome(id), Outcome::Complete, "{id}");
    }
    check_invariants(&world, 0);
}

/// The objective of a queue is beyond all numbers.
#[test_case(f64::MAX, 0)]
#[test_case(f64::INFINITY, u64::MAX)]
#[test_case(1.0, u64::MAX)]
#[test_case(-1.0, u64::MAX)]
#[test_case(f64::NAN, 1)]
fn jobs_of_a_queue_with_extreme_terms_run(stretch: f64, latency: u64) {
    let mut world = World::new(WorldSettings::default());
    for policy in &mut world.policies {
        policy.stretch = stretch;
        policy.latency = latency;
    }
    let end = world.lease_end();
    world.take_over(end);
    world.submit(1, chain(vec![short(3, 200), short(1, 100)]));
    assert!(world.run_until_done(10_000));
    check_invariants(&world, 0);
}

fn worker_info(id: &str, capacity: Capacity, remaining_ms: u64) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        start_time: Some(u64::MAX),
        addr: ([127, 0, 0, 1], 9).into(),
        service: "s".into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: "r".into(),
        capacity,
        ready: true,
        remaining_ms,
    }
}

fn capacity(cpu: u64, memory: u64, gpu: u64) -> Capacity {
    Capacity { cpu, memory, gpu }
}

/// Guards against owners that end at sums over workers: an announcement with such a number is
/// skipped, as is a name that would end a header.
#[test_case("w", capacity(u64::MAX, 1, 1), 0, "cpu")]
#[test_case("w", capacity(12_000_000_000_000_000_000, 1, 1), 0, "cpu")]
#[test_case("w", capacity(1, u64::MAX, 1), 0, "memory")]
#[test_case("w", capacity(1, 1, u64::MAX), 0, "gpu")]
#[test_case("w", capacity(1, 1, 1), u64::MAX, "remaining")]
#[test_case("w\r\nhost: h", capacity(1, 1, 1), 0, "name")]
fn an_impossible_announcement_is_rejected(
    id: &str,
    capacity: Capacity,
    remaining_ms: u64,
    field: &str,
) {
    let error = worker_info(id, capacity, remaining_ms).validate();
    let error = error.expect_err("impossible").to_string();
    assert!(error.contains(field), "{error}");
    let usual = Capacity {
        cpu: 32_000,
        memory: 125_000,
        gpu: 8,
    };
    assert_eq!(worker_info("w-1", usual, 30_000).validate(), Ok(()));
}

#[test_case(u64::MAX, 1, "clock")]
#[test_case(1, u64::MAX, "end")]
fn an_impossible_report_is_rejected(clock: u64, number: u64, field: &str) {
    let report = |clock, number| WorkerReport {
        start_time: Some(1),
        clock,
        running: Vec::new(),
        finished: vec![RunEnd {
            number,
            task: TaskId {
                job: JobId(1),
                repetition: 0,
                step: 0,
                index: 0,
            },
            run: 1,
            ending: Ending::Done,
            checkpoint: "".into(),
        }],
    };
    let error = report(clock, number).validate();
    let error = error.expect_err("impossible").to_string();
    assert!(error.contains(field), "{error}");
    assert_eq!(report(1 << 45, 1 << 40).validate(), Ok(()));
}
