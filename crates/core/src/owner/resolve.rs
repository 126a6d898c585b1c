//! What became of a write whose answer was lost.

use super::ShardRow;

/// Outcome of a conditional write of a shard's row, by reading it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect; the row now has this version.
    Applied(u64),
    /// It did not take effect yet: repeat it unchanged, with the same token, so
    /// that it can take effect once at most.
    Repeat,
    /// Another writer changed the row.
    Lost,
}

/// Resolves a write with `token` that expected `version`.
pub fn resolve_write(
    token: u64,
    expected_version: u64,
    row: Option<&ShardRow>,
    found_version: u64,
) -> WriteOutcome {
    if row.is_some_and(|r| r.token == token) {
        return WriteOutcome::Applied(found_version);
    }
    if found_version == expected_version {
        return WriteOutcome::Repeat;
    }
    WriteOutcome::Lost
}
