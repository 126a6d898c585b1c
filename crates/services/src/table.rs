//! The table service.

use gorsespur_core::name::Name;
use gorsespur_wire::table::{Row, Tx};
use snafu::Snafu;

/// Why a call to the table service failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// A condition does not hold; nothing was written.
    #[snafu(display("row {key} has version {found}"))]
    Conflict {
        /// Key of the row.
        key: Name,
        /// Its version; 0 if there is none.
        found: u64,
    },
    /// The service can't be used now; nothing was written.
    #[snafu(display("table service is unavailable"))]
    Unavailable,
    /// The write may or may not have taken effect.
    #[snafu(display("answer of the table service was lost"))]
    Unknown,
}

/// The table service.
pub trait Table: Send + Sync {
    /// Runs a transaction and returns the version of the rows it wrote.
    fn tx(&self, tx: &Tx) -> Result<u64, TableError>;

    /// Reads rows; none where there is no row.
    fn get(&self, keys: &[Name]) -> Result<Vec<Option<Row>>, TableError>;

    /// Reads up to `limit` rows by prefix, after the key `after`; tells
    /// whether there are more.
    fn scan(
        &self,
        prefix: &Name,
        after: Option<Name>,
        limit: u32,
    ) -> Result<(Vec<Row>, bool), TableError>;
}
