//! Messages to the threads of an owned shard.

use flume::Sender;
use gorsespur_core::{
    Millis,
    shard::{Event, FinishedJob, JobKey, JobStatus, Record, ShardStatus},
};
use gorsespur_wire::peer::TargetsAnswer;

/// A message to a shard's scheduler thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the scheduler.
    Event(Event),
    /// A write of the shard's row took effect, which confirms the lease.
    Confirmed {
        /// Time at which the write was sent.
        sent: Millis,
        /// Number of the first record that is not in the journal yet.
        committed: u64,
        /// Hold that the shard's row contains.
        hold: Millis,
    },
    /// Cancel jobs; the reply is sent once the cancellation is in the journal.
    Cancel {
        /// The jobs.
        keys: Vec<JobKey>,
        /// Receives the jobs that the shard doesn't have.
        reply: Sender<Vec<JobKey>>,
    },
    /// Return the status of jobs.
    Watch {
        /// The jobs.
        keys: Vec<JobKey>,
        /// Receives the status of each job, in the order of `keys`.
        reply: Sender<Vec<Option<JobStatus>>>,
    },
    /// Return the targets of the shard's services.
    Targets {
        /// Receives the targets.
        reply: Sender<TargetsAnswer>,
    },
    /// Return the shard's status for operators.
    Status {
        /// Receives the status.
        reply: Sender<ShardStatus>,
    },
    /// Encode a snapshot of the shard state and send it to the keeper.
    Snapshot,
}

/// A message to a shard's keeper thread.
#[derive(Debug)]
pub(crate) enum KeeperMessage {
    /// Append records to the journal.
    Append {
        /// Number of the first record.
        first: u64,
        /// The records.
        records: Vec<Record>,
        /// Jobs that these records finish.
        finished: Vec<FinishedJob>,
    },
    /// Store a snapshot of all records before `next`.
    Snapshot {
        /// Number of the first record after the snapshot.
        next: u64,
        /// The encoded snapshot.
        bytes: Vec<u8>,
    },
    /// The longest hold of the active templates, in milliseconds.
    Hold(Millis),
    /// Renew the lease now.
    Renew,
}
