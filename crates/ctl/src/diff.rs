//! Differences between two templates, field by field.

use gorsespur_core::template::RawTemplate;
use serde_json::Value;

/// A field and its value.
#[derive(Debug, Clone, PartialEq)]
struct Leaf {
    path: String,
    value: String,
}

/// Returns the changed fields, one a line: `path: old -> new`.
pub fn diff(old: Option<&RawTemplate>, new: &RawTemplate) -> Vec<String> {
    let before = old.map(flatten).unwrap_or_default();
    let after = flatten(new);
    let mut out = Vec::new();
    for leaf in &before {
        match after.binary_search_by(|l| l.path.cmp(&leaf.path)) {
            Ok(i) if after[i].value == leaf.value => {}
            Ok(i) => out.push(format!(
                "{}: {} -> {}",
                leaf.path, leaf.value, after[i].value
            )),
            Err(_) => out.push(format!("{}: {} -> none", leaf.path, leaf.value)),
        }
    }
    for leaf in &after {
        if before.binary_search_by(|l| l.path.cmp(&leaf.path)).is_err() {
            out.push(format!("{}: none -> {}", leaf.path, leaf.value));
        }
    }
    out.sort();
    out
}

fn flatten(raw: &RawTemplate) -> Vec<Leaf> {
    let mut out = Vec::new();
    let value = serde_json::to_value(raw).unwrap_or(Value::Null);
    collect_leaves("", &value, &mut out);
    out.sort_by(|a, b| a.path.cmp(&b.path));
    out
}

/// Entries of lists go by their names, so that a moved entry is no change.
fn collect_leaves(path: &str, value: &Value, out: &mut Vec<Leaf>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_leaves(&path, field, out);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                let name = item.get("name").and_then(Value::as_str);
                let name = name.map_or_else(|| i.to_string(), str::to_owned);
                collect_leaves(&format!("{path}[{name}]"), item, out);
            }
        }
        leaf => out.push(Leaf {
            path: path.to_owned(),
            value: leaf.to_string(),
        }),
    }
}
