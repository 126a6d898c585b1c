//! The job scheduler as a state machine without I/O.
//!
//! A [`Scheduler`] takes events (a job was accepted, a worker reported, a batch of
//! records became durable) and returns actions (poll a worker, start or stop a
//! run, commit records). The scheduler reads no clock and opens no socket, so tests
//! replay any failure in virtual time, with the same result each time.
//!
//! Guarantees, and how they are kept:
//!
//! - *A task never has two runs at once.* The worker of a run is committed before
//!   the start is sent. A task is placed again only after its worker reported the
//!   end of the run, or after a report to a poll sent later than the last order
//!   does not include the run, or after every lease on that worker has expired.
//!   A start without an answer is fenced off by the generation of later orders.
//! - *An end counts once.* A worker is allowed to drop an end only after the record
//!   that counts the end is durable. A failed run is counted by its number. The end
//!   of an earlier run is not counted while a later one may still start.
//! - *A worker is never overcommitted.* Capacity is released when an end is
//!   reported, not when a stop is sent.
//!
//! Modules:
//!
//! - [`model`]: jobs, steps, tasks and their records, without decisions;
//! - [`queues`]: the policies of the queues, also of removed ones;
//! - [`order`]: the order of the jobs;
//! - [`entitlement`]: how the capacity is divided among the queues while it is short;
//! - [`admission`]: which new jobs can be served;
//! - [`lending`]: which long-running tasks pause for short work;
//! - [`place`]: which worker runs a task, and which tasks wait for capacity;
//! - [`share`]: interference between tasks on one worker, and the paces of runs;
//! - [`runs`]: leases of workers, starts, stops, ends, and what is committed.
//!
//! [`drive`] defines the order in which these run.

mod action;
mod admission;
mod cancels;
#[cfg(test)]
mod cancels_tests;
mod codec;
mod drive;
mod entitlement;
mod event;
mod lending;
mod model;
mod order;
mod place;
mod queues;
mod runs;
mod scheduler;
mod settings;
mod share;
mod sorted_map;
mod stats;
mod summary;
mod takeover;

pub use action::{Action, Batch, StartOrder};
pub use admission::{QueueFigures, WaitForecast};
pub use cancels::CANCEL_RETENTION_MS;
pub use codec::{decode_next, decode_row};
pub use entitlement::QueueShare;
pub use event::{
    Answer, Ending, Event, Paced, ReportedRun, RunEnd, Started, Stopped, WorkerReport,
};
pub use lending::settings::{Lending, LendingError};
pub use model::{
    bounds::NumberError,
    ids::{IdError, JobId, TaskId},
    policy::QueuePolicy,
    record::{Outcome, Record, RecordError},
    spec::{Job, Schedule, Spec, SpecError, Step},
};
pub use queues::RemovedQueue;
pub use runs::{
    fencing::MAX_GENERATION,
    worker::Capacity,
    worker_info::{WorkerError, WorkerInfo},
};
pub use scheduler::Scheduler;
pub use settings::{Settings, lease_upper_bound};
pub use share::learned::Learned;
pub use sorted_map::SortedMap;
pub use stats::Stats;
pub use takeover::Takeover;
