//! Duties of the owner that can wait: counting the instances, and removing expired rows.

use std::{sync::Arc, time::Duration};

use flume::Receiver;
use gorsespur_jobs::{Event, JobId};
use gorsespur_runtime::cancel::CancelToken;

use super::{cancels::Cleaner, census::Counter, inbox::InboxSender};
use crate::shared::Shared;

/// Pause between two rounds. Instances that start at once become one change instead of hundreds,
/// and the pause ends when the thread is cancelled.
const PAUSE: Duration = Duration::from_secs(3);

/// Works until cancelled; `expired` yields the jobs whose cancellations are to be removed.
pub(super) fn run(
    shared: &Arc<Shared>,
    expired: &Receiver<JobId>,
    sender: &InboxSender,
    cancel: &CancelToken,
) {
    let mut counter = Counter::default();
    let mut cleaner = Cleaner::default();
    // Waits first, since a new owner has more urgent rows to read.
    while !cancel.wait(PAUSE) {
        counter.update(shared);
        cleaner.add(expired.try_iter());
        let arrived = cleaner.clean(shared).into_iter();
        sender.events(arrived.map(Event::Cancelled).collect());
    }
}
