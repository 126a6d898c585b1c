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
fn an_incarnation_without_start_time_has_the_name_of_its_worker() {
    let name = incarnation("w-17", None).name();
    assert_eq!(&*name, "w-17");
    assert_eq!(Incarnation::parse(&name), incarnation("w-17", None));
}

#[test]
fn names_of_incarnations_round_trip() {
    for (id, start_time) in [("w-17", 0), ("w", 1_780_000_000_123), ("a@b", u64::MAX)] {
        let incarnation = incarnation(id, Some(start_time));
        assert_eq!(Incarnation::parse(&incarnation.name()), incarnation);
    }
}

#[test]
fn an_invalid_start_time_belongs_to_the_name_of_the_worker() {
    for name in ["w@", "w@+5", "w@-5", "w@5x", "w@99999999999999999999999"] {
        let name: Arc<str> = name.into();
        assert_eq!(Incarnation::parse(&name), incarnation(&name, None));
    }
}
