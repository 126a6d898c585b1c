//! One scenario for each safety guard; each test fails if its guard is removed.

mod common;

use common::{Fault, World, WorldSettings, check_invariants, spec};
use gorsespur_core::{
    owner::{LeaseWatch, OwnerLease, ShardRow, WriteOutcome, resolve_write},
    shard::{
        Action, Event, ShardId, ShardScheduler, ShardSettings, ShardState, Takeover, WorkerAnswer,
        WorkerInfo, WorkerRequest,
    },
    size::Size,
    template::Priority,
};
use gorsespur_stand::EntryKind;
use test_case::test_case;

const NOW_MS: u64 = 1_000_000;
const HOLD_MS: u64 = 10_000;

/// Returns the worker as listed in the membership.
fn worker() -> WorkerInfo {
    let addr = ([127, 0, 0, 1], 9).into();
    WorkerInfo {
        name: "w".into(),
        zone: "zone".into(),
        rack: "r".into(),
        addr,
        target: addr,
        size: Size::new(30_000, 125 << 30, 0),
        leaving: false,
    }
}

/// Returns a scheduler with one worker that has answered.
fn scheduler() -> ShardScheduler {
    let id = ShardId {
        name: "shard".into(),
        index: 0,
        count: 1,
    };
    let takeover = Takeover {
        epoch: 1,
        state: ShardState::default(),
        next_record: 0,
        inherited_hold: HOLD_MS,
        settled: false,
    };
    let mut m = ShardScheduler::new(id, ShardSettings::default(), 1, takeover, NOW_MS);
    let event = Event::Workers {
        list: vec![worker()],
        counts: vec![1],
    };
    let org = common::world::org(HOLD_MS, 0);
    m.step(NOW_MS, &Event::Organisations(vec![org]));
    m.step(NOW_MS, &event);
    m.step(NOW_MS, &Event::Tick);
    m.step(NOW_MS, &answer(NOW_MS, 1));
    m
}

fn answer(clock: u64, seq: u64) -> Event {
    Event::Answer {
        worker: "w".into(),
        answer: WorkerAnswer {
            epoch: 1,
            seq,
            refused: None,
            boot: 5,
            clock,
            size: Size::new(30_000, 125 << 30, 0),
            leaving: false,
            running: Vec::new(),
            ended: Vec::new(),
            samples: Vec::new(),
        },
    }
}

fn request(actions: Vec<Action>) -> Option<WorkerRequest> {
    actions.into_iter().find_map(|a| match a {
        Action::Exchange { request, .. } => Some(request),
        Action::Append { .. } | Action::Fenced { .. } => None,
    })
}

#[test]
fn a_start_is_sent_only_after_its_record_is_in_the_journal() {
    let mut m = scheduler();
    m.step(
        NOW_MS,
        &Event::Submit(vec![spec("job", 1, 1_000, Priority::Normal)]),
    );
    let sent = request(m.step(NOW_MS + 20, &Event::Tick)).expect("an exchange");
    assert!(sent.starts.is_empty(), "sent before the commit");
    m.step(NOW_MS + 30, &answer(NOW_MS + 30, sent.seq));
    m.step(NOW_MS + 30, &Event::Committed(m.next_record()));
    let sent = request(m.step(NOW_MS + 50, &Event::Tick)).expect("an exchange");
    assert_eq!(sent.starts.len(), 1);
}

#[test]
fn after_the_hold_nothing_is_started_and_leases_lapse() {
    let mut m = scheduler();
    m.step(
        NOW_MS,
        &Event::Submit(vec![spec("job", 1, 1_000, Priority::Normal)]),
    );
    m.step(NOW_MS + 20, &Event::Tick);
    m.step(NOW_MS + 20, &Event::Committed(m.next_record()));
    m.step(NOW_MS + 20 + HOLD_MS, &answer(NOW_MS + 20 + HOLD_MS, 2));
    let sent = request(m.step(NOW_MS + 40 + HOLD_MS, &Event::Tick)).expect("an exchange");
    assert!(sent.starts.is_empty());
    assert_eq!(sent.lapse.len(), 1);
}

#[test]
fn a_silent_workers_leases_are_not_renewed() {
    let mut m = scheduler();
    let late = NOW_MS + ShardSettings::default().silent_after + 10;
    m.step(late, &Event::Tick);
    let sent = request(m.step(late + 4_000, &Event::Tick)).expect("a probe");
    assert!(!sent.renew);
}

