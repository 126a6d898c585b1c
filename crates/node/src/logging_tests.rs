//! Tests of the format of log lines.

use std::collections::BTreeMap;

use log::kv::{Key, Value, VisitSource};

use super::logging::Fields;

/// Guards against duplicate names: a line of the job API gave its duration the name of every line's
/// time, and could not be parsed.
#[test]
fn names_in_a_line_are_unique() {
    let mut fields = Fields::begin(1000, "INFO", "a", "front: answered");
    for key in ["ms", "node", "level", "msg", "status"] {
        let visited = fields.visit_pair(Key::from_str(key), Value::from(7_u64));
        visited.expect("a field");
    }
    let line = fields.end();
    let names: Vec<&str> = line.split('"').skip(1).step_by(2).collect();
    let all = names.iter().filter(|n| line.contains(&format!("\"{n}\":")));
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in all {
        *counts.entry(name).or_default() += 1;
    }
    assert!(counts.values().all(|&c| c == 1), "{line}");
    assert_eq!(counts.len(), 9, "{line}");
}
