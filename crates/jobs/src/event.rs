//! The events that the scheduler takes.

use std::sync::Arc;

use crate::{
    model::{
        bounds::{self, MAX_END_NUMBER, MAX_TIME_MS, Number, NumberError},
        ids::{JobId, TaskId},
        policy::QueuePolicy,
        spec::Job,
    },
    runs::worker_info::WorkerInfo,
};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The run completed its work.
    Done,
    /// The run failed, by its own or its worker's fault.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The run waited too long for the other members of its gang.
    Alone,
}

/// The end of a run, as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end within the worker's incarnation, rising from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub ending: Ending,
    /// The last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// A running run, as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// The last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a serving task, else the CPU in use in
    /// thousandths of a core. An approximate value over the last half second.
    pub metric: Option<u64>,
}

/// A worker's answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Start time of the incarnation that answers, in milliseconds since the Unix epoch, if
    /// the worker reports one.
    pub start_time: Option<u64>,
    /// The worker's monotonic clock in milliseconds.
    pub clock: u64,
    /// Runs that are running.
    pub running: Vec<ReportedRun>,
    /// Ends that the worker has not dropped yet, in the order of their numbers.
    pub finished: Vec<RunEnd>,
}

impl WorkerReport {
    /// Checks that the numbers are within their bounds. Metrics beyond theirs are ignored where they
    /// are used.
    pub fn validate(&self) -> Result<(), NumberError> {
        bounds::check(&[Number::new("clock", self.clock, MAX_TIME_MS)])?;
        for end in &self.finished {
            bounds::check(&[Number::new("number of an end", end.number, MAX_END_NUMBER)])?;
        }
        Ok(())
    }
}

/// The result of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// The run is on the worker, which did not report its clock.
    Done,
    /// The run is on the worker, whose monotonic clock shows this many milliseconds.
    DoneAt(u64),
    /// The worker lacks the capacity; nothing was started.
    NoRoom,
    /// This run or a later one of the task has already ended on the worker.
    Old,
    /// The worker has seen a higher fencing token; nothing was started.
    Fenced,
    /// The worker refuses the start for now; nothing was started.
    Refused,
    /// The worker rejects the order as invalid; nothing was started.
    Rejected,
    /// The worker's incarnation has ended.
    Dead,
    /// The order was not sent.
    NotSent,
    /// The order waited too long for a connection to the worker and was not sent.
    Withdrawn,
    /// No answer: the run may have been started, or may be started later.
    Unknown,
}

/// The result of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// The run is ending, or will never start.
    Done,
    /// The worker's incarnation has ended.
    Dead,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// No answer, or a refusal.
    Unknown,
}

/// The result of a change of a run's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Paced {
    /// The run has the pace.
    Done,
    /// The worker refused the order.
    Refused,
    /// No answer: the pace may have changed, or may change later.
    Unknown,
}

/// The answer to an action, or the failure to get one.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The report that answers a poll.
    Report(WorkerReport),
    /// A poll got no answer.
    NoReply,
    /// A poll got no answer because the worker's machine refused the connection: no process
    /// listens on the port.
    ConnectionRefused,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker's incarnation has ended.
    Dead,
    /// The result of a start, by task and number of the run.
    Started(TaskId, u32, Started),
    /// The result of a stop, by task and number of the run.
    Stopped(TaskId, u32, Stopped),
    /// The result of a change of a run's pace, by task and number of the run.
    Paced(TaskId, u32, Paced),
}

/// An event for the scheduler to handle.
#[derive(Debug, Clone)]
pub enum Event {
    /// A job was accepted. Idempotent.
    Accepted(Arc<Job>),
    /// A caller cancelled a job.
    Cancelled(JobId),
    /// A worker announced itself, or its announcement changed.
    WorkerUpdated(WorkerInfo),
    /// A worker's announcement was removed, or can't be read.
    WorkerRemoved(Arc<str>),
    /// All announcements that existed at a point in time have been delivered as events.
    WorkersSynced {
        /// When the announcements were requested, on the local monotonic clock in
        /// milliseconds.
        asked_at: u64,
    },
    /// The complete list of evacuated availability zones, sorted. Their workers get no new
    /// runs.
    Evacuated(Arc<[Arc<str>]>),
    /// The complete configuration of the queues, sorted by name.
    Queues(Vec<QueuePolicy>),
    /// The policy under which a job was accepted, which may no longer be configured. Comes with or
    /// before the job's own event.
    AcceptedUnder(QueuePolicy),
    /// A worker answered an action, or did not.
    Answer {
        /// The worker.
        worker: u32,
        /// Generation of the order.
        generation: u32,
        /// When the action was sent, on the local monotonic clock in milliseconds.
        sent: u64,
        /// The answer.
        answer: Answer,
    },
    /// The store rejects rows that the batch in flight appends to the log, given by their positions
    /// among these. [`Event::Committed`] follows for the rest of the batch.
    RowsRejected(Vec<usize>),
    /// The batch in flight is durable, which also confirms the lease on the jobs.
    Committed {
        /// When the write was requested, on the local monotonic clock in milliseconds.
        asked_at: u64,
    },
    /// The store confirmed that the lease on the jobs is still held.
    Renewed {
        /// When the confirmation was requested, on the local monotonic clock in milliseconds.
        asked_at: u64,
    },
}
