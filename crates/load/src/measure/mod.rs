//! Measurements, each against its baseline in one run.

pub(crate) mod faults;
pub(crate) mod overhead;
