//! What the queues are entitled to while capacity is short, as operators and instances see it.

use gorsespur_jobs::{QueueShare, Step};
use test_case::test_case;

use crate::common::{World, WorldSettings, chain, long_running, short};

const WORKERS: usize = 4;

/// CPU of one worker, in thousandths of a core.
const WORKER_CPU: u64 = 8000;

/// Time in which an owner notices a change and divides anew, in milliseconds.
const NOTICE_MS: u64 = 500;

/// Time after which a burst is forgotten, with the period of the division, in milliseconds.
const FORGET_MS: u64 = 11_500;

/// Returns a world whose capacity long-running tasks hold but for one core a worker.
fn occupied_world() -> World {
    let mut world = World::new(WorldSettings {
        workers: WORKERS,
        ..WorldSettings::default()
    });
    let step = Step {
        cpu: 1000,
        memory: 500,
        max_per_worker: 7,
        ..long_running(7 * WORKERS as u32)
    };
    world.submit(1, chain(vec![step]));
    world.run(3000);
    world
}

/// Submits one-core tasks of short jobs that can be on time for a while.
fn submit_burst(world: &mut World, first: u64, tasks: u64) {
    for id in first..first + tasks {
        world.submit(id, chain(vec![short(1, 20_000)]));
    }
}

fn share(world: &World, kind: &str) -> Option<QueueShare> {
    world.queue_shares().into_iter().find(|s| s.kind == kind)
}

/// Returns the CPU that new long-running tasks may request.
fn open_to_long_running(world: &World) -> u64 {
    world.queue_figures()[0].long_running_cpu
}

/// Long-running tasks hold the capacity, and a burst of short jobs asks for half of it or for
/// twice of it.
#[test_case(16, 16_000; "it is entitled to all that it asks for")]
#[test_case(64, 16_000; "both are entitled to half")]
fn a_burst_is_entitled_to_capacity_that_others_hold(tasks: u64, entitled: u64) {
    let mut world = occupied_world();
    assert!(share(&world, "short").is_none());
    submit_burst(&mut world, 100, tasks);
    world.run(NOTICE_MS);
    let burst = share(&world, "short").expect("the burst is seen");
    assert_eq!(burst.entitled.cpu, entitled);
    assert_eq!((burst.held.cpu, burst.is_short), (4000, true));
    let others = share(&world, "long_running").expect("they run");
    assert_eq!(others.held.cpu, 28_000);
    assert!(others.entitled.cpu + entitled <= WORKERS as u64 * WORKER_CPU);
    assert_eq!(open_to_long_running(&world), 0);
}

/// A burst that is over is remembered for a few seconds, so that long-running tasks leave room
/// for the next one.
#[test]
fn long_running_tasks_leave_room_between_bursts() {
    let mut world = occupied_world();
    let before = open_to_long_running(&world);
    assert_eq!(before, 4000);
    for id in 100..104 {
        world.submit(id, chain(vec![short(1, 1000)]));
    }
    world.run(3000);
    assert!(world.all_done());
    let burst = share(&world, "short").expect("the burst is remembered");
    assert_eq!((burst.held.cpu, burst.entitled.cpu), (0, 4000));
    assert!(!burst.is_short);
    assert_eq!(open_to_long_running(&world), 0);
    world.run(FORGET_MS);
    assert!(share(&world, "short").is_none());
    assert_eq!(open_to_long_running(&world), before);
}

/// A quarter of the workers leaves. What was on it counts as waiting, not as held.
#[test]
fn entitlements_follow_capacity_that_shrinks() {
    let mut world = occupied_world();
    submit_burst(&mut world, 100, 16);
    world.run(NOTICE_MS);
    world.announce(0, false);
    world.run(NOTICE_MS);
    let room = (WORKERS as u64 - 1) * WORKER_CPU;
    let (mut held, mut entitled) = (0, 0);
    for share in world.queue_shares() {
        held += share.held.cpu;
        entitled += share.entitled.cpu;
    }
    assert!(held <= room, "{held} held of {room}");
    assert_eq!(entitled, room);
    assert_eq!(open_to_long_running(&world), 0);
}

/// A new owner knows only what is there, and divides once it has heard all workers.
#[test]
fn a_new_owner_begins_peaks_anew() {
    let mut world = occupied_world();
    for id in 100..104 {
        world.submit(id, chain(vec![short(1, 500)]));
    }
    world.run(2000);
    assert!(world.all_done());
    assert!(share(&world, "short").is_some());
    let inherited = world.lease_end();
    world.take_over(inherited);
    assert!(world.queue_figures().is_empty());
    world.run(1000);
    assert!(share(&world, "short").is_none());
    let others = share(&world, "long_running").expect("they run");
    assert_eq!((others.held.cpu, others.entitled.cpu), (28_000, 28_000));
    assert_eq!(open_to_long_running(&world), 4000);
}

/// Short tasks of three cores don't fit beside long-running tasks that leave one core of each
/// worker. New long-running tasks can't take these cores, but for what is more than the tasks
/// need.
#[test_case(3000, 3000; "a task of three cores")]
#[test_case(1500, 1500; "a task of one and a half")]
fn capacity_in_small_pieces_is_not_divided(cpu: u64, stranded: u64) {
    let mut world = occupied_world();
    let step = Step {
        cpu,
        ..short(1, 20_000)
    };
    world.submit(100, chain(vec![step]));
    world.run(NOTICE_MS);
    let burst = share(&world, "short").expect("the task waits");
    assert_eq!((burst.waiting.cpu, burst.entitled.cpu), (cpu, cpu));
    assert_eq!(world.stats().stranded_cpu, stranded);
    let open = 4000_u64.saturating_sub(cpu + stranded);
    assert_eq!(open_to_long_running(&world), open);
}

/// No worker is large enough: the task must not keep capacity from others for ever.
#[test]
fn a_task_larger_than_any_worker_claims_nothing() {
    let mut world = occupied_world();
    let step = Step {
        cpu: WORKER_CPU + 1,
        ..short(1, 20_000)
    };
    world.submit(100, chain(vec![step]));
    world.run(NOTICE_MS);
    assert!(share(&world, "short").is_none());
    assert_eq!(open_to_long_running(&world), 4000);
}
