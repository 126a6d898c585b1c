//! The scheduler: owns shards of its availability zone.
//!
//! For each shard of the zone a keeper thread watches the shard's row and, once
//! it owns the shard, writes its journal. While it owns the shard, a machine
//! thread takes the decisions, an inbox thread fetches submitted jobs, and a
//! pool of threads shared by all shards makes the exchanges with workers.

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
