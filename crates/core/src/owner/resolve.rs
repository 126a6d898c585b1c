//! Resolution of a conditional write whose response was lost.

use super::ShardRow;

/// Outcome of a conditional write of a shard's row, determined by reading the row back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied; the row now has this version.
    Applied(u64),
    /// The write has not been applied yet: repeat it unchanged, with the same
    /// token, so that it is applied at most once.
    Repeat,
    /// Another writer changed the row.
    Lost,
}

/// Resolves a write with `token` that expected `expected_version`, given the row that was read
/// back and its version.
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
