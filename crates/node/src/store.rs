//! Interface to the store: versioned rows and conditional writes.

use std::time::Duration;

use gorsespur_http::Traffic;
use snafu::Snafu;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The call had no effect, and may succeed later.
    #[snafu(display("store unavailable: {reason}"))]
    Unavailable {
        /// Reported by the store or the network.
        reason: String,
    },
    /// The call had no effect, and the same call never will: it breaks a limit of the store.
    #[snafu(display("rejected by the store: {reason}"))]
    Rejected {
        /// Reported by the store.
        reason: String,
    },
    /// No answer: a write may have taken effect, or may still do so.
    #[snafu(display("no answer from the store: {reason}"))]
    Unknown {
        /// Reported by the network.
        reason: String,
    },
    /// The change history no longer reaches back to the requested version.
    #[snafu(display("change history compacted"))]
    Compacted,
    /// The answer is malformed.
    #[snafu(display("malformed answer from the store: {reason}"))]
    Malformed {
        /// What is malformed.
        reason: String,
    },
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Part of the table.
    pub part: String,
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Version of the transaction that wrote the row.
    pub version: u64,
    /// Whether the row was removed; set only in [`Changes`].
    pub removed: bool,
}

/// A range of rows of one part: from `from`, inclusive, to `until`, exclusive.
#[derive(Debug, Clone, Copy)]
pub struct Range<'a> {
    /// Table.
    pub table: &'a str,
    /// Part of the table.
    pub part: &'a str,
    /// First key.
    pub from: &'a str,
    /// First key after the range; empty for no bound.
    pub until: &'a str,
}

impl<'a> Range<'a> {
    /// Returns the range of one row; `until` is the next possible key.
    fn row(table: &'a str, part: &'a str, key: &'a str, until: &'a str) -> Range<'a> {
        Range {
            table,
            part,
            from: key,
            until,
        }
    }
}

/// Returns whether a row with this key exists among the current rows of conditions.
pub(crate) fn has_row(rows: &[Row], key: &str) -> bool {
    rows.iter()
        .any(|r| r.key == key && r.version > 0 && !r.removed)
}

/// Rows read at one version of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Rows, sorted by key.
    pub rows: Vec<Row>,
    /// Whether more rows follow the last one.
    pub more: bool,
    /// Version of the store at which the rows were read.
    pub version: u64,
}

/// Changes of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Changed rows, in the order of their versions.
    pub rows: Vec<Row>,
    /// Version after which to read further changes.
    pub version: u64,
    /// Whether these are all changes up to the time of the answer; if not, more can be read at
    /// once.
    pub is_complete: bool,
}

/// A condition of a transaction: a row and the version it must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Version; 0 if the row must be absent.
    pub version: u64,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
}

/// A transaction in one part: makes all writes and removals if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tx {
    /// Part of the tables.
    pub part: String,
    /// Conditions.
    pub expects: Vec<Expect>,
    /// Writes.
    pub writes: Vec<Write>,
    /// Tables and keys of the rows to remove.
    pub removes: Vec<(&'static str, String)>,
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect, with this version.
    Done(u64),
    /// A condition does not hold; contains the current rows of all conditions.
    Conflict(Vec<Row>),
}

/// The store. Each call adds its cost to a [`Traffic`].
pub trait Store: Send + Sync + 'static {
    /// Reads at most one page of rows of one part.
    fn read(&self, range: Range<'_>, traffic: &Traffic) -> Result<Page, StoreError>;

    /// As [`Store::read`], but gives up after `limit`: for answers that are of no use later.
    fn read_within(
        &self,
        range: Range<'_>,
        limit: Duration,
        traffic: &Traffic,
    ) -> Result<Page, StoreError>;

    /// Returns the changes of a table after a version, waiting up to `wait` for the first change.
    fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
        traffic: &Traffic,
    ) -> Result<Changes, StoreError>;

    /// Runs a transaction. Without an answer within `limit` its result is unknown.
    ///
    /// A slow store runs transactions one after another, and each retry delays the others, so the
    /// limit should be generous.
    fn commit(&self, tx: &Tx, limit: Duration, traffic: &Traffic) -> Result<Commit, StoreError>;
}

/// The store, with calls counted under one duty.
#[derive(Clone, Copy)]
pub(crate) struct DutyStore<'a> {
    store: &'a dyn Store,
    traffic: &'a Traffic,
}

impl<'a> DutyStore<'a> {
    /// Wraps `store` and counts its calls in `traffic`.
    pub(crate) fn new(store: &'a dyn Store, traffic: &'a Traffic) -> DutyStore<'a> {
        DutyStore { store, traffic }
    }

    /// As [`Store::changes`].
    pub(crate) fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.store.changes(table, after, wait, self.traffic)
    }

    /// As [`Store::commit`].
    pub(crate) fn commit(&self, tx: &Tx, limit: Duration) -> Result<Commit, StoreError> {
        self.store.commit(tx, limit, self.traffic)
    }

    /// Reads all rows of one part; the returned version is that of the first page.
    pub(crate) fn read_all(&self, table: &str, part: &str) -> Result<Page, StoreError> {
        let range = Range {
            table,
            part,
            from: "",
            until: "",
        };
        let mut all = self.store.read(range, self.traffic)?;
        while all.more {
            let last = all.rows.last().map(|r| r.key.clone()).unwrap_or_default();
            let from = key_after(&last);
            let range = Range {
                from: &from,
                ..range
            };
            let next = self.store.read(range, self.traffic)?;
            all.more = next.more && !next.rows.is_empty();
            all.rows.extend(next.rows);
        }
        Ok(all)
    }

    /// Reads one row.
    pub(crate) fn read_one(
        &self,
        table: &str,
        part: &str,
        key: &str,
    ) -> Result<Option<Row>, StoreError> {
        let until = key_after(key);
        let range = Range::row(table, part, key, &until);
        let page = self.store.read(range, self.traffic)?;
        Ok(page.rows.into_iter().next())
    }

    /// Reads one row, but gives up after `limit`.
    pub(crate) fn read_one_within(
        &self,
        table: &str,
        part: &str,
        key: &str,
        limit: Duration,
    ) -> Result<Option<Row>, StoreError> {
        let until = key_after(key);
        let range = Range::row(table, part, key, &until);
        let page = self.store.read_within(range, limit, self.traffic)?;
        Ok(page.rows.into_iter().next())
    }
}

/// Returns the smallest key greater than another one.
fn key_after(key: &str) -> String {
    format!("{key}\0")
}
