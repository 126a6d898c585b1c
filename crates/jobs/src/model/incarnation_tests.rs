//! Tests of the names of lives.

use std::sync::Arc;

use super::incarnation::Incarnation;

fn life(id: &str, born: Option<u64>) -> Incarnation {
    Incarnation {
        id: id.into(),
        start_time: born,
    }
}

#[test]
fn a_life_that_tells_no_start_has_its_workers_name() {
    let name = life("w-17", None).name();
    assert_eq!(&*name, "w-17");
    assert_eq!(Incarnation::parse(&name), life("w-17", None));
}

#[test]
fn names_of_lives_are_read_back() {
    for (id, born) in [("w-17", 0), ("w", 1_780_000_000_123), ("a@b", u64::MAX)] {
        let life = life(id, Some(born));
        assert_eq!(Incarnation::parse(&life.name()), life);
    }
}

#[test]
fn what_is_no_start_belongs_to_the_workers_name() {
    for name in ["w@", "w@+5", "w@-5", "w@5x", "w@99999999999999999999999"] {
        let name: Arc<str> = name.into();
        assert_eq!(Incarnation::parse(&name), life(&name, None));
    }
}
