//! The store, as the node needs it: rows with versions, and conditional writes.

use std::time::Duration;

use gorsespur_http::Traffic;
use snafu::Snafu;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// Nothing was done; it may work later.
    #[snafu(display("store unavailable: {reason}"))]
    Unavailable {
        /// What it or the network said.
        reason: String,
    },
    /// No answer: a write may have been done, or may be done later.
    #[snafu(display("no answer of the store: {reason}"))]
    Unknown {
        /// What the network said.
        reason: String,
    },
    /// The history does not reach back as far as was asked.
    #[snafu(display("history forgotten"))]
    Compacted,
    /// An answer that can't be read.
    #[snafu(display("malformed answer of the store: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its part of the table.
    pub part: String,
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The version of the transaction that wrote it.
    pub version: u64,
    /// Whether the row was removed; only among changes.
    pub removed: bool,
}

/// Rows of one part, from `from` on and before `until`.
#[derive(Debug, Clone, Copy)]
pub struct Range<'a> {
    /// Table.
    pub table: &'a str,
    /// Part of the table.
    pub part: &'a str,
    /// First key.
    pub from: &'a str,
    /// First key that is not read; empty for no bound.
    pub until: &'a str,
}

/// Rows of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The rows by key.
    pub rows: Vec<Row>,
    /// Whether there are more behind the last one.
    pub more: bool,
    /// The store's version at that moment.
    pub version: u64,
}

/// What has changed in a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changed rows in order.
    pub rows: Vec<Row>,
    /// Where to go on.
    pub version: u64,
    /// Whether these are all changes there were when the question was answered; else more
    /// are there to be read at once.
    pub is_complete: bool,
}

/// A row and the version it must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Version; 0 if the row must be absent.
    pub version: u64,
}

/// A row to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
}

/// A transaction in one part: all writes and removals if all expectations hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tx {
    /// Part of all its tables.
    pub part: String,
    /// Conditions.
    pub expects: Vec<Expect>,
    /// Writes.
    pub writes: Vec<Write>,
    /// Tables and keys of rows that are removed.
    pub removes: Vec<(&'static str, String)>,
}

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// It was done, as this version.
    Done(u64),
    /// A condition does not hold; the rows of the conditions as they are.
    Conflict(Vec<Row>),
}

/// The store. Each call counts itself in a [`Traffic`].
pub trait Store: Send + Sync + 'static {
    /// Reads rows of one part, up to a page.
    fn read(&self, range: Range<'_>, traffic: &Traffic) -> Result<Page, StoreError>;

    /// Returns what changed in a table after a version, waiting up to `wait` for
    /// a first change.
    fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
        traffic: &Traffic,
    ) -> Result<Changes, StoreError>;

    /// Runs a transaction; no answer within `limit` leaves it unclear. While the
    /// store is slow transactions wait for each other, and each that is sent again
    /// makes the others wait longer: the limit should be generous.
    fn commit(&self, tx: &Tx, limit: Duration, traffic: &Traffic) -> Result<Commit, StoreError>;
}

/// The store as one duty calls it, whose calls are counted together.
#[derive(Clone, Copy)]
pub(crate) struct DutyStore<'a> {
    store: &'a dyn Store,
    traffic: &'a Traffic,
}

impl<'a> DutyStore<'a> {
    /// Makes one that counts calls in `traffic`.
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

    /// Reads all rows of one part; the version is the first page's.
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
            // The least key behind the last one.
            let from = format!("{last}\0");
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
        let until = format!("{key}\0");
        let range = Range {
            table,
            part,
            from: key,
            until: &until,
        };
        let page = self.store.read(range, self.traffic)?;
        Ok(page.rows.into_iter().next())
    }
}
