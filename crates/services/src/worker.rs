//! Interface of workers.

use std::net::SocketAddr;

use gorsespur_core::shard::{WorkerAnswer, WorkerRequest};
use snafu::Snafu;

/// Why an exchange with a worker failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// The worker can't be reached, or its answer was lost; the exchange may
    /// have taken effect.
    #[snafu(display("worker did not answer"))]
    NoAnswer,
}

/// Access to workers by address.
pub trait Workers: Send + Sync {
    /// Sends a request to the worker at `addr` and returns its answer.
    fn exchange(
        &self,
        addr: SocketAddr,
        request: &WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError>;
}
