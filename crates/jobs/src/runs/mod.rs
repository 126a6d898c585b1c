//! Leases on workers, starts, stops and ends of runs, and the commits that make them durable.
//!
//! Answers come late, twice or never, from workers that die, are cut off or fail every start, to an
//! owner that may itself be late. Silence is no evidence; the result of a poll is.
//!
//! Limits: a lease on a worker is as long as a takeover may take, and reaches no further past the
//! owner's last contact with the store than a successor may keep tasks waiting. A worker is
//! quarantined after three failures in a row, since one run in twenty fails by its own fault.

pub(crate) mod answers;
pub(crate) mod checkpoints;
mod close;
pub(crate) mod commit;
pub(crate) mod crashes;
mod ends;
#[cfg(test)]
mod ends_tests;
pub(crate) mod evidence;
pub(crate) mod fencing;
pub(crate) mod fleet;
mod incarnations;
#[cfg(test)]
mod incarnations_tests;
mod late_drops;
pub(crate) mod log;
mod lost;
pub(crate) mod orphan;
pub(crate) mod poll;
pub(crate) mod quarantine;
mod rejected;
mod replaced;
#[cfg(test)]
mod replaced_tests;
pub(crate) mod report;
mod reported;
mod unreported;
mod unverified;
pub(crate) mod worker;
pub(crate) mod worker_info;
