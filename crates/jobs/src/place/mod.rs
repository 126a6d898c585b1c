//! Which worker a task runs on, and what waits for room.
//!
//! The load patterns that this answers: thousands of tasks that wait on hundreds of workers
//! (a step's workers are rated once, and what found no room tells of others like it);
//! serving tasks on nearly all processors, with room left in pieces (a worker is kept free
//! for a lasting task that has waited for long); workers that join empty (the most room
//! comes first).
//!
//! Limits: a pass rates a bounded number of workers, the most urgent steps first, so that
//! no pass holds up renewals; passes are paced by the number of open jobs.

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
mod starvation;
mod tasks;
pub(crate) mod unplaceable;
