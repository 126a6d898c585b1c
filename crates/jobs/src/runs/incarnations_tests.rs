//! Which incarnation of a worker a report is from, and what follows for the others.

use std::sync::Arc;

use super::{fleet::Fleet, incarnations::Attribution, worker::Capacity, worker_info::WorkerInfo};
use crate::settings::Settings;

/// A fleet with the incarnations of one worker.
struct Harness {
    fleet: Fleet,
    now: u64,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            fleet: Fleet::new(0),
            now: 1000,
        }
    }

    /// Announces an incarnation; returns whether that changed anything.
    fn announce(&mut self, start_time: Option<u64>) -> bool {
        self.now += 10;
        let info = WorkerInfo {
            id: "w".into(),
            start_time,
            addr: ([127, 0, 0, 1], 1000).into(),
            service: "s".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: "r".into(),
            capacity: Capacity::default(),
            ready: true,
            remaining_ms: 0,
        };
        self.fleet.update_announcement(info, self.now)
    }

    /// Handles a report to a poll of `slot` sent at `sent`.
    fn report(&mut self, slot: u32, sent: u64, start_time: Option<u64>) -> Attribution {
        let attribution = self.fleet.attribute(slot, sent, start_time);
        if let Attribution::Known(current, ended) = &attribution {
            let worker = self.fleet.get_mut(*current);
            worker.record_clock(5, self.now, &Settings::default());
            for &slot in ended {
                self.fleet.retire(slot);
            }
        }
        attribution
    }

    /// Polls `slot` and handles the report.
    fn poll(&mut self, slot: u32, start_time: Option<u64>) -> Attribution {
        let sent = self.now;
        self.now += 10;
        self.report(slot, sent, start_time)
    }

    fn accepts_runs(&self, slot: u32) -> bool {
        self.fleet.get(slot).accepts_runs(self.now)
    }

    fn slot(&mut self, name: &str) -> u32 {
        let name: Arc<str> = name.into();
        self.fleet.slot(&name)
    }
}

/// A later incarnation may have an earlier start time, since clocks step.
#[test]
fn a_report_replaces_the_previous_incarnation() {
    for start_time in [900, 100] {
        let mut harness = Harness::new();
        harness.announce(Some(500));
        assert_eq!(harness.poll(0, Some(500)), Attribution::Known(0, vec![]));
        assert!(harness.accepts_runs(0));
        assert_eq!(
            harness.poll(0, Some(start_time)),
            Attribution::Known(1, vec![0])
        );
        assert!(harness.fleet.get(0).dead);
        assert_eq!(harness.fleet.get(1).info, {
            let mut info = harness.fleet.get(0).info.clone();
            info.as_mut().expect("announced").start_time = Some(start_time);
            info
        });
        // Its capacity may be another one.
        assert!(!harness.accepts_runs(1));
        assert!(harness.announce(Some(start_time)));
        assert!(harness.accepts_runs(1));
    }
}

#[test]
fn reports_and_announcements_of_a_replaced_incarnation_are_ignored() {
    let mut harness = Harness::new();
    harness.announce(Some(1));
    harness.poll(0, Some(1));
    harness.announce(Some(2));
    assert_eq!(harness.poll(1, Some(2)), Attribution::Known(1, vec![0]));
    for slot in [0, 1] {
        assert_eq!(harness.poll(slot, Some(1)), Attribution::Earlier);
    }
    assert!(!harness.announce(Some(1)));
    assert_eq!(harness.poll(0, None), Attribution::Earlier);
    assert!(harness.accepts_runs(1));
    assert_eq!(harness.fleet.workers.len(), 2);
}

/// The announcement of a new incarnation closes the old one until a report shows which of them is
/// current.
#[test]
fn an_announcement_alone_ends_no_incarnation() {
    let mut harness = Harness::new();
    harness.announce(Some(1));
    harness.poll(0, Some(1));
    let asked = harness.now;
    harness.announce(Some(2));
    assert!(!harness.accepts_runs(0) && !harness.accepts_runs(1));
    // The poll was sent before the announcement was read.
    assert_eq!(
        harness.report(0, asked, Some(1)),
        Attribution::Known(0, vec![])
    );
    assert!(!harness.accepts_runs(0));
    // The announcement was outdated.
    assert_eq!(harness.poll(0, Some(1)), Attribution::Known(0, vec![1]));
    assert!(harness.accepts_runs(0) && !harness.accepts_runs(1));
    assert!(!harness.announce(Some(2)));
}

