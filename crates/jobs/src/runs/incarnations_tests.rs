//! Which life of a worker a list is of, and what follows for the others.

use std::sync::Arc;

use super::{
    fleet::Fleet,
    incarnations::Attribution,
    worker::{Capacity, WorkerInfo},
};
use crate::settings::Settings;

/// Lives of one worker, and what was heard of them.
struct Lives {
    fleet: Fleet,
    now: u64,
}

impl Lives {
    fn new() -> Lives {
        Lives {
            fleet: Fleet::new(0),
            now: 1000,
        }
    }

    /// Reads a row, and returns whether it told anything new.
    fn row(&mut self, born: Option<u64>) -> bool {
        self.now += 10;
        let info = WorkerInfo {
            id: "w".into(),
            start_time: born,
            addr: ([127, 0, 0, 1], 1000).into(),
            service: "s".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: "r".into(),
            capacity: Capacity::default(),
            ready: true,
            remaining_ms: 0,
        };
        self.fleet.register(info, self.now)
    }

    /// Reads a list in the place of a life that was asked for at `sent`.
    fn list(&mut self, slot: u32, sent: u64, born: Option<u64>) -> Attribution {
        let listed = self.fleet.attribute(slot, sent, born);
        if let Attribution::Known(there, over) = &listed {
            let worker = self.fleet.get_mut(*there);
            worker.note_clock(5, self.now, &Settings::default());
            for &slot in over {
                self.fleet.retire(slot);
            }
        }
        listed
    }

    /// Asks in the place of a life, and reads the list.
    fn ask(&mut self, slot: u32, born: Option<u64>) -> Attribution {
        let sent = self.now;
        self.now += 10;
        self.list(slot, sent, born)
    }

    fn is_open(&self, slot: u32) -> bool {
        self.fleet.get(slot).accepts_runs(self.now)
    }

    fn slot(&mut self, name: &str) -> u32 {
        let name: Arc<str> = name.into();
        self.fleet.slot(&name)
    }
}

/// Later lives may have begun earlier, by a clock that was set.
#[test]
fn a_list_replaces_the_life_that_was_there() {
    for born in [900, 100] {
        let mut lives = Lives::new();
        lives.row(Some(500));
        assert_eq!(lives.ask(0, Some(500)), Attribution::Known(0, vec![]));
        assert!(lives.is_open(0));
        assert_eq!(lives.ask(0, Some(born)), Attribution::Known(1, vec![0]));
        assert!(lives.fleet.get(0).dead);
        assert_eq!(lives.fleet.get(1).info, {
            let mut info = lives.fleet.get(0).info.clone();
            info.as_mut().expect("announced").start_time = Some(born);
            info
        });
        // Its room may be another one.
        assert!(!lives.is_open(1));
        assert!(lives.row(Some(born)));
        assert!(lives.is_open(1));
    }
}

#[test]
fn lists_and_rows_of_a_replaced_life_tell_nothing() {
    let mut lives = Lives::new();
    lives.row(Some(1));
    lives.ask(0, Some(1));
    lives.row(Some(2));
    assert_eq!(lives.ask(1, Some(2)), Attribution::Known(1, vec![0]));
    for slot in [0, 1] {
        assert_eq!(lives.ask(slot, Some(1)), Attribution::Earlier);
    }
    assert!(!lives.row(Some(1)));
    assert_eq!(lives.ask(0, None), Attribution::Earlier);
    assert!(lives.is_open(1));
    assert_eq!(lives.fleet.workers.len(), 2);
}

/// The row of a new life closes the old one until a list says which of them is there.
#[test]
fn a_row_decides_nothing() {
    let mut lives = Lives::new();
    lives.row(Some(1));
    lives.ask(0, Some(1));
    let asked = lives.now;
    lives.row(Some(2));
    assert!(!lives.is_open(0) && !lives.is_open(1));
    // It was asked for before the row was read.
    assert_eq!(lives.list(0, asked, Some(1)), Attribution::Known(0, vec![]));
    assert!(!lives.is_open(0));
    // The row was an old one.
    assert_eq!(lives.ask(0, Some(1)), Attribution::Known(0, vec![1]));
    assert!(lives.is_open(0) && !lives.is_open(1));
    assert!(!lives.row(Some(2)));
}

