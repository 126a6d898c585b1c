//! Leases of workers, starts and stops, ends, and what is made durable.
//!
//! The load pattern that this answers: answers that come late, twice or never, from
//! workers that die, are cut off or fail all they start, to an owner that itself is late.
//! Nothing is concluded from silence that was not asked for and read.
//!
//! Limits: a lease on a worker is as long as a takeover may take, and reaches no further
//! from the owner's last contact with the store than a successor may keep tasks waiting; a
//! worker is closed after three failures in a row, since one run in twenty fails by its own
//! fault.

pub(crate) mod answers;
pub(crate) mod checkpoints;
mod close;
pub(crate) mod commit;
pub(crate) mod crashes;
pub(crate) mod fleet;
mod incarnations;
#[cfg(test)]
mod incarnations_tests;
pub(crate) mod late_start;
pub(crate) mod log;
mod lost;
pub(crate) mod orphan;
pub(crate) mod poll;
pub(crate) mod quarantine;
mod replaced;
#[cfg(test)]
mod replaced_tests;
pub(crate) mod report;
mod reported;
mod unreported;
mod unverified;
pub(crate) mod worker;
