//! Workers.

use std::net::SocketAddr;

use gorsespur_core::shard::{WorkerAnswer, WorkerRequest};
use snafu::Snafu;

/// Why an exchange has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// The worker can't be reached, or its answer was lost.
    #[snafu(display("worker did not answer"))]
    NoAnswer,
}

/// The workers.
pub trait Workers: Send + Sync {
    /// Makes one exchange with the worker at `addr`.
    fn exchange(
        &self,
        addr: SocketAddr,
        request: &WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError>;
}