/// A report is known to be the later of two if its poll was sent after the other had arrived.
#[test]
fn reports_that_overtook_each_other_are_polled_again() {
    let mut harness = Harness::new();
    harness.announce(Some(1));
    harness.announce(Some(3));
    let asked = harness.now;
    assert_eq!(harness.poll(1, Some(3)), Attribution::Known(1, vec![0]));
    assert!(harness.accepts_runs(1));
    assert_eq!(harness.report(0, asked, Some(2)), Attribution::Unclear);
    assert!(!harness.accepts_runs(1));
    assert_eq!(harness.poll(1, Some(3)), Attribution::Known(1, vec![]));
    assert!(harness.accepts_runs(1));
}

#[test]
fn an_incarnation_after_a_dead_one_accepts_runs() {
    let mut harness = Harness::new();
    harness.announce(Some(1));
    harness.poll(0, Some(1));
    harness.fleet.get_mut(0).dead = true;
    harness.announce(Some(1));
    assert!(!harness.accepts_runs(0));
    harness.announce(Some(2));
    assert_eq!(harness.poll(1, Some(2)), Attribution::Known(1, vec![0]));
    assert!(harness.accepts_runs(1));
}

#[test]
fn a_worker_without_a_start_time_is_one_incarnation() {
    let mut harness = Harness::new();
    harness.announce(None);
    for _ in 0..3 {
        assert_eq!(harness.poll(0, None), Attribution::Known(0, vec![]));
        assert!(!harness.announce(None));
        assert!(harness.accepts_runs(0));
    }
    assert_eq!(harness.fleet.workers.len(), 1);
}

#[test]
fn a_worker_with_a_start_time_in_reports_only_accepts_runs() {
    let mut harness = Harness::new();
    harness.announce(None);
    assert_eq!(harness.poll(0, Some(1)), Attribution::Known(1, vec![0]));
    assert!(harness.announce(None));
    assert!(harness.accepts_runs(1));
    assert_eq!(harness.poll(1, Some(1)), Attribution::Known(1, vec![]));
    assert!(!harness.announce(None));
}

/// Records name incarnations that an earlier owner knew.
#[test]
fn a_recorded_incarnation_ends_if_another_one_reports() {
    let mut harness = Harness::new();
    let old = harness.slot("w@1");
    assert_eq!(harness.slot("w@1"), old);
    harness.announce(Some(2));
    assert!(!harness.accepts_runs(1));
    assert_eq!(harness.poll(1, Some(2)), Attribution::Known(1, vec![old]));
    assert!(harness.accepts_runs(1));
}

#[test]
fn a_recorded_incarnation_that_reports_ends_an_announced_one() {
    let mut harness = Harness::new();
    let old = harness.slot("w@1");
    harness.announce(Some(2));
    assert_eq!(harness.poll(1, Some(1)), Attribution::Known(old, vec![1]));
    assert!(!harness.accepts_runs(old));
    harness.announce(Some(1));
    assert!(harness.accepts_runs(old));
}

#[test]
fn a_removed_announcement_closes_all_incarnations() {
    let mut harness = Harness::new();
    harness.announce(Some(1));
    harness.poll(0, Some(1));
    harness.announce(Some(2));
    harness.fleet.remove_announcement(&"w".into());
    harness.poll(0, Some(1));
    assert!(!harness.accepts_runs(0));
    harness.fleet.remove_announcement(&"other".into());
    assert_eq!(harness.fleet.workers.len(), 2);
}

/// Many restarts of one worker take up bounded space.
#[test]
fn replaced_incarnations_are_kept_in_bounded_space() {
    let mut harness = Harness::new();
    harness.announce(Some(1));
    harness.poll(0, Some(1));
    for start_time in 2..100 {
        let slot = harness.fleet.workers.len() as u32 - 1;
        let next = slot + 1;
        assert_eq!(
            harness.poll(slot, Some(start_time)),
            Attribution::Known(next, vec![slot])
        );
        assert!(!harness.announce(Some(start_time - 1)));
    }
}
