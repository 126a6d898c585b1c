//! What callers, workers and operators speak, behind one trait.

use std::sync::Arc;

use gorsespur_http::{HttpError, Request, Response};
use gorsespur_jobs::{Answer, Outcome, Spec, StartOrder, TaskId, WorkerInfo};
use snafu::Snafu;

use crate::{config::Config, store::Row};

/// Why something can't be translated.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ProtocolError {
    /// A body or row that can't be read.
    #[snafu(display("malformed {what}: {reason}"))]
    Malformed {
        /// What was read.
        what: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Ask what runs and what ended.
    Poll {
        /// Ends up to this number may be dropped.
        observed: u64,
        /// End of the lease on the worker's clock in milliseconds.
        deadline: Option<u64>,
        /// Milliseconds to wait for an end.
        wait: u64,
    },
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(TaskId, u32),
    /// Let a run work at a share of its pace, in percent.
    Pace(TaskId, u32, u32),
}

/// Translates between the node and those it talks to.
pub trait Protocol: Send + Sync + 'static {
    /// Table and key of the configuration's row.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Returns the availability zone that a row of the configuration's table asks to be
    /// evacuated; nothing if it is about something else. Only the key of a removed row counts.
    fn evacuation(&self, row: &Row) -> Result<Option<Arc<str>>, ProtocolError>;

    /// Table in which workers announce themselves.
    fn workers_table(&self) -> &'static str;

    /// Reads the configuration.
    fn config(&self, row: &Row) -> Result<Config, ProtocolError>;

    /// Reads a worker's announcement.
    fn worker(&self, row: &Row) -> Result<WorkerInfo, ProtocolError>;

    /// Writes an order of an owner's epoch to a worker's life.
    fn order(&self, order: &Order, epoch: u64, worker: &Arc<str>) -> Request;

    /// Reads what came of an order.
    fn answer(&self, order: &Order, result: Result<Response, HttpError>) -> Answer;

    /// Reads what a caller hands in.
    fn submission(&self, body: &[u8]) -> Result<Spec, ProtocolError>;

    /// Writes what became of a job.
    fn outcome(&self, outcome: Outcome) -> Vec<u8>;

    /// Writes the number of jobs none of whose tasks has begun.
    fn pending(&self, count: u64) -> Vec<u8>;

    /// Returns how long the caller of a request waits, in milliseconds.
    fn caller_timeout(&self, request: &Request) -> Option<u64>;
}
