//! Ownership of shards by leases in the table service.
//!
//! A shard's row names its owner and contains an epoch that only increases.
//! Every append to the journal is a conditional write on the version of that
//! row, so an owner that lost the shard can't append. Clocks of different
//! instances are never compared: a shard may be acquired once the version of
//! its row has not changed for a whole lease by the contender's own clock.

mod lease;
mod lease_watch;
mod resolve;
mod row;

pub use lease::OwnerLease;
pub use lease_watch::LeaseWatch;
pub use resolve::{WriteOutcome, resolve_write};
pub use row::ShardRow;
