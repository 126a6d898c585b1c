//! HTTP client of workers.

use std::{net::SocketAddr, time::Duration};

use gorsespur_core::shard::{WorkerAnswer, WorkerRequest};
use gorsespur_wire::paths::EXCHANGE;

use crate::{WorkerError, Workers, post};

/// Client of the workers.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    timeout: Duration,
}

impl HttpWorkers {
    /// Returns a client whose exchanges take at most `timeout`.
    pub fn new(timeout: Duration) -> HttpWorkers {
        HttpWorkers { timeout }
    }
}

impl Workers for HttpWorkers {
    fn exchange(
        &self,
        addr: SocketAddr,
        request: &WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        post(addr, EXCHANGE, request, self.timeout).map_err(|_| WorkerError::NoAnswer)
    }
}
