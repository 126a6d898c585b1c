//! The exchange between a shard's owner and a worker.
//!
//! The owner sends the complete desired state of a worker, and the worker answers with its complete
//! actual state, so exchanges are idempotent. One exchange renews every lease on the worker, except
//! those listed in `lapse`.
//!
//! A lease ends at `echo + lease` on the worker's own clock, where `echo` is the clock reading in
//! an earlier answer. A request that was delayed in the network or by a paused process therefore
//! can't extend a lease beyond the end that its sender assumes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::AttemptId;
use crate::{Millis, name::Name, size::Size};

/// Description of a worker in the membership list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name, unique among all workers.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Rack.
    pub rack: Name,
    /// Address for exchanges.
    pub addr: SocketAddr,
    /// Address at which the services on the worker receive requests.
    pub target: SocketAddr,
    /// Total resources.
    pub size: Size,
    /// Whether the worker is about to leave.
    pub leaving: bool,
}

/// Order to start an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Organisation, caller's job id and task index, separated by `/`.
    pub name: Name,
    /// Kind of job or service.
    pub kind: Name,
    /// Resources that are reserved for the attempt.
    pub size: Size,
    /// Declared run time; 0 if the attempt runs until it is stopped.
    #[serde(rename = "run")]
    pub run_time: Millis,
    /// Object store key of the checkpoint to resume from.
    pub resume: Option<Name>,
    /// Object store key for checkpoints; `None` if the task can't write any.
    pub checkpoint: Option<Name>,
    /// Whether it is a replica of a service.
    pub service: bool,
}

/// Order to stop an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether to write a checkpoint before the stop.
    pub save: bool,
}

/// Limit on the CPU use of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Throttle {
    /// The attempt.
    pub attempt: AttemptId,
    /// Percentage of its CPU that the attempt may use; 100 removes the limit.
    #[serde(rename = "percent")]
    pub cpu_percent: u32,
}

/// Request of a shard's owner: the desired state of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRequest {
    /// Shard.
    pub shard: Name,
    /// Epoch of the shard's owner; requests of older epochs are refused.
    pub epoch: u64,
    /// Number of the exchange within the epoch; older exchanges are refused.
    pub seq: u64,
    /// Worker's boot in the last answer; 0 before the first answer.
    pub boot: u64,
    /// Worker's clock in the last answer; 0 before the first answer.
    pub echo: Millis,
    /// Length of the lease, which starts at `echo`.
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
    /// Ended attempts that the worker may drop.
    pub acks: Vec<AttemptId>,
}

/// Why a worker refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeRefusal {
    /// The worker has seen a newer epoch.
    OldEpoch,
    /// The worker has handled a newer exchange.
    OldSeq,
    /// The worker belongs to another shard.
    OtherShard,
}

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerEnd {
    /// Finished.
    Done,
    /// The task failed.
    Failed,
    /// Stopped by an order or because its lease lapsed.
    Stopped {
        /// Whether the attempt wrote a checkpoint.
        saved: bool,
    },
    /// The start was refused for lack of resources or because its lease would already have lapsed.
    Refused,
}

/// Report of an ended attempt; repeated until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub end: WorkerEnd,
}

/// Measurement of one attempt, reported with a delay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The attempt.
    pub attempt: AttemptId,
    /// When it was measured, by the worker's clock.
    pub at: Millis,
    /// Slowdown relative to running alone, in thousandths; 1000 is not slowed.
    #[serde(rename = "slow")]
    pub slowdown_permille: u32,
    /// CPU and memory in use.
    pub used: Size,
}

/// Answer of a worker: its actual state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerAnswer {
    /// Newest epoch that the worker has seen.
    pub epoch: u64,
    /// Number of the exchange that the answer belongs to.
    pub seq: u64,
    /// Why the request was refused; `None` if it was carried out.
    pub refused: Option<ExchangeRefusal>,
    /// Identifier of the worker process; changes with each restart.
    pub boot: u64,
    /// Worker's clock in milliseconds.
    pub clock: Millis,
    /// Total resources.
    pub size: Size,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// Running attempts.
    pub running: Vec<AttemptId>,
    /// Ended attempts that are not acknowledged yet.
    pub ended: Vec<EndReport>,
    /// Measurements since the last answer, reported with a delay.
    pub samples: Vec<Sample>,
}
