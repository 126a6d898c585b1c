//! Measurements, each against its baseline in one run.

pub(crate) mod faults;
mod floor;
pub(crate) mod interference;
pub(crate) mod membership;
pub(crate) mod overhead;
pub(crate) mod overload;
mod overload_run;
mod slopes_org;
pub(crate) mod starts;

pub(crate) use slopes_org::organisation;
