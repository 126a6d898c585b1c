//! Interface of the membership list.

use gorsespur_wire::members::MemberList;
use snafu::Snafu;

/// Why the membership list can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MembersError {
    /// The list is unavailable.
    #[snafu(display("membership list is unavailable"))]
    Unavailable,
}

/// A source of the membership list.
pub trait Members: Send + Sync {
    /// Reads the list.
    fn list(&self) -> Result<MemberList, MembersError>;
}
