//! The exchange between a shard's owner and a worker.
//!
//! The owner states all it wants of a worker; the worker answers with all it
//! has. Repeating an exchange changes nothing. One exchange renews every lease
//! on the worker, except those listed in `lapse`.
//!
//! A lease ends at `echo + lease` on the worker's own clock, where `echo` is
//! the clock reading in an earlier answer. A request that was delayed, in the
//! network or while a process was paused, therefore can't extend a lease
//! beyond what its sender counted on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::AttemptId;
use crate::{Millis, name::Name, size::Size};

/// A worker as the membership list and its own answers describe it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Rack.
    pub rack: Name,
    /// Address for exchanges.
    pub addr: SocketAddr,
    /// Address of the services on it.
    pub target: SocketAddr,
    /// What it can hold.
    pub size: Size,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// A start that is wanted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Organisation, job and task, as callers know them.
    pub name: Name,
    /// Kind of job or service.
    pub kind: Name,
    /// Room that is reserved for it.
    pub size: Size,
    /// Declared run time; 0 runs until stopped.
    #[serde(rename = "run")]
    pub run_time: Millis,
    /// Key of the checkpoint to resume from, in the object store.
    pub resume: Option<Name>,
    /// Key to write checkpoints to; none if it can't write any.
    pub checkpoint: Option<Name>,
    /// Whether it is a replica of a service.
    pub service: bool,
}

/// A stop that is wanted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether to write a checkpoint first.
    pub save: bool,
}

/// A limit on the processors of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Throttle {
    /// The attempt.
    pub attempt: AttemptId,
    /// Share of its processors in hundredths; 100 lifts the limit.
    #[serde(rename = "percent")]
    pub cpu_percent: u32,
}

/// What the owner wants of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRequest {
    /// Shard.
    pub shard: Name,
    /// Epoch of the shard's owner; older ones are refused.
    pub epoch: u64,
    /// Number of the exchange within the epoch; older ones are refused.
    pub seq: u64,
    /// Boot of the worker that the owner knows; 0 before the first answer.
    pub boot: u64,
    /// Worker's clock in the last answer; 0 before the first answer.
    pub echo: Millis,
    /// Lease from `echo` on.
    pub lease: Millis,
    /// Whether to renew leases.
    pub renew: bool,
    /// Attempts whose lease is not renewed.
    pub lapse: Vec<AttemptId>,
    /// Starts.
    pub starts: Vec<StartOrder>,
    /// Stops.
    pub stops: Vec<StopOrder>,
    /// Throttles.
    pub throttles: Vec<Throttle>,
    /// Ended attempts that the worker may forget.
    pub acks: Vec<AttemptId>,
}

/// Why a worker did not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeRefusal {
    /// A newer epoch is known.
    OldEpoch,
    /// A newer exchange was handled.
    OldSeq,
    /// The worker belongs to another shard.
    OtherShard,
}

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerEnd {
    /// Finished.
    Done,
    /// Failed by itself.
    Failed,
    /// Stopped by order or because its lease lapsed.
    Stopped {
        /// Whether it wrote a checkpoint.
        saved: bool,
    },
    /// The start was refused: no room, or a lease that would have lapsed.
    Refused,
}

/// An attempt that ended and was not acknowledged yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub end: WorkerEnd,
}

/// A late measurement of one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The attempt.
    pub attempt: AttemptId,
    /// When it was measured, by the worker's clock.
    pub at: Millis,
    /// How much slower than alone, in thousandths; 1000 is not slowed.
    #[serde(rename = "slow")]
    pub slowdown_permille: u32,
    /// Processors and memory in use.
    pub used: Size,
}

/// What a worker has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerAnswer {
    /// Newest epoch that the worker knows.
    pub epoch: u64,
    /// Number of the exchange that this answers.
    pub seq: u64,
    /// Why the request was not taken, if it was not.
    pub refused: Option<ExchangeRefusal>,
    /// Changes whenever the worker starts anew.
    pub boot: u64,
    /// Its clock in milliseconds.
    pub clock: Millis,
    /// What it can hold.
    pub size: Size,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Attempts that run.
    pub running: Vec<AttemptId>,
    /// Attempts that ended and were not acknowledged.
    pub ended: Vec<EndReport>,
    /// Late measurements.
    pub samples: Vec<Sample>,
}
