//! Duties of the owner that can wait: counting the instances, sending them signs of life,
//! and removing expired rows.

use std::{sync::Arc, time::Duration};

use flume::Receiver;
use gorsespur_jobs::{Event, JobId};
use gorsespur_runtime::cancel::CancelToken;

use super::{cancels::Cleaner, census::Counter, inbox::InboxSender};
use crate::{follow_turns::has_rests, heartbeat, shared::Shared};

/// Period of the signs of life.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1000);

/// Signs of life for each round of the other duties. Instances that start at once become one change
/// instead of hundreds.
const HEARTBEATS_PER_ROUND: u32 = 3;

/// Works until cancelled; `expired` yields the jobs whose cancellations are to be removed.
pub(super) fn run(
    shared: &Arc<Shared>,
    epoch: u64,
    expired: &Receiver<JobId>,
    sender: &InboxSender,
    cancel: &CancelToken,
) {
    let mut counter = Counter::default();
    let mut cleaner = Cleaner::default();
    let heartbeats = heartbeat::Sender::new(shared.settings.peer);
    // The addresses come first: an instance that hears nothing calls the store.
    counter.update(shared);
    for turn in 1.. {
        if shared.census().is_some_and(has_rests) {
            heartbeats.send(shared, epoch, counter.peers());
        }
        if cancel.wait(HEARTBEAT_PERIOD) {
            return;
        }
        if turn % HEARTBEATS_PER_ROUND == 0 {
            counter.update(shared);
            cleaner.add(expired.try_iter());
            let arrived = cleaner.clean(shared).into_iter();
            sender.events(arrived.map(Event::Cancelled).collect());
        }
    }
}
