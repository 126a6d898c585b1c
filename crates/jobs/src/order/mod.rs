//! Which job comes first.
//!
//! The load pattern that this answers is more work than room: first come first served
//! then makes all jobs late. So jobs are sorted by whether they can still meet their
//! objective and have begun, and the rest by a lot that does not depend on their age or
//! size. Whether a job can be in time needs the time that it takes, which callers guess
//! badly and which is learned from what ends.
//!
//! Limits: what is left of a job is worked out ten times a second, since placement goes
//! through all open jobs up to fifty times a second and objectives are a second and more.

pub(crate) mod estimates;
#[cfg(test)]
mod estimates_tests;
pub(crate) mod urgency;
