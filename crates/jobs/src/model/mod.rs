//! Jobs, steps, tasks and runs, and the records that are kept of them.
//!
//! Nothing is decided here. Limits: a job has 4,000 tasks at most, so that what is kept of it
//! fits a few rows of the store.

pub(crate) mod changes;
pub(crate) mod checkpoint;
pub(crate) mod crash;
#[cfg(test)]
mod crash_tests;
pub(crate) mod ids;
pub(crate) mod incarnation;
#[cfg(test)]
mod incarnation_tests;
pub(crate) mod job;
pub(crate) mod policy;
pub(crate) mod record;
pub(crate) mod spec;
pub(crate) mod step;
pub(crate) mod task;
#[cfg(test)]
mod task_tests;
