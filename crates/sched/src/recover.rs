//! Recovery of a shard's state from its snapshot and the journal after it.

use gorsespur_core::{name::Name, owner::ShardRow, shard::ShardState};
use gorsespur_services::{ObjectError, Objects, Table, TableError};
use gorsespur_wire::{
    codec::{CodecError, decode},
    keys, objects,
    stored::{JournalRow, Snapshot},
};
use snafu::{ResultExt, Snafu, ensure};

/// Rows per scan.
const SCAN_ROWS: u32 = 200;

/// A reason why a shard can't be recovered now.
#[derive(Debug, Snafu)]
pub enum RecoverError {
    /// The table service failed.
    #[snafu(display("can't read the journal"))]
    Table {
        /// The reason.
        source: TableError,
    },
    /// The object store failed.
    #[snafu(display("can't read the snapshot"))]
    Object {
        /// The reason.
        source: ObjectError,
    },
    /// A row or the snapshot is malformed.
    #[snafu(display("malformed journal or snapshot"))]
    Codec {
        /// The reason.
        source: CodecError,
    },
    /// The journal has a gap.
    #[snafu(display("journal has record {found} instead of {expected}"))]
    Gap {
        /// Number of the record found.
        found: u64,
        /// Number of the record expected.
        expected: u64,
    },
}

/// Recovers the state of a shard whose row is `row`.
///
/// The caller must own the shard, so that nothing is appended in the meantime.
pub fn recover(
    table: &dyn Table,
    store: &dyn Objects,
    shard: &Name,
    row: &ShardRow,
) -> Result<ShardState, RecoverError> {
    let mut state = ShardState::default();
    let mut next = 0;
    if row.first_record > 0 {
        let key = objects::snapshot(shard, row.first_record);
        let bytes = store.get(&key).context(ObjectSnafu)?;
        let snapshot: Snapshot = decode(&bytes).context(CodecSnafu)?;
        state = snapshot.state;
        next = snapshot.next;
    }
    let prefix = keys::journal_rows(shard);
    let mut after = row
        .first_row
        .checked_sub(1)
        .map(|r| keys::journal(shard, r));
    loop {
        let (rows, has_more) = table.scan(&prefix, after, SCAN_ROWS).context(TableSnafu)?;
        after = rows.last().map(|r| r.key.clone());
        for r in rows {
            let batch: JournalRow = decode(&r.value).context(CodecSnafu)?;
            let (found, expected) = (batch.first, next);
            ensure!(found == expected, GapSnafu { found, expected });
            for record in &batch.records {
                state.apply(record);
            }
            next += batch.records.len() as u64;
        }
        if !has_more {
            break;
        }
    }
    let (found, expected) = (next, row.next_record);
    ensure!(found == expected, GapSnafu { found, expected });
    Ok(state)
}
