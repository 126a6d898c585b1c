//! Collects what waits for a keeper.

use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};

use crate::{input::Upkeep, journal::Batch};

/// Most records in one row of the journal.
const MAX_RECORDS: usize = 5_000;

/// A snapshot to be written.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Number of the first record after it.
    pub next: u64,
    /// The encoded snapshot.
    pub bytes: Vec<u8>,
}

/// What is to be done next.
#[derive(Debug, Default)]
pub(crate) struct Collected {
    /// Records to append.
    pub batch: Batch,
    /// A snapshot to write after them.
    pub snapshot: Option<Pending>,
    /// Whether the ownership is to be proved now.
    pub prove: bool,
}

/// Collects what waits for the keeper: one batch, up to the next snapshot.
pub(crate) fn collect(upkeeps: &Receiver<Upkeep>, wait: Duration, hold: &mut u64) -> Collected {
    let mut out = Collected::default();
    let mut next = match upkeeps.recv_timeout(wait) {
        Ok(message) => Some(message),
        Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => upkeeps.try_recv().ok(),
    };
    while let Some(message) = next {
        match message {
            Upkeep::Append {
                first,
                records,
                finished,
            } => {
                if out.batch.records.is_empty() {
                    out.batch.first = first;
                }
                out.batch.records.extend(records);
                out.batch.finished.extend(finished);
            }
            Upkeep::Snapshot { next, bytes } => {
                out.snapshot = Some(Pending { next, bytes });
                return out;
            }
            Upkeep::Hold(h) => {
                out.prove |= *hold != h;
                *hold = h;
            }
            Upkeep::Prove => out.prove = true,
        }
        if out.batch.records.len() >= MAX_RECORDS {
            break;
        }
        next = upkeeps.try_recv().ok();
    }
    out
}
