//! Translation to and from the formats of callers, workers and operators.

use std::sync::Arc;

use gorsespur_http::{HttpError, Request, Response};
use gorsespur_jobs::{Answer, Outcome, Spec, StartOrder, TaskId, WorkerInfo};
use snafu::Snafu;

use crate::{config::Config, store::Row};

/// Why a message can't be translated.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ProtocolError {
    /// A body or row is malformed.
    #[snafu(display("malformed {what}: {reason}"))]
    Malformed {
        /// Kind of the body or row.
        what: &'static str,
        /// What is malformed.
        reason: String,
    },
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Poll the worker for running and ended runs.
    Poll {
        /// The worker may drop ended runs up to this number.
        observed: u64,
        /// End of the lease on the worker's clock in milliseconds.
        deadline: Option<u64>,
        /// Milliseconds to wait for a run to end.
        wait: u64,
    },
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(TaskId, u32),
    /// Set the pace of a run, in percent.
    Pace(TaskId, u32, u32),
}

/// Translates between the node and its callers, workers and operators.
pub trait Protocol: Send + Sync + 'static {
    /// Returns the table and key of the configuration's row.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Returns the availability zone that a row of the configuration's table evacuates; `None` if
    /// it is about something else. Of a removed row, only the key is used.
    fn evacuation(&self, row: &Row) -> Result<Option<Arc<str>>, ProtocolError>;

    /// Returns the table in which workers announce themselves.
    fn workers_table(&self) -> &'static str;

    /// Decodes the configuration.
    fn config(&self, row: &Row) -> Result<Config, ProtocolError>;

    /// Decodes a worker's announcement.
    fn worker(&self, row: &Row) -> Result<WorkerInfo, ProtocolError>;

    /// Encodes an order with a fencing token to a worker's incarnation.
    fn order(&self, order: &Order, fence: u64, worker: &Arc<str>) -> Request;

    /// Decodes the result of an order.
    fn answer(&self, order: &Order, result: Result<Response, HttpError>) -> Answer;

    /// Decodes a submitted job.
    fn submission(&self, body: &[u8]) -> Result<Spec, ProtocolError>;

    /// Encodes the state of a job.
    fn outcome(&self, outcome: Outcome) -> Vec<u8>;

    /// Encodes the number of jobs without a started task.
    fn pending(&self, count: u64) -> Vec<u8>;

    /// Returns the timeout of a request's caller, in milliseconds.
    fn caller_timeout(&self, request: &Request) -> Option<u64>;
}
