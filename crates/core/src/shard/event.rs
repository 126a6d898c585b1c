//! What a shard's machine is told.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{JobKey, JobSpec, WorkerAnswer, WorkerInfo};
use crate::{Millis, name::Name, template::Organisation};

/// An event for a shard's machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The templates in force.
    Organisations(Vec<Arc<Organisation>>),
    /// The workers, by the membership list.
    Workers {
        /// The workers of the shard.
        list: Vec<WorkerInfo>,
        /// Number of workers that stay, by index of the shard.
        counts: Vec<u32>,
    },
    /// Jobs found in the inbox.
    Submit(Vec<JobSpec>),
    /// Jobs that their callers cancelled.
    Cancel(Vec<JobKey>),
    /// A worker answered an exchange.
    Answer {
        /// The worker.
        worker: Name,
        /// Its answer.
        answer: WorkerAnswer,
    },
    /// An exchange has no answer.
    NoAnswer {
        /// The worker.
        worker: Name,
        /// Number of the exchange.
        seq: u64,
    },
    /// Records up to this number are in the journal.
    Committed(u64),
    /// The table service answered, and the shard's row now states this hold in
    /// milliseconds.
    StoreSeen(Millis),
    /// No earlier owner renews leases any more.
    Settled,
    /// Time passed.
    Tick,
}
