//! Tests of counting instances.

use crate::{
    census::{Census, InstanceRegistry, InstanceRow},
    fakes_tests::{UnavailableStore, shared},
    rows::encode,
    store::Row,
};

/// Time at which the rows are read, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_000_000_000_000;

const HOUR_MS: u64 = 3_600_000;

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
fn instances_below_half_the_largest_are_small() {
    let mut registry = InstanceRegistry::default();
    let rows = [
        instance("a", 1000, NOW_MS),
        instance("b", 500, NOW_MS),
        instance("c", 120, NOW_MS),
        instance("d", 499, NOW_MS),
    ];
    registry.apply(&shared(UnavailableStore), &rows, NOW_MS);
    let census = registry.census();
    assert_eq!(census, Census { large: 2, all: 4 });
    assert_eq!(census.peers(true), 2);
    assert_eq!(census.peers(false), 2);
}

/// A restarted instance announces itself under the same name.
#[test]
fn a_restarted_instance_is_counted_once() {
    let mut registry = InstanceRegistry::default();
    let shared = shared(UnavailableStore);
    for _ in 0..3 {
        registry.apply(&shared, &[instance("a", 500, NOW_MS)], NOW_MS);
    }
    assert_eq!(registry.census().all, 1);
    let mut removed_row = instance("a", 500, NOW_MS);
    removed_row.removed = true;
    registry.apply(&shared, &[removed_row], NOW_MS);
    assert_eq!(registry.census().all, 0);
}

#[test]
fn announcements_expire_after_a_day() {
    let mut registry = InstanceRegistry::default();
    let rows = [
        instance("a", 500, NOW_MS - 25 * HOUR_MS),
        instance("b", 500, NOW_MS - 7 * HOUR_MS),
    ];
    let expired = registry.apply(&shared(UnavailableStore), &rows, NOW_MS);
    assert_eq!(expired, ["a"]);
    assert_eq!(registry.census().all, 1);
}

#[test]
fn malformed_rows_are_not_counted() {
    let mut registry = InstanceRegistry::default();
    let rows = [row("a", b"what".to_vec()), instance("b", 500, NOW_MS)];
    registry.apply(&shared(UnavailableStore), &rows, NOW_MS);
    assert_eq!(registry.census().all, 1);
}
