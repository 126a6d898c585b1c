//! Collects the messages that are queued for a keeper into one unit of work.

use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};

use crate::{input::KeeperMessage, journal::Batch};

/// Maximum number of records in one row of the journal.
const MAX_ROW_RECORDS: usize = 5_000;

/// An encoded snapshot that has to be stored.
#[derive(Debug)]
pub(crate) struct PendingSnapshot {
    /// Number of the first record after the snapshot.
    pub next: u64,
    /// The encoded snapshot.
    pub bytes: Vec<u8>,
}

/// The keeper's next unit of work.
#[derive(Debug, Default)]
pub(crate) struct Collected {
    /// Records to append; may be empty.
    pub batch: Batch,
    /// A snapshot to store after the append.
    pub snapshot: Option<PendingSnapshot>,
    /// Whether to renew the lease now, even if its interval has not passed.
    pub renew: bool,
}

/// Waits up to `wait` for a message, then drains the queue up to the next
/// snapshot or a full row of records.
///
/// `hold`, in milliseconds, is set to the last hold that was received.
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
