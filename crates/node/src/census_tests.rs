//! Tests of counting instances.

use crate::{
    census::{Census, InstanceRegistry, InstanceRow},
    fakes_tests::{UnavailableStore, shared},
    rows::encode,
    store::Row,
};

/// Time at which the rows are read, in milliseconds since the Unix epoch.
const NOW: u64 = 1_000_000_000_000;

const HOUR: u64 = 3_600_000;

fn row(name: &str, value: Vec<u8>) -> Row {
    Row {
        part: "instances".into(),
        key: name.into(),
        value,
        version: 1,
        removed: false,
    }
}

fn instance(name: &str, share: u64, at: u64) -> Row {
    row(name, encode(&InstanceRow { share, at }))
}

#[test]
fn those_of_less_than_half_the_largest_are_small() {
    let mut registry = InstanceRegistry::default();
    let rows = [
        instance("a", 1000, NOW),
        instance("b", 500, NOW),
        instance("c", 120, NOW),
        instance("d", 499, NOW),
    ];
    registry.apply(&shared(UnavailableStore), &rows, NOW);
    let census = registry.census();
    assert_eq!(census, Census { large: 2, all: 4 });
    assert_eq!(census.peers(true), 2);
    assert_eq!(census.peers(false), 2);
}

/// A restarted instance announces itself under the same name.
#[test]
fn each_counts_once() {
    let mut registry = InstanceRegistry::default();
    let shared = shared(UnavailableStore);
    for _ in 0..3 {
        registry.apply(&shared, &[instance("a", 500, NOW)], NOW);
    }
    assert_eq!(registry.census().all, 1);
    let mut gone = instance("a", 500, NOW);
    gone.removed = true;
    registry.apply(&shared, &[gone], NOW);
    assert_eq!(registry.census().all, 0);
}

#[test]
fn those_that_did_not_announce_themselves_for_a_day_are_gone() {
    let mut registry = InstanceRegistry::default();
    let rows = [
        instance("a", 500, NOW - 25 * HOUR),
        instance("b", 500, NOW - 7 * HOUR),
    ];
    let expired = registry.apply(&shared(UnavailableStore), &rows, NOW);
    assert_eq!(expired, ["a"]);
    assert_eq!(registry.census().all, 1);
}

#[test]
fn a_row_that_cannot_be_read_counts_for_nothing() {
    let mut registry = InstanceRegistry::default();
    let rows = [row("a", b"what".to_vec()), instance("b", 500, NOW)];
    registry.apply(&shared(UnavailableStore), &rows, NOW);
    assert_eq!(registry.census().all, 1);
}
