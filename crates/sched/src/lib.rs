//! The scheduler, which owns shards of its availability zone.
//!
//! For each shard of the zone, a keeper thread watches the shard's row. Once it
//! has acquired the shard, it writes the shard's journal. During an ownership, a
//! shard thread runs the scheduler, an inbox thread reads submitted jobs, and a
//! thread pool shared by all shards makes the exchanges with workers.

pub mod args;
mod collect;
pub mod error;
mod exchanger;
mod inbox;
mod input;
mod inquiry;
pub mod journal;
mod keeper;
mod owned;
mod ownership;
mod peer_api;
pub mod program;
mod recover;
pub mod settings;
mod shard_thread;
pub mod sweep;

pub use recover::{RecoverError, recover};
