//! What a shard's machine wants done.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Record, WorkerRequest};
use crate::name::Name;

/// An action of a shard's machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Append these records to the journal, in order.
    Append {
        /// Number of the first record.
        first: u64,
        /// The records.
        records: Vec<Record>,
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