#[test]
fn a_worker_that_has_seen_a_newer_epoch_is_reported() {
    let mut m = scheduler();
    let Event::Answer { worker, mut answer } = answer(NOW_MS, 1) else {
        unreachable!()
    };
    answer.refused = Some(gorsespur_core::shard::ExchangeRefusal::OldEpoch);
    answer.epoch = 9;
    let out = m.step(NOW_MS, &Event::Answer { worker, answer });
    assert_eq!(out, [Action::Fenced { epoch: 9 }]);
}

/// The old owner can't reach the table service and keeps renewing the leases
/// of a worker that the new owner can't reach.
#[test]
fn a_new_owner_waits_for_the_hold_of_the_old_one() {
    for pick in 0..4 {
        let mut world = World::new(WorldSettings {
            hold: 12_000,
            ..WorldSettings::default()
        });
        for i in 0..6 {
            world.submit(spec(&format!("job{i}"), 2, 60_000, Priority::Normal));
        }
        world.run(2_000);
        world.inject(Fault::WorkerKeepsOwner, pick);
        world.inject(Fault::OwnerCutFromStore, pick);
        world.run(60_000);
        world.end_faults();
        assert!(world.run_until_finished(300_000));
        check_invariants(&world);
    }
}

/// Takes over a shard whose only worker is unreachable, and returns the time in milliseconds
/// after which its task is given up.
fn lost_after(settled: bool, settled_at: Option<u64>) -> u64 {
    let mut old = scheduler();
    old.step(
        NOW_MS,
        &Event::Submit(vec![spec("job", 1, 1_000, Priority::Normal)]),
    );
    old.step(NOW_MS + 20, &Event::Tick);
    let id = ShardId {
        name: "shard".into(),
        index: 0,
        count: 1,
    };
    let takeover = Takeover {
        epoch: 2,
        state: old.state().clone(),
        next_record: old.next_record(),
        inherited_hold: HOLD_MS,
        settled,
    };
    let mut new = ShardScheduler::new(id, ShardSettings::default(), 1, takeover, NOW_MS);
    let list = vec![worker()];
    new.step(
        NOW_MS,
        &Event::Workers {
            list,
            counts: vec![1],
        },
    );
    for now in (NOW_MS..NOW_MS + 100_000).step_by(100) {
        if settled_at.is_some_and(|t| NOW_MS + t == now) {
            new.step(now, &Event::Settled);
        }
        new.step(now, &Event::Tick);
        if new.workers()[0].allocations.is_empty() {
            return now - NOW_MS;
        }
    }
    panic!("the task is never given up");
}

#[test]
fn an_unreachable_workers_task_waits_for_the_hold_unless_no_owner_renews() {
    let s = ShardSettings::default();
    let lease = s.lease + s.lease / 100 + s.lease_margin;
    let is_close = |found: u64, expected: u64| (expected..=expected + 200).contains(&found);
    assert!(is_close(lost_after(false, None), lease + HOLD_MS));
    assert!(is_close(lost_after(true, None), lease));
    assert!(is_close(lost_after(false, Some(2_000)), lease + 2_000));
}

/// The clocks of the workers drift by up to eight thousandths from the clock of the owner.
#[test]
fn a_lease_is_over_on_the_slowest_clock_before_its_end_is_presumed() {
    for pick in 0..4 {
        let mut settings = WorldSettings::default();
        settings.shard.lease_margin = 40;
        let mut world = World::new(settings);
        for i in 0..6 {
            world.submit(spec(&format!("job{i}"), 2, 90_000, Priority::Normal));
        }
        world.run(3_000);
        world.inject(Fault::WorkerCut, pick);
        world.run(60_000);
        assert!(world.run_until_finished(400_000));
        check_invariants(&world);
    }
}

/// While the table service is down for an hour, running tasks continue within the hold and
/// nothing is started, restarted or stopped; afterwards queued tasks start again.
#[test]
fn an_hour_without_the_table_service_stops_nothing_and_starts_nothing() {
    let mut world = World::new(WorldSettings {
        workers: 2,
        hold: 3_900_000,
        replicas: 1,
        ..WorldSettings::default()
    });
    world.submit(spec("long", 3, 8_000_000, Priority::Normal));
    world.run(2_000);
    world.store_down = true;
    world.submit(spec("later", 1, 1_000, Priority::Normal));
    let before = world.ledger.entries().len();
    world.run(3_600_000);
    assert_eq!(
        world.ledger.entries().len(),
        before,
        "a task started or stopped"
    );
    assert_eq!(world.owners.len(), 1, "no contender can acquire the shard");
    world.store_down = false;
    let later = world.submitted[1].0.clone();
    world.run(10_000);
    assert_eq!(world.status(&later).expect("known").done, 1);
    let long = world.status(&world.submitted[0].0.clone()).expect("known");
    assert_eq!((long.active, long.evictions), (3, 0));
    check_invariants(&world);
}

