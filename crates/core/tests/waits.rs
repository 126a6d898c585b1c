//! Tasks that can't be placed do not block other queued tasks.

mod common;

use common::{World, WorldSettings, check_invariants, spec};
use gorsespur_core::{
    placement::PlacementPolicy,
    shard::{JobState, Queue, TaskRef, TaskShape},
    size::Size,
    template::Priority,
};
use test_case::test_case;

/// Tasks that fit on no worker are queued ahead of a small task of the same team.
#[test_case(7)]
#[test_case(8)]
fn tasks_that_fit_nowhere_hold_back_no_smaller_one(tasks: u32) {
    let mut settings = WorldSettings::default();
    settings.shard.policy = PlacementPolicy::LeastLoaded;
    let mut w = World::new(settings);
    w.submit(spec("long", 4, 600_000, Priority::Normal));
    w.run(3_000);
    let mut large = spec("large", tasks, 1_000, Priority::Normal);
    large.size = Size::new(26_000, 1 << 30, 0);
    w.submit(large);
    w.run(2_000);
    w.submit(spec("small", 1, 500, Priority::Normal));
    w.run(20_000);
    let status = w.status(&w.submitted[2].0).expect("known");
    assert_eq!(status.state, JobState::Done, "20 s after it was submitted");
    check_invariants(&w);
}

/// Tasks of many sizes that fit on no worker are queued ahead of a small task of the same team.
#[test]
fn tasks_of_many_sizes_that_fit_nowhere_hold_back_no_smaller_one() {
    let mut settings = WorldSettings::default();
    settings.shard.policy = PlacementPolicy::LeastLoaded;
    let mut w = World::new(settings);
    w.submit(spec("long", 4, 600_000, Priority::Normal));
    w.run(3_000);
    for i in 0..12 {
        let mut large = spec(&format!("large{i}"), 2, 1_000, Priority::Normal);
        large.size = Size::new(29_000 - 100 * i, (1 + i) << 28, 0);
        w.submit(large);
    }
    w.run(2_000);
    w.submit(spec("small", 1, 500, Priority::Normal));
    w.run(20_000);
    let status = w.status(&w.submitted[13].0).expect("known");
    assert_eq!(status.state, JobState::Done, "20 s after it was submitted");
    check_invariants(&w);
}

/// Blocked tasks are queued by shape, and ordered by age within a shape and over all shapes.
#[test]
fn blocked_tasks_are_taken_by_age() {
    let mut queue = Queue::default();
    let (priority, team) = (Priority::Normal, 0);
    let shapes = [1, 2].map(|class| TaskShape {
        class,
        size: Size::new(1000, 1 << 20, 0),
    });
    for task in 0..6 {
        queue.push(
            priority,
            team,
            TaskRef { job: 1, task },
            10 + u64::from(task),
        );
    }
    for at in [0, 1, 0, 1] {
        let ready = queue.pop(priority, team).expect("ready");
        queue.push_blocked(priority, team, ready, shapes[at]);
    }
    // The first task of a shape is tried and blocked again.
    let first = queue
        .pop_oldest(priority, team, |_| false)
        .expect("blocked");
    assert_eq!(first.task.task, 0);
    queue.push_blocked(priority, team, first, shapes[0]);
    let blocked = queue.first_blocked(priority, team, &shapes[0], 8);
    assert_eq!(
        blocked.iter().map(|r| r.task.task).collect::<Vec<_>>(),
        [0, 2]
    );
    assert_eq!((queue.len(), queue.teams(priority)), (6, vec![team]));
    let is_excluded = |s: &TaskShape| *s == shapes[0];
    let mut taken = Vec::new();
    while let Some(ready) = queue.pop_oldest(priority, team, is_excluded) {
        taken.push(ready.task.task);
    }
    assert_eq!(taken, [1, 3, 4, 5]);
    let rest = queue.pop_oldest(priority, team, |_| false);
    assert_eq!(rest.map(|r| r.task.task), Some(0));
    assert_eq!(queue.len(), 1);
}
