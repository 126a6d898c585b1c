//! Hints to owners that a job waits in their inbox, which shorten the time until
//! the job starts.

use std::{sync::Arc, thread, time::Duration};

use flume::Sender;
use gorsespur_core::name::Name;
use gorsespur_services::post;
use gorsespur_wire::{
    paths::PEER_JOBS,
    peer::{JobsAnswer, JobsRequest},
};

use crate::owners::Owners;

/// Maximum number of queued hints. Further hints are dropped, since owners also
/// poll their inbox without hints.
const QUEUE_CAPACITY: usize = 64;

/// Timeout of a hint.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts the thread, which ends when the sender is dropped.
pub(crate) fn start(owners: &Arc<Owners>) -> std::io::Result<Sender<Name>> {
    let (tx, rx) = flume::bounded::<Name>(QUEUE_CAPACITY);
    let owners = owners.clone();
    thread::Builder::new().name("hints".into()).spawn(move || {
        for first in rx.iter() {
            let mut shards = vec![first];
            shards.extend(rx.try_iter());
            shards.sort();
            shards.dedup();
            for shard in shards {
                let Some(addr) = owners.find(&shard) else {
                    continue;
                };
                let request = JobsRequest::Look { shard };
                let _: Result<JobsAnswer, _> = post(addr, PEER_JOBS, &request, REQUEST_TIMEOUT);
            }
        }
    })?;
    Ok(tx)
}
