//! Decisions about jobs, without I/O.
//!
//! A [`Machine`] takes events (a job was accepted, a worker answered, a batch of
//! records became durable) and returns actions (look at a worker, start or stop a
//! run, commit records). It knows no clocks and no sockets, so every failure can
//! be played against it in no real time, with the same verdict each time.
//!
//! What it promises, and how:
//!
//! - *A task never runs twice at once.* A run's place is committed before its
//!   start is sent. A task is placed again only after its worker listed the end
//!   of its run, or showed in an answer to a question asked later than the last
//!   order that it has no such run, or after every lease on that worker is over.
//! - *An end counts once.* Ends are dropped at the worker only after the record
//!   that counts them is durable; a failed run is counted by its number.
//! - *A worker holds what it can hold.* Room is given back when an end is listed,
//!   not when a stop is sent.
//!
//! Where what is decided:
//!
//! - [`model`]: jobs, steps, tasks and their records, without decisions;
//! - [`order`]: which job comes first;
//! - [`place`]: which worker a task runs on, and what waits for room;
//! - [`share`]: what tasks on one worker do to each other, and the paces that follow;
//! - [`runs`]: leases of workers, starts and stops, ends, and what is made durable.
//!
//! [`drive`] says in which order these take their turn.

mod action;
mod drive;
mod event;
mod machine;
mod model;
mod order;
mod place;
mod runs;
mod settings;
mod share;
mod sorted_map;
mod stats;
mod summary;
mod takeover;

pub use action::{Action, Batch, StartOrder};
pub use event::{Answer, Ending, Event, ReportedRun, RunEnd, Started, Stopped, WorkerReport};
pub use machine::Machine;
pub use model::{
    ids::{IdError, JobId, TaskId},
    policy::QueuePolicy,
    record::{Outcome, Record, RecordError},
    spec::{Job, Schedule, Spec, SpecError, Step},
};
pub use runs::worker::{Capacity, WorkerInfo};
pub use settings::{Settings, lease_upper_bound};
pub use share::learned::Learned;
pub use sorted_map::SortedMap;
pub use stats::Stats;
pub use takeover::Takeover;
