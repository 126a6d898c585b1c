//! Chooses the worker that each waiting task runs on, and decides what waits for capacity.
//!
//! The module handles three load patterns. When thousands of tasks wait for hundreds of
//! workers, the workers are rated once per step, and a task that fits nowhere rules out
//! similar ones. When serving tasks take nearly all CPU and the free capacity is
//! fragmented, a worker is reserved for a long-running task that has waited for long. When
//! empty workers join, the workers with the most free capacity are chosen first.
//!
//! Limits: a pass rates a bounded number of workers, the most urgent steps first, so that
//! no pass delays lease renewals. The time between passes grows with the number of open
//! jobs.

pub(crate) mod aging;
pub(crate) mod free_capacity;
mod isolation;
pub(crate) mod pass;
pub(crate) mod rank;
pub(crate) mod refusal;
pub(crate) mod request;
pub(crate) mod reservation;
pub(crate) mod start_window;
#[cfg(test)]
mod start_window_tests;
pub(crate) mod starvation;
mod tasks;
pub(crate) mod unplaceable;
