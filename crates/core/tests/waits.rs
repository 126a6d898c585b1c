//! Queued tasks go on, whatever holds others back.

mod common;

use common::{World, WorldSettings, check_promises, spec};
use gorsespur_core::{place::PlacePolicy, shard::JobState, size::Size, template::Priority};
use test_case::test_case;

/// Tasks that are larger than what is free on any worker wait before a small one of the same team.
#[test_case(7)]
#[test_case(8)]
fn tasks_that_fit_nowhere_hold_back_no_smaller_one(tasks: u32) {
    let mut settings = WorldSettings::default();
    settings.shard.policy = PlacePolicy::LeastLoaded;
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
    check_promises(&w);
}
