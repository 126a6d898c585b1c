//! Tests of the names of incarnations.

use std::sync::Arc;

use super::incarnation::Incarnation;

fn incarnation(id: &str, start_time: Option<u64>) -> Incarnation {
    Incarnation {
        id: id.into(),
        start_time,
    }
}

#[test]
fn a_life_that_tells_no_start_has_its_workers_name() {
    let name = incarnation("w-17", None).name();
    assert_eq!(&*name, "w-17");
    assert_eq!(Incarnation::parse(&name), incarnation("w-17", None));
}

#[test]
fn names_of_lives_are_read_back() {
    for (id, start_time) in [("w-17", 0), ("w", 1_780_000_000_123), ("a@b", u64::MAX)] {
        let incarnation = incarnation(id, Some(start_time));
        assert_eq!(Incarnation::parse(&incarnation.name()), incarnation);
    }
}

#[test]
fn what_is_no_start_belongs_to_the_workers_name() {
    for name in ["w@", "w@+5", "w@-5", "w@5x", "w@99999999999999999999999"] {
        let name: Arc<str> = name.into();
        assert_eq!(Incarnation::parse(&name), incarnation(&name, None));
    }
}
