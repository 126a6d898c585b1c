//! Collects what waits for a keeper.

use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};

use crate::{input::KeeperMessage, journal::Batch};

/// Most records in one row of the journal.
const MAX_ROW_RECORDS: usize = 5_000;

/// A snapshot to be written.
#[derive(Debug)]
pub(crate) struct PendingSnapshot {
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
    pub snapshot: Option<PendingSnapshot>,
    /// Whether the ownership is to be proved now.
    pub renew: bool,
}

/// Collects what waits for the keeper: one batch, up to the next snapshot.
pub(crate) fn collect(
    messages: &Receiver<KeeperMessage>,
    wait: Duration,
    hold: &mut u64,
) -> Collected {
    let mut collected = Collected::default();
    let mut next = match messages.recv_timeout(wait) {
        Ok(message) => Some(message),
        Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => messages.try_recv().ok(),
    };
    while let Some(message) = next {
        match message {
            KeeperMessage::Append {
                first,
                records,
                finished,
            } => {
                if collected.batch.records.is_empty() {
                    collected.batch.first = first;
                }
                collected.batch.records.extend(records);
                collected.batch.finished.extend(finished);
            }
            KeeperMessage::Snapshot { next, bytes } => {
                collected.snapshot = Some(PendingSnapshot { next, bytes });
                return collected;
            }
            KeeperMessage::Hold(new_hold) => {
                collected.renew |= *hold != new_hold;
                *hold = new_hold;
            }
            KeeperMessage::Renew => collected.renew = true,
        }
        if collected.batch.records.len() >= MAX_ROW_RECORDS {
            break;
        }
        next = messages.try_recv().ok();
    }
    collected
}
