//! Recovery of a shard's book: snapshot and the journal behind it.

use gorsespur_core::{name::Name, owner::ShardRow, shard::ShardState};
use gorsespur_services::{ObjectError, Objects, Table, TableError};
use gorsespur_wire::{
    codec::{CodecError, decode},
    keys, objects,
    stored::{JournalRow, Snapshot},
};
use snafu::{ResultExt, Snafu, ensure};

/// Rows of one read.
const SCAN_ROWS: u32 = 200;

/// Why a shard can't be recovered now.
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
    #[snafu(display("journal or snapshot is malformed"))]
    Codec {
        /// The reason.
        source: CodecError,
    },
    /// The journal has a gap.
    #[snafu(display("journal has record {found} where {expected} should be"))]
    Gap {
        /// Number of the record found.
        found: u64,
        /// Number that should be there.
        expected: u64,
    },
}

/// Recovers the book of a shard whose row is `row`.
///
/// The caller must own the shard, so that nothing is appended meanwhile.
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
        state = snapshot.book;
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
