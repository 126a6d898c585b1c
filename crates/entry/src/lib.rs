//! The entry, which takes requests and jobs of callers.
//!
//! Requests to services are forwarded to targets that the owners of shards
//! announce. Jobs are written to the inbox of a shard in the table service, so
//! that an accepted job does not depend on any process. A single thread decides
//! on routing; handler threads read requests, send them to targets and reply.

pub mod args;
mod attempts;
mod caller;
mod cancel_jobs;
mod claims;
pub mod error;
mod forward;
mod head;
mod hints;
mod ids;
mod job_api;
mod job_json;
mod owners;
mod peer_api;
pub mod program;
mod reply;
mod router_thread;
#[cfg(test)]
mod router_thread_tests;
pub mod settings;
mod targets;
