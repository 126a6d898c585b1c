//! What the machine thread of a shard is sent.

use flume::Sender;
use gorsespur_core::{
    Millis,
    shard::{Event, FinishedJob, JobKey, JobStatus, Record, ShardStatus},
};
use gorsespur_wire::peer::TargetsAnswer;

/// A message for a shard's machine thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event of the machine.
    Event(Event),
    /// A write that was sent at this time took effect.
    Confirmed {
        /// When it was sent.
        sent: Millis,
        /// Records below this number are in the journal.
        committed: u64,
        /// Hold that the shard's row states.
        hold: Millis,
    },
    /// Cancel jobs; the reply comes once that is in the journal.
    Cancel {
        /// The jobs.
        keys: Vec<JobKey>,
        /// Where the jobs go that are not known.
        reply: Sender<Vec<JobKey>>,
    },
    /// Tell the states of jobs.
    Watch {
        /// The jobs.
        keys: Vec<JobKey>,
        /// Where the reply goes.
        reply: Sender<Vec<Option<JobStatus>>>,
    },
    /// Tell the targets.
    Targets {
        /// Where the reply goes.
        reply: Sender<TargetsAnswer>,
    },
    /// Tell operators.
    Status {
        /// Where the reply goes.
        reply: Sender<ShardStatus>,
    },
    /// Hand over the book for a snapshot.
    Snapshot,
}

/// A message for a shard's keeper thread.
#[derive(Debug)]
pub(crate) enum KeeperMessage {
    /// Append records to the journal.
    Append {
        /// Number of the first record.
        first: u64,
        /// The records.
        records: Vec<Record>,
        /// Jobs that they finish.
        finished: Vec<FinishedJob>,
    },
    /// Write a snapshot that ends before record `next`.
    Snapshot {
        /// Number of the next record.
        next: u64,
        /// The encoded snapshot.
        bytes: Vec<u8>,
    },
    /// The longest hold of the templates in force.
    Hold(Millis),
    /// Prove the ownership now.
    Renew,
}
