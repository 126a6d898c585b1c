//! The announcements of workers.

use std::{net::SocketAddr, sync::Arc};

use snafu::{ResultExt, Snafu, ensure};

use crate::{
    model::bounds::{self, MAX_AMOUNT, MAX_DURATION_MS, Number, NumberError},
    runs::worker::Capacity,
};

/// The announcement of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Name of the worker. Other incarnations may have the same name if they report their start
    /// times.
    pub id: Arc<str>,
    /// Start time of the incarnation in milliseconds since the Unix epoch, if the worker reports
    /// one.
    pub start_time: Option<u64>,
    /// Address that the worker listens on.
    pub addr: SocketAddr,
    /// The service whose tasks the worker runs.
    pub service: Arc<str>,
    /// Availability zone of the worker.
    pub zone: Arc<str>,
    /// Labels of the worker.
    pub labels: Vec<Arc<str>>,
    /// Rack of the worker.
    pub rack: Arc<str>,
    /// Total capacity.
    pub capacity: Capacity,
    /// Whether the worker takes new runs; otherwise it is about to leave.
    pub ready: bool,
    /// While the worker is leaving: least time in milliseconds until all its runs are killed.
    pub remaining_ms: u64,
}

/// The error for an announcement that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// A number is too large.
    #[snafu(display("{source}"))]
    Amount {
        /// The number and its bound.
        source: NumberError,
    },
    /// The name can't be part of a message.
    #[snafu(display("the name has control characters"))]
    Name,
}

impl WorkerInfo {
    /// Checks that the numbers are within their bounds, and that the name can be part of a message.
    /// Anything may write announcements.
    pub fn validate(&self) -> Result<(), WorkerError> {
        ensure!(!self.id.chars().any(char::is_control), NameSnafu);
        let numbers = [
            Number::new("cpu", self.capacity.cpu, MAX_AMOUNT),
            Number::new("memory", self.capacity.memory, MAX_AMOUNT),
            Number::new("gpu", self.capacity.gpu, MAX_AMOUNT),
            Number::new("remaining time", self.remaining_ms, MAX_DURATION_MS),
        ];
        bounds::check(&numbers).context(AmountSnafu)
    }
}
