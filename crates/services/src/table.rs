//! Interface of the table service.

use gorsespur_core::name::Name;
use gorsespur_wire::table::{Row, Tx};
use snafu::Snafu;

/// Why a call to the table service failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// A condition of the transaction does not hold; nothing was written.
    #[snafu(display("row {key} has version {found}"))]
    Conflict {
        /// Key of the row.
        key: Name,
        /// Version of the row; 0 if there is none.
        found: u64,
    },
    /// The service is unavailable; nothing was written.
    #[snafu(display("table service is unavailable"))]
    Unavailable,
    /// The write may or may not have taken effect.
    #[snafu(display("answer of the table service was lost"))]
    Unknown,
}

/// A table service with versioned rows and conditional transactions.
pub trait Table: Send + Sync {
    /// Runs a transaction atomically and returns the version of the rows it wrote.
    fn tx(&self, tx: &Tx) -> Result<u64, TableError>;

    /// Reads rows by key, in the order of `keys`; `None` for an absent row.
    fn get(&self, keys: &[Name]) -> Result<Vec<Option<Row>>, TableError>;

    /// Reads at most `limit` rows whose keys start with `prefix` and follow
    /// `after`. The flag is true if more rows match.
    fn scan(
        &self,
        prefix: &Name,
        after: Option<Name>,
        limit: u32,
    ) -> Result<(Vec<Row>, bool), TableError>;
}
