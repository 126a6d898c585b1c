//! The table service's messages.
//!
//! Rows have a version, which is the number of the transaction that wrote
//! them. A transaction takes effect as a whole or not at all.

use gorsespur_core::name::Name;
use serde::{Deserialize, Serialize};

/// What a row must be like for a transaction to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Name,
    /// What it must be like.
    pub expect: Expect,
}

/// A row to be written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: Name,
    /// Its new value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tx {
    /// Conditions; all must hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to delete; absent ones are passed over.
    pub deletes: Vec<Name>,
}

impl Tx {
    /// Returns an empty transaction.
    pub fn new() -> Tx {
        Tx::default()
    }

    /// Adds a condition.
    pub fn check(mut self, key: Name, expect: Expect) -> Tx {
        self.checks.push(Check { key, expect });
        self
    }

    /// Adds a row to write.
    pub fn put(mut self, key: Name, value: Vec<u8>) -> Tx {
        self.puts.push(Put { key, value });
        self
    }

    /// Adds a row to delete.
    pub fn delete(mut self, key: Name) -> Tx {
        self.deletes.push(key);
        self
    }
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxAnswer {
    /// It took effect; written rows have this version.
    Done(u64),
    /// It did not take effect since a condition does not hold.
    Conflict {
        /// Key of the first such row.
        key: Name,
        /// The row's version; 0 if there is none.
        found: u64,
    },
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: Name,
    /// Version.
    pub version: u64,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Asks for rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GetRequest {
    /// Keys.
    pub keys: Vec<Name>,
}

/// The rows in the order of the keys; none where there is no row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GetAnswer {
    /// Rows.
    pub rows: Vec<Option<Row>>,
}

/// Asks for rows by prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: Name,
    /// Only keys after this one.
    pub after: Option<Name>,
    /// Most rows.
    pub limit: u32,
}

/// Rows sorted by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanAnswer {
    /// Rows.
    pub rows: Vec<Row>,
    /// Whether there are more.
    pub more: bool,
}
