//! What a shard's machine wants done.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{JobSpec, JobStatus, Record, WorkerRequest};
use crate::name::Name;

/// A job without open tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinishedJob {
    /// The job.
    pub spec: JobSpec,
    /// Its last state.
    pub status: JobStatus,
    /// Number in its shard.
    #[serde(rename = "no")]
    pub number: u32,
    /// Attempts of each task, if they may have written checkpoints.
    pub attempts: Vec<u32>,
}

/// An action of a shard's machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Append these records to the journal, in order.
    Append {
        /// Number of the first record.
        first: u64,
        /// The records.
        records: Vec<Record>,
        /// Jobs that these records finish.
        finished: Vec<FinishedJob>,
    },
    /// Send this request to a worker.
    Exchange {
        /// The worker.
        worker: Name,
        /// Its address.
        addr: SocketAddr,
        /// The request.
        request: WorkerRequest,
    },
    /// A worker knows a newer epoch: check the ownership.
    Fenced {
        /// The newer epoch.
        epoch: u64,
    },
}
