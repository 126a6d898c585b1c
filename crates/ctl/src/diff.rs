//! Field-by-field comparison of templates.

use gorsespur_core::template::RawTemplate;
use serde_json::Value;

/// A scalar field of a template.
#[derive(Debug, Clone, PartialEq)]
struct Leaf {
    /// Path from the root, such as `services[name].replicas`.
    path: String,
    /// Value as JSON.
    value: String,
}

/// Returns the changed fields, sorted, as `path: old -> new`.
///
/// `none` means that a field is absent on one side. Without an old template, all fields
/// are new.
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

/// Returns the scalar fields of a template, sorted by path.
fn flatten(raw: &RawTemplate) -> Vec<Leaf> {
    let mut out = Vec::new();
    let value = serde_json::to_value(raw).unwrap_or(Value::Null);
    collect_leaves("", &value, &mut out);
    out.sort_by(|a, b| a.path.cmp(&b.path));
    out
}

/// Appends the scalar fields below a value.
///
/// List entries that have a name are identified by it, so that a moved entry is not reported as
/// a change; other entries are identified by their index.
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
