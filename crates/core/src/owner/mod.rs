//! Ownership of shards by leases in the table service.
//!
//! A shard's row names its owner and carries an epoch that only grows. Every
//! append to the journal is a conditional write on that row's version, so that
//! an owner that lost the shard can't append. Contenders never compare clocks:
//! a row whose version did not change for a lease, by the contender's own
//! clock, has no owner.

mod lease;
mod lease_watch;
mod resolve;
mod row;

pub use lease::OwnerLease;
pub use lease_watch::LeaseWatch;
pub use resolve::{WriteOutcome, resolve_write};
pub use row::ShardRow;
