//! Actions that a shard's scheduler requests from its owner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{JobSpec, JobStatus, Record, WorkerRequest};
use crate::name::Name;

/// A job without open tasks, as it is reported to the owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinishedJob {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Final status.
    pub status: JobStatus,
    /// Number of the job in its shard.
    #[serde(rename = "no")]
    pub number: u32,
    /// Latest attempt of each task if the tasks can write checkpoints, else empty.
    pub attempts: Vec<u32>,
}

/// An action that the owner carries out for a shard's scheduler.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Append records to the journal, in order.
    Append {
        /// Number of the first record.
        first: u64,
        /// The records.
        records: Vec<Record>,
        /// Jobs that these records finish.
        finished: Vec<FinishedJob>,
    },
    /// Send a request to a worker.
    Exchange {
        /// The worker.
        worker: Name,
        /// Its address.
        addr: SocketAddr,
        /// The request.
        request: WorkerRequest,
    },
    /// A worker reported a newer epoch; the owner has to check its ownership.
    Fenced {
        /// The newer epoch.
        epoch: u64,
    },
}
