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

mod action;
mod commit;
mod drive;
mod ends;
mod event;
mod figures;
mod fit;
mod fleet;
mod headroom;
mod ids;
mod job;
mod learned;
mod machine;
mod misfit;
mod order;
mod pace;
mod pairs;
mod place;
mod policy;
mod rank;
mod record;
mod request;
mod room;
mod sample;
mod settings;
mod slack;
mod sorted;
mod spare;
mod spec;
mod standing;
mod step;
mod summary;
mod task;
mod times;
#[cfg(test)]
mod times_tests;
mod trust;
mod watch;
mod worker;

pub use action::{Action, StartOrder};
pub use event::{Answer, End, Ending, Event, Look, Running, Started, Stopped};
pub use figures::Figures;
pub use ids::{IdError, JobId, TaskId};
pub use learned::Learned;
pub use machine::Machine;
pub use policy::QueuePolicy;
pub use record::{Outcome, Record, RecordError};
pub use settings::{CLOCK_RATE, LEASE_MARGIN, Settings};
pub use sorted::Sorted;
pub use spec::{Job, Schedule, Spec, SpecError, Step};
pub use worker::{Capacity, WorkerInfo};
