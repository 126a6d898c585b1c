//! Messages of the table service.
//!
//! The version of a row is the number of the transaction that wrote it. A transaction takes effect
//! as a whole or not at all.

use gorsespur_core::name::Name;
use serde::{Deserialize, Serialize};

/// Expected state of a row in a condition of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Name,
    /// Expected state of the row.
    pub expect: Expect,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: Name,
    /// New value.
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
    /// Keys of rows to delete; missing rows are ignored.
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

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxAnswer {
    /// The transaction took effect; written rows have this version.
    Done(u64),
    /// The transaction did not take effect because a condition does not hold.
    Conflict {
        /// Key of the row of the first such condition.
        key: Name,
        /// Current version of the row; 0 if it does not exist.
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

/// Requests rows by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GetRequest {
    /// Keys.
    pub keys: Vec<Name>,
}

/// Rows in the order of the requested keys; `None` for missing rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GetAnswer {
    /// Rows.
    pub rows: Vec<Option<Row>>,
}

/// Requests rows by prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: Name,
    /// Returns only keys after this one.
    pub after: Option<Name>,
    /// Limit on the number of rows.
    pub limit: u32,
}

/// Rows sorted by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanAnswer {
    /// Rows.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}
