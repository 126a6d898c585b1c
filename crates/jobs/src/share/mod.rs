//! Interference between tasks on one worker, and the paces that limit it.
//!
//! The load of serving tasks varies by a factor of three within seconds, and about one of four
//! pairs of a best-effort and a serving image interferes. The interference of each pair is fitted
//! to the workers' metrics. The CPU and headroom for best-effort runs follow the forecast load
//! where the load is periodic, and else the present load. Tail latencies close to their target slow
//! the interfering runs and, if that doesn't help in time, halt them.
//!
//! Limits: metrics arrive once a second and are off by a tenth. Users count four seconds over a
//! target as harm, so all best-effort runs are halted in less than half of that.

pub(crate) mod fit;
pub(crate) mod forecast;
pub(crate) mod headroom;
pub(crate) mod headroom_forecasts;
pub(crate) mod images;
pub(crate) mod interference;
#[cfg(test)]
mod interference_tests;
pub(crate) mod learned;
#[cfg(test)]
mod learned_tests;
pub(crate) mod metrics;
pub(crate) mod own_load;
pub(crate) mod pace;
pub(crate) mod sample;
pub(crate) mod seasonality;
#[cfg(test)]
mod seasonality_tests;
pub(crate) mod slack;
pub(crate) mod spare_cpu;
pub(crate) mod sums;
