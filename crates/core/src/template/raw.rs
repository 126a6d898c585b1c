//! The raw form of a template, as operators write it; unknown keys are rejected.

use serde::{Deserialize, Serialize};

use super::Priority;

/// A template as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTemplate {
    /// Name of the organisation.
    pub organisation: String,
    /// Weights of the placement objectives, on any positive scale.
    #[serde(default)]
    pub weights: RawWeights,
    /// Limits of the organisation.
    #[serde(default)]
    pub limits: RawLimits,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<RawTeam>,
    /// Services.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// Job templates.
    #[serde(default)]
    pub jobs: Vec<RawJob>,
}

/// Weights of the placement objectives as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawWeights {
    /// Weight of the tail latency of services.
    pub tail_latency: f64,
    /// Weight of the batch throughput.
    pub throughput: f64,
    /// Weight of evictions.
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

/// Limits of an organisation as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawLimits {
    /// Maximum number of open jobs in a shard.
    pub open_jobs: i64,
    /// Maximum number of queued requests on an entry instance.
    pub queued_requests: i64,
    /// Retries as a percentage of recent requests.
    pub retry_percent: i64,
    /// Maximum number of evictions of a task.
    pub task_evictions: i64,
    /// How long tasks keep running without the table service, in seconds.
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
    /// CPU in cores; rounded up to a thousandth.
    pub cores: f64,
    /// Memory in MiB.
    pub memory_mib: i64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: i64,
}

/// A team as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeam {
    /// Name.
    pub name: String,
    /// Maximum total size of the tasks that run at one time.
    pub quota: RawSize,
}

/// A service as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name.
    pub name: String,
    /// Number of replicas over all zones.
    pub replicas: i64,
    /// Size of a replica.
    pub size: RawSize,
    /// Maximum number of requests that a replica handles at one time.
    #[serde(default = "default_slots")]
    pub slots: i64,
    /// Maximum number of connections that a replica accepts.
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

/// A job template as written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawJob {
    /// Name.
    pub name: String,
    /// Team whose quota the tasks use.
    pub team: String,
    /// Declared size of a task.
    pub size: RawSize,
    /// Maximum number of tasks of a job.
    #[serde(default = "default_tasks")]
    pub max_tasks: i64,
    /// Declared run time of a task in milliseconds; with 0 it runs until it is cancelled.
    pub run_ms: i64,
    /// Priority of the tasks.
    #[serde(default)]
    pub priority: Priority,
    /// Whether tasks can write checkpoints and resume from them.
    #[serde(default)]
    pub checkpoint: bool,
    /// Number of failures after which a task fails permanently.
    #[serde(default = "default_attempts")]
    pub attempts: i64,
}

fn default_tasks() -> i64 {
    1
}

fn default_attempts() -> i64 {
    3
}
