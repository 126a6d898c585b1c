//! Records and replays traces of a shard's scheduler.
//!
//! A replay detects changes of behaviour and decisions that depend on something outside of the
//! trace: in both cases the replayed actions differ from the recorded ones. Actions are recorded
//! as hashes only, so that a replay shows the step that differs, but not how.
//!
//! A trace starts with the initial state of the scheduler, followed by each event with its time and
//! a hash of the resulting actions.

pub mod args;
pub mod error;
mod header;
mod outcome;
pub mod program;
mod reader;
mod recorder;

pub use error::TraceError;
pub use header::{Frame, Header};
pub use outcome::{Expected, Outcome};
pub use reader::{Trace, replay};
pub use recorder::{Recorder, hash_actions};
