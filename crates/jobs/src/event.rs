//! What the machine is told.

use std::sync::Arc;

use crate::{
    model::{
        ids::{JobId, TaskId},
        policy::QueuePolicy,
        spec::Job,
    },
    runs::worker::WorkerInfo,
};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It did its work.
    Done,
    /// It failed, by its own or its worker's fault.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited for its gang for too long.
    Alone,
}

/// An end that a worker lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end in the worker's life, rising from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub ending: Ending,
    /// Progress it saved; empty for none.
    pub checkpoint: Arc<str>,
}

/// A run that a worker lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Progress it saved; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
    /// For a task that serves, the tail of its latency in milliseconds; for
    /// another, the thousandths of a core in use. Rough, of the last half second.
    pub metric: Option<u64>,
}

/// A worker's answer to a look.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// When the life that answers began, in milliseconds since 1970, if it says so.
    pub start_time: Option<u64>,
    /// The worker's steady clock in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<ReportedRun>,
    /// What ended and was not dropped yet, in order.
    pub finished: Vec<RunEnd>,
}

/// What came of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// The run is there; the worker's clock was not told.
    Done,
    /// The run is there, and the worker's steady clock shows this, in milliseconds.
    DoneAt(u64),
    /// It does not fit; nothing was started.
    NoRoom,
    /// The run, or a later one, ended there before.
    Old,
    /// The worker has seen a higher epoch; nothing was started.
    Fenced,
    /// The worker refuses now; nothing was started.
    Refused,
    /// The worker can't take the order as it is; nothing was started.
    Rejected,
    /// The worker's life has ended.
    Dead,
    /// Nothing was sent.
    NotSent,
    /// It waited for a connection to the worker for too long; nothing was sent.
    Withdrawn,
    /// No answer: it may have been started, or may be later.
    Unknown,
}

/// What came of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// The run ends, or will never begin.
    Done,
    /// The worker's life has ended.
    Dead,
    /// The worker has seen a higher epoch.
    Fenced,
    /// No answer, or a refusal.
    Unknown,
}

/// An answer to an action, or the lack of one.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// To a look.
    Report(WorkerReport),
    /// No answer to a look.
    NoReply,
    /// No answer to a look: the worker's machine refused the connection, since no process
    /// listens there.
    ConnectionRefused,
    /// The worker has seen a higher epoch.
    Fenced,
    /// The worker's life has ended.
    Dead,
    /// To a start of a run.
    Started(TaskId, u32, Started),
    /// To a stop of a run.
    Stopped(TaskId, u32, Stopped),
    /// To a change of a run's pace; whether it took effect.
    Paced(TaskId, u32, bool),
}

/// What the machine is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A job was accepted; told more than once it stays one job.
    Accepted(Arc<Job>),
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// A worker announced itself or changed.
    WorkerUpdated(WorkerInfo),
    /// A worker's announcement is gone, or can't be read.
    WorkerRemoved(Arc<str>),
    /// All announcements that there were at a time have been told.
    WorkersSynced {
        /// When they were asked for, on the own steady clock in milliseconds.
        asked_at: u64,
    },
    /// The availability zones whose workers get nothing new, whole, sorted.
    Evacuated(Arc<[Arc<str>]>),
    /// The configuration of the queues, whole, sorted by name.
    Queues(Vec<QueuePolicy>),
    /// A worker answered something that was sent at `sent`, or did not.
    Answer {
        /// The worker.
        worker: u32,
        /// When the question was sent.
        sent: u64,
        /// The answer.
        answer: Answer,
    },
    /// The batch in flight is durable; with it the lease on the jobs is confirmed.
    Committed {
        /// When the write was asked for, on the own steady clock in milliseconds.
        asked_at: u64,
    },
    /// The store confirmed that the lease on the jobs is still held.
    Renewed {
        /// When the confirmation was asked for, on the own steady clock in milliseconds.
        asked_at: u64,
    },
}
