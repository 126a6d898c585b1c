//! A shard: a set of workers with the tasks that run there or wait for them.
//!
//! One owner at a time runs the [`ShardScheduler`] of a shard. The durable state is the
//! [`ShardState`], which changes only by [`Record`]s that the owner appends to the shard's journal.
//! All other state is soft: it is rebuilt from the shard state and the workers' reports. A start is
//! sent only after its record was committed, so that a new owner finds every attempt that may be
//! running.
//!
//! Limits: one owner thread handles all workers of a shard, so a zone with more workers needs more
//! shards.

mod action;
mod allocation;
mod answer;
mod attempt;
mod attempt_end;
mod class;
mod effects;
mod event;
mod exchange;
mod exchanges;
mod job;
mod lease_expiry;
mod mitigation;
mod place_tasks;
mod queue;
mod record;
mod samples;
mod scheduler;
mod services;
mod settings;
mod state;
mod status;
mod task;
mod team_usage;
mod worker;

pub use action::{Action, FinishedJob};
pub use allocation::{Allocation, StopReason};
pub use attempt::AttemptId;
pub use event::Event;
pub use exchange::{
    EndReport, ExchangeRefusal, Sample, StartOrder, StopOrder, Throttle, WorkerAnswer, WorkerEnd,
    WorkerInfo, WorkerRequest,
};
pub use exchanges::checkpoint_key;
pub use job::{Job, JobKey, JobSpec, JobState};
pub use queue::{Queue, ReadyTask, TaskRef, TaskShape};
pub use record::{End, Record};
pub use scheduler::{ShardId, ShardScheduler, Takeover};
pub use settings::ShardSettings;
pub use state::{Effect, ShardState};
pub use status::{JobStatus, ShardStatus, TargetInfo, WorkerStatus};
pub use task::{Task, TaskState};
pub use worker::{ClassStats, Health, Reservation, Worker};
