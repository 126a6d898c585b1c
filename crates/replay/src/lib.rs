//! Traces of a shard's machine: recorded while it runs, replayed later.
//!
//! A trace starts with all that the machine starts from. Then each event
//! follows with its time and a hash of the actions that it led to. A replay
//! that leads to other actions has found a change of behaviour, or a decision
//! that depends on something outside the trace.

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
