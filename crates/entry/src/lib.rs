//! The entry: takes callers' requests and jobs.
//!
//! Requests to services go to targets that the owners of shards announce; jobs
//! go into the inbox of a shard in the table service, so that an accepted job
//! does not depend on any process. One thread decides on routing; handler
//! threads read, send and answer.

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
