//! Decides which jobs are placed first.
//!
//! The load pattern is more work than capacity, where first come, first served makes all
//! jobs late. Jobs are therefore sorted by whether they can still meet their objective and
//! whether they have started, and otherwise by a pseudo-random order that is independent of
//! age and size. Whether a job can be on time depends on its duration. Callers' estimates of it
//! are poor, so it is learned from the tasks that end.
//!
//! Limits: the critical path of a job is recomputed only ten times a second, since
//! placement goes through all open jobs far more often and objectives are a second or more.

pub(crate) mod estimates;
#[cfg(test)]
mod estimates_tests;
pub(crate) mod urgency;
