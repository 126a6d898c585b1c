//! Measurements. Each compares the system to a baseline in the same run.

pub(crate) mod faults;
pub(crate) mod interference;
pub(crate) mod membership;
mod organisation;
pub(crate) mod overhead;
pub(crate) mod overload;
mod overload_sim;
mod placement_sim;
pub(crate) mod starts;

pub(crate) use organisation::organisation;
