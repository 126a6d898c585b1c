//! Tests that the settings are checked as a whole and each problem has its path.

use gorsespur_runtime::settings::parse_yaml;
use gorsespur_sched::settings::{RawSched, check};
use test_case::test_case;

const GOOD: &str = include_str!("../../../examples/sched.yaml");

fn problems(text: &str) -> Vec<String> {
    let raw: RawSched = parse_yaml(text).expect("well-formed");
    match check(raw) {
        Ok(_) => Vec::new(),
        Err(p) => p.items.into_iter().map(|i| i.path).collect(),
    }
}

#[test]
fn the_example_passes() {
    assert_eq!(problems(GOOD), Vec::<String>::new());
}

#[test_case("ownership: {lease_ms: 10}", "ownership.lease_ms"; "a lease too short")]
#[test_case("ownership: {renew_ms: 3000}", "ownership.renew_ms"; "renewals too rare for the lease")]
#[test_case("ownership: {watch_ms: 1}", "ownership.watch_ms"; "polls too frequent")]
#[test_case("ownership: {commit_ms: 60000}", "ownership.commit_ms"; "writes too rare")]
#[test_case("ownership: {snapshot_rows: 1}", "ownership.snapshot_rows"; "snapshots too often")]
#[test_case("shards: {lease: 5000}", "shards.lease"; "a task lease too short for a takeover")]
#[test_case("shards: {batch: 0}", "shards.batch"; "a placement batch of zero")]
#[test_case("shards: {strikes: 0}", "shards.strikes"; "a quarantine threshold of zero")]
#[test_case("exchange_threads: 0", "exchange_threads"; "no thread")]
#[test_case("exchange_timeout_ms: 5000", "exchange_timeout_ms"; "an exchange timeout above the silence limit")]
fn a_bad_value_is_named(line: &str, path: &str) {
    let found = problems(&format!("{GOOD}{line}\n"));
    assert!(found.iter().any(|p| p == path), "{found:?}");
}
