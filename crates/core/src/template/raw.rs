//! The written form of a template; unknown keys are refused.

use serde::{Deserialize, Serialize};

use super::Priority;

/// A template as an operator writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTemplate {
    /// Name of the organisation.
    pub organisation: String,
    /// Weights of the three measures; any positive scale.
    #[serde(default)]
    pub weights: RawWeights,
    /// Limits.
    #[serde(default)]
    pub limits: RawLimits,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<RawTeam>,
    /// Services.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// Kinds of jobs.
    #[serde(default)]
    pub jobs: Vec<RawJob>,
}

/// Weights as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawWeights {
    /// Tail latency of services.
    pub tail_latency: f64,
    /// Batch throughput.
    pub throughput: f64,
    /// Evictions.
    pub evictions: f64,
}

impl Default for RawWeights {
    fn default() -> RawWeights {
        RawWeights {
            tail_latency: 1.0,
            throughput: 1.0,
            evictions: 1.0,
        }
    }
}

/// Limits as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawLimits {
    /// Most open jobs in a shard.
    pub open_jobs: i64,
    /// Most requests waiting at one entry instance.
    pub queued_requests: i64,
    /// Share of recent requests that may be sent again, in percent.
    pub retry_percent: i64,
    /// Most evictions of one task.
    pub task_evictions: i64,
    /// How long tasks go on without the table service, in seconds.
    pub hold_seconds: i64,
}

impl Default for RawLimits {
    fn default() -> RawLimits {
        RawLimits {
            open_jobs: 20_000,
            queued_requests: 64,
            retry_percent: 10,
            task_evictions: 3,
            hold_seconds: 3_900,
        }
    }
}

/// A size as written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSize {
    /// Cores; fractions down to a thousandth.
    pub cores: f64,
    /// Memory in MiB.
    pub memory_mib: i64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: i64,
}

/// A team as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeam {
    /// Name.
    pub name: String,
    /// Most that its tasks may hold at one time.
    pub quota: RawSize,
}

/// A service as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name.
    pub name: String,
    /// Replicas over all zones.
    pub replicas: i64,
    /// Size of a replica.
    pub size: RawSize,
    /// Requests that a replica runs at one time.
    #[serde(default = "default_slots")]
    pub slots: i64,
    /// Connections that a replica accepts.
    #[serde(default = "default_connections")]
    pub connections: i64,
    /// Default time limit of a request in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: i64,
}

fn default_slots() -> i64 {
    8
}

fn default_connections() -> i64 {
    60
}

fn default_deadline() -> i64 {
    1_000
}

/// A kind of job as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawJob {
    /// Name.
    pub name: String,
    /// Team whose quota the tasks use.
    pub team: String,
    /// Declared size of a task.
    pub size: RawSize,
    /// Most tasks a job may have.
    #[serde(default = "default_tasks")]
    pub max_tasks: i64,
    /// Declared run time of a task in milliseconds; 0 runs until cancelled.
    pub run_ms: i64,
    /// Priority.
    #[serde(default)]
    pub priority: Priority,
    /// Whether tasks can write checkpoints.
    #[serde(default)]
    pub checkpoint: bool,
    /// Failures after which a task has failed for good.
    #[serde(default = "default_attempts")]
    pub attempts: i64,
}

fn default_tasks() -> i64 {
    1
}

fn default_attempts() -> i64 {
    3
}
