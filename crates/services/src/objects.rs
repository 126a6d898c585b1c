//! Interface of the object store.

use snafu::Snafu;

/// Why a call to the object store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ObjectError {
    /// There is no such object.
    #[snafu(display("no such object"))]
    Absent,
    /// The store is unavailable, or its answer was lost.
    #[snafu(display("object store is unavailable"))]
    Unavailable,
}

/// An object store; writes and deletes are idempotent.
pub trait Objects: Send + Sync {
    /// Writes an object, replacing any earlier value.
    fn put(&self, key: &str, value: &[u8]) -> Result<(), ObjectError>;

    /// Reads an object.
    fn get(&self, key: &str) -> Result<Vec<u8>, ObjectError>;

    /// Deletes an object; an absent object is not an error.
    fn delete(&self, key: &str) -> Result<(), ObjectError>;
}