/// Which of two lists is the later one is known if it was asked for after the other had come.
#[test]
fn lists_that_overtook_each_other_are_asked_for_again() {
    let mut lives = Lives::new();
    lives.row(Some(1));
    lives.row(Some(3));
    let asked = lives.now;
    assert_eq!(lives.ask(1, Some(3)), Attribution::Known(1, vec![0]));
    assert!(lives.is_open(1));
    assert_eq!(lives.list(0, asked, Some(2)), Attribution::Unclear);
    assert!(!lives.is_open(1));
    assert_eq!(lives.ask(1, Some(3)), Attribution::Known(1, vec![]));
    assert!(lives.is_open(1));
}

#[test]
fn a_life_after_one_that_was_given_up_is_used() {
    let mut lives = Lives::new();
    lives.row(Some(1));
    lives.ask(0, Some(1));
    lives.fleet.get_mut(0).dead = true;
    lives.row(Some(1));
    assert!(!lives.is_open(0));
    lives.row(Some(2));
    assert_eq!(lives.ask(1, Some(2)), Attribution::Known(1, vec![0]));
    assert!(lives.is_open(1));
}

#[test]
fn workers_that_tell_no_start_are_one_life() {
    let mut lives = Lives::new();
    lives.row(None);
    for _ in 0..3 {
        assert_eq!(lives.ask(0, None), Attribution::Known(0, vec![]));
        assert!(!lives.row(None));
        assert!(lives.is_open(0));
    }
    assert_eq!(lives.fleet.workers.len(), 1);
}

#[test]
fn a_worker_that_tells_its_start_in_lists_alone_is_open() {
    let mut lives = Lives::new();
    lives.row(None);
    assert_eq!(lives.ask(0, Some(1)), Attribution::Known(1, vec![0]));
    assert!(lives.row(None));
    assert!(lives.is_open(1));
    assert_eq!(lives.ask(1, Some(1)), Attribution::Known(1, vec![]));
    assert!(!lives.row(None));
}

/// Records name lives that an earlier owner knew.
#[test]
fn a_life_of_a_record_is_over_if_another_one_is_there() {
    let mut lives = Lives::new();
    let old = lives.slot("w@1");
    assert_eq!(lives.slot("w@1"), old);
    lives.row(Some(2));
    assert!(!lives.is_open(1));
    assert_eq!(lives.ask(1, Some(2)), Attribution::Known(1, vec![old]));
    assert!(lives.is_open(1));
}

#[test]
fn a_life_of_a_record_is_there_whatever_the_row_says() {
    let mut lives = Lives::new();
    let old = lives.slot("w@1");
    lives.row(Some(2));
    assert_eq!(lives.ask(1, Some(1)), Attribution::Known(old, vec![1]));
    assert!(!lives.is_open(old));
    lives.row(Some(1));
    assert!(lives.is_open(old));
}

#[test]
fn a_row_that_is_gone_closes_all_lives() {
    let mut lives = Lives::new();
    lives.row(Some(1));
    lives.ask(0, Some(1));
    lives.row(Some(2));
    lives.fleet.deregister(&"w".into());
    lives.ask(0, Some(1));
    assert!(!lives.is_open(0));
    lives.fleet.deregister(&"other".into());
    assert_eq!(lives.fleet.workers.len(), 2);
}

/// Many starts of one worker are remembered in bounded space.
#[test]
fn replaced_lives_are_remembered_for_a_while() {
    let mut lives = Lives::new();
    lives.row(Some(1));
    lives.ask(0, Some(1));
    for born in 2..100 {
        let slot = lives.fleet.workers.len() as u32 - 1;
        let next = slot + 1;
        assert_eq!(
            lives.ask(slot, Some(born)),
            Attribution::Known(next, vec![slot])
        );
        assert!(!lives.row(Some(born - 1)));
    }
}
