//! The object store.

use snafu::Snafu;

/// Why a call to the object store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ObjectError {
    /// There is no such object.
    #[snafu(display("no such object"))]
    Absent,
    /// The store can't be used now, or its answer was lost.
    #[snafu(display("object store is unavailable"))]
    Unavailable,
}

/// The object store; writing the same object twice is harmless.
pub trait Objects: Send + Sync {
    /// Writes an object.
    fn put(&self, key: &str, value: &[u8]) -> Result<(), ObjectError>;

    /// Reads an object.
    fn get(&self, key: &str) -> Result<Vec<u8>, ObjectError>;

    /// Deletes an object; absent ones are passed over.
    fn delete(&self, key: &str) -> Result<(), ObjectError>;
}
