//! Keys of the object store.

use gorsespur_core::name::Name;

/// Returns the key of a shard's snapshot of the state before record `next`.
pub fn snapshot(shard: &str, next: u64) -> Name {
    format!("snapshot/{shard}/{next:020}").into()
}
