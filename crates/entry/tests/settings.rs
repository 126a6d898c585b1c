//! Tests that the settings are checked as a whole and each problem has its path.

use gorsespur_entry::settings::{RawEntry, check};
use gorsespur_runtime::settings::parse_yaml;
use test_case::test_case;

const GOOD: &str = include_str!("../../../examples/entry.yaml");

fn problems(text: &str) -> Vec<String> {
    let raw: RawEntry = match parse_yaml(text) {
        Ok(raw) => raw,
        Err(err) => return vec![err.to_string()],
    };
    match check(raw) {
        Ok(_) => Vec::new(),
        Err(p) => p.items.into_iter().map(|i| i.path).collect(),
    }
}

#[test]
fn the_example_passes() {
    assert_eq!(problems(GOOD), Vec::<String>::new());
}

#[test_case("zone: home", "zone: away", "zone"; "a zone that is not listed")]
#[test_case("id: entry1", "id: 'entry 1'", "id"; "an id with a space")]
#[test_case("shards: 1", "shards: 0", "zones[0].shards"; "no shard")]
#[test_case("listen: 127.0.0.1:7402", "listen: 0.0.0.0:7402", "listen"; "an address that peers can't reach")]
#[test_case("callers:", "limits: {handlers: 0}\ncallers:", "limits.handlers"; "no handler")]
#[test_case("callers:", "limits: {body_bytes: 0}\ncallers:", "limits.body_bytes"; "no body")]
#[test_case("callers:", "route: {attempts: 0}\ncallers:", "route.attempts"; "no attempt")]
#[test_case("callers:", "route: {share: 9999}\ncallers:", "route.share"; "a share beyond the handlers")]
#[test_case("callers:", "drain_ms: 99999999\ncallers:", "drain_ms"; "a drain time that is too long")]
fn a_bad_value_is_named(good: &str, bad: &str, path: &str) {
    let text = GOOD.replacen(good, bad, 1);
    assert_ne!(text, GOOD);
    let found = problems(&text);
    assert!(found.iter().any(|p| p == path), "{found:?}");
}

#[test_case("callers:", "surprise: 1\ncallers:"; "unknown key")]
#[test_case("callers: 127.0.0.1:7100", "callers: nowhere"; "no address")]
#[test_case("callers: 127.0.0.1:7100", ""; "a key is missing")]
fn a_malformed_file_is_refused(good: &str, bad: &str) {
    assert_eq!(problems(&GOOD.replacen(good, bad, 1)).len(), 1);
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = GOOD
        .replace("shards: 1", "shards: 0")
        .replace("zone: home", "zone: away");
    assert!(problems(&text).len() >= 2);
}