/// An owner that lost its shard must not stop tasks that the new owner started.
#[test]
fn a_fenced_owner_stops_nothing() {
    let mut world = World::new(WorldSettings {
        hold: 60_000,
        ..WorldSettings::default()
    });
    world.submit(spec("old", 4, 30_000, Priority::Normal));
    world.run(2_000);
    world.inject(Fault::OwnerCutFromStore, 0);
    world.run(6_000);
    world.submit(spec("new", 4, 30_000, Priority::Normal));
    assert!(world.run_until_finished(200_000));
    check_invariants(&world);
    for e in world.ledger.entries() {
        let stopped = matches!(e.what, EntryKind::Saved | EntryKind::Stopped);
        assert!(!stopped || e.service, "{e:?}");
    }
}

#[test]
fn a_pause_longer_than_the_lease_needs_a_new_confirmation() {
    let mut lease = OwnerLease::new(4_000, NOW_MS);
    lease.tick(NOW_MS + 3_900);
    assert!(lease.can_act());
    lease.tick(NOW_MS + 9_000);
    assert!(!lease.can_act());
    lease.tick(NOW_MS + 9_020);
    assert!(
        !lease.can_act(),
        "time alone does not confirm the ownership"
    );
    lease.confirm(NOW_MS + 9_030);
    assert!(lease.can_act());
}

#[test]
fn an_owner_that_only_lacks_the_table_service_may_act() {
    let mut lease = OwnerLease::new(4_000, NOW_MS);
    for i in 0..1_000 {
        lease.tick(NOW_MS + i * 20);
    }
    assert!(lease.can_act());
}

fn row(token: u64, owner: Option<&str>) -> ShardRow {
    ShardRow {
        epoch: 1,
        owner: owner.map(Into::into),
        addr: ([127, 0, 0, 1], 9).into(),
        token,
        next_record: 0,
        first_record: 0,
        next_row: 0,
        first_row: 0,
        hold: 0,
        settled: true,
    }
}

#[test_case(7, 5, Some(7), 6, WriteOutcome::Applied(6); "own token")]
#[test_case(7, 5, Some(4), 5, WriteOutcome::Repeat; "row as it was")]
#[test_case(7, 5, Some(4), 6, WriteOutcome::Lost; "another writer")]
#[test_case(7, 0, None, 0, WriteOutcome::Repeat; "no row yet")]
fn a_lost_answer_is_resolved_by_reading_back(
    token: u64,
    version: u64,
    found: Option<u64>,
    at: u64,
    expected: WriteOutcome,
) {
    let row = found.map(|t| row(t, Some("a")));
    assert_eq!(resolve_write(token, version, row.as_ref(), at), expected);
}

#[test]
fn an_unchanged_row_is_acquired_and_a_renewed_one_is_not() {
    let mut watch = LeaseWatch::new(4_000);
    let owned = row(1, Some("a"));
    for i in 0..20 {
        watch.observe(NOW_MS + i * 1_000, Some(&owned), 10 + i);
        assert!(!watch.can_acquire(NOW_MS + i * 1_000));
    }
    watch.observe(NOW_MS + 22_000, Some(&owned), 29);
    assert!(!watch.can_acquire(NOW_MS + 22_000));
    watch.observe(NOW_MS + 23_000, Some(&owned), 29);
    assert!(watch.can_acquire(NOW_MS + 23_000));
}

#[test]
fn a_released_row_is_acquired_at_once_and_an_unread_one_is_not() {
    let mut watch = LeaseWatch::new(4_000);
    assert!(!watch.can_acquire(NOW_MS + 99_000));
    watch.observe(NOW_MS, Some(&row(1, None)), 3);
    assert!(watch.can_acquire(NOW_MS));
    watch.reset();
    assert!(!watch.can_acquire(NOW_MS + 99_000));
}
