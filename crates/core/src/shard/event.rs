//! Events that a shard's scheduler handles.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{JobKey, JobSpec, WorkerAnswer, WorkerInfo};
use crate::{Millis, name::Name, template::Organisation};

/// An event for a shard's scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The current templates of all organisations.
    Organisations(Vec<Arc<Organisation>>),
    /// The workers in the membership list.
    Workers {
        /// The workers of the shard.
        list: Vec<WorkerInfo>,
        /// Number of workers that are not leaving, by index of the shard.
        counts: Vec<u32>,
    },
    /// Jobs from the inbox of the shard.
    Submit(Vec<JobSpec>),
    /// Keys of jobs that their callers cancelled.
    Cancel(Vec<JobKey>),
    /// A worker answered an exchange.
    Answer {
        /// The worker.
        worker: Name,
        /// Its answer.
        answer: WorkerAnswer,
    },
    /// An exchange got no answer.
    NoAnswer {
        /// The worker.
        worker: Name,
        /// Number of the exchange.
        seq: u64,
    },
    /// Records below this number are in the journal.
    Committed(u64),
    /// The table service answered; the shard's row now contains this hold in milliseconds.
    StoreSeen(Millis),
    /// No earlier owner can renew leases any more.
    Settled,
    /// Time passed.
    Tick,
}
