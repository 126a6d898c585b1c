//! The owner of the lease, which decides about all jobs.
//!
//! Threads: one follows the accepted jobs, one follows the workers' announcements, one does what can
//! wait (it counts the instances, sends them signs of life and removes expired rows), one writes
//! the journal, and one decides and exchanges messages with the workers over non-blocking
//! connections. The two followers of jobs and workers and the journal have a bounded queue to the
//! deciding thread.

mod cancels;
#[cfg(test)]
mod cancels_tests;
mod census;
mod connections;
#[cfg(test)]
mod connections_tests;
mod contents;
mod decision_loop;
mod feed;
#[cfg(test)]
mod feed_tests;
mod housekeeping;
mod inbox;
pub(crate) mod journal;
#[cfg(test)]
mod journal_tests;
mod load;
pub(crate) mod renewal_gaps;
#[cfg(test)]
mod renewal_gaps_tests;
mod worker_connections;

use std::{sync::Arc, thread};

use flume::Sender;
use gorsespur_jobs::Takeover;
use gorsespur_runtime::cancel::CancelToken;

use self::{
    decision_loop::{DecisionLoop, Outputs},
    inbox::Inbox,
    journal::JournalInput,
    load::Loaded,
};
use crate::{census::Census, duty, shared::Shared};

/// Capacity of the queues to the deciding thread and to the journal.
const MAX_QUEUED_INPUTS: usize = 1024;

/// Stack size of a thread.
const STACK_BYTES: usize = 512 << 10;

/// One period of owning the lease.
#[derive(Debug)]
pub(crate) struct Tenure {
    /// Epoch, the fencing token that workers check.
    pub(crate) epoch: u64,
    /// The largest CPU share of any owner so far, in thousandths.
    pub(crate) largest: u64,
    /// Counts of instances by the previous owner.
    pub(crate) census: Census,
    /// Number of jobs without a started task, by queue, from the previous owner.
    pub(crate) pending: Vec<(Arc<str>, u64)>,
    /// Version of the row of the journal's head.
    pub(crate) head: u64,
    /// State that previous owners left.
    pub(crate) takeover: Takeover,
}

/// Runs the owner until the lease is lost or `cancel` is cancelled; then releases the lease.
///
/// The lease is renewed from the start: a small instance may take seconds to read all jobs, and
/// would otherwise lose the lease to another instance that is no faster.
pub(crate) fn run(shared: &Arc<Shared>, tenure: Tenure, cancel: &CancelToken) {
    let inbox = match Inbox::new() {
        Ok(inbox) => inbox,
        Err(err) => {
            log::error!(err = err.to_string().as_str(); "owner: can't create the event loop");
            return;
        }
    };
    // The owner's own long polls and renewals are answered more often than those of other
    // instances.
    shared.set_poll_wait(feed::LONG_POLL_WAIT);
    let owner_cancel = CancelToken::new();
    let sender = inbox.sender();
    let (journal_inputs, journal) = flume::bounded(MAX_QUEUED_INPUTS);
    thread::scope(|scope| {
        let spawn = |name: &str| {
            thread::Builder::new()
                .name(name.into())
                .stack_size(STACK_BYTES)
        };
        let writer = spawn("journal").spawn_scoped(scope, || {
            duty::run("journal", || {
                journal::write(shared, &tenure, &journal, &sender)
            })
        });
        if let Some(loaded) = load_jobs(shared, &tenure, &journal_inputs).filter(|_| writer.is_ok())
        {
            let (jobs, workers) = (loaded.jobs, loaded.workers);
            let jobs = spawn("jobs").spawn_scoped(scope, || {
                duty::run("jobs", || {
                    feed::follow_jobs(shared, jobs, &sender, &owner_cancel)
                });
            });
            let workers = spawn("workers").spawn_scoped(scope, || {
                duty::run("workers", || {
                    feed::follow_workers(shared, workers, &sender, &owner_cancel)
                });
            });
            let (expired_cancels, expired) = flume::bounded(MAX_QUEUED_INPUTS);
            let (sender, owner_cancel) = (&sender, &owner_cancel);
            let keeper = spawn("keeper").spawn_scoped(scope, move || {
                duty::run("keeper", || {
                    housekeeping::run(shared, tenure.epoch, &expired, sender, owner_cancel)
                });
            });
            if jobs.is_err() || workers.is_err() || keeper.is_err() {
                log::error!("owner: can't start threads");
            } else {
                send(&journal_inputs, JournalInput::Log(loaded.log));
                let outputs = Outputs {
                    journal: &journal_inputs,
                    expired_cancels: &expired_cancels,
                };
                DecisionLoop::new(shared, tenure.epoch, loaded.scheduler, inbox)
                    .run(&outputs, cancel);
            }
        }
        owner_cancel.cancel();
        drop(journal_inputs);
    });
    shared.set_poll_wait(shared.config_wait());
    log::info!(epoch = tenure.epoch; "owner: ends");
}

/// Reads all jobs; if that fails, releases the lease.
fn load_jobs(
    shared: &Arc<Shared>,
    tenure: &Tenure,
    journal_inputs: &Sender<JournalInput>,
) -> Option<Loaded> {
    let start = shared.clock.now();
    match load::load(shared, tenure) {
        Ok(loaded) => {
            let open = loaded.scheduler.stats().open_jobs;
            log::info!(epoch = tenure.epoch, open, took_ms = shared.clock.now() - start; "owner: begins");
            Some(loaded)
        }
        Err(err) => {
            log::warn!(epoch = tenure.epoch, err = err.to_string().as_str(); "owner: can't read the jobs");
            send(journal_inputs, JournalInput::Release);
            None
        }
    }
}

fn send(journal: &Sender<JournalInput>, input: JournalInput) {
    if journal.send(input).is_err() {
        log::debug!("owner: journal thread has ended");
    }
}
