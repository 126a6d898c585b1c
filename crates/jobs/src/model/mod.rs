//! Jobs, steps, tasks and runs, and their stored records.
//!
//! This module holds state and makes no decisions. A job has at most 4,000 tasks, so that its
//! state fits a few rows of the store.

pub(crate) mod bounds;
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
#[cfg(test)]
mod record_tests;
pub(crate) mod spec;
pub(crate) mod step;
pub(crate) mod task;
#[cfg(test)]
mod task_tests;
