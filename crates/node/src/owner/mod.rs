//! What the owner of the lease does: it decides about all jobs.
//!
//! Threads: one follows the accepted jobs, one the workers' announcements, one
//! writes the journal, and one decides and talks with the workers over
//! connections that never block. Each has a bounded ring to the last.

mod feed;
mod journal;
mod lines;
mod load;
mod turn;

use std::{sync::Arc, thread};

use gorsespur_runtime::cancel::Cancel;

use crate::shared::Shared;

/// Inputs that may wait for the thread that decides.
const RING: usize = 1024;

/// Stack of a thread in bytes.
const STACK: usize = 512 << 10;

/// A time of owning the lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tenure {
    /// The fencing token at the workers.
    pub(crate) epoch: u64,
    /// The largest share of a processor of any owner so far, in thousandths.
    pub(crate) largest: u64,
    /// Version of the journal's end.
    pub(crate) head: u64,
    /// When leases of an earlier owner are over.
    pub(crate) inherited: u64,
}

/// Decides until the lease is lost or `cancel` is cancelled; then gives it back.
pub(crate) fn run(shared: &Arc<Shared>, tenure: Tenure, cancel: &Cancel) {
    let start = shared.clock.now();
    let loaded = match load::load(shared, tenure) {
        Ok(loaded) => loaded,
        Err(err) => {
            log::warn!(epoch = tenure.epoch, err = err.to_string().as_str(); "owner: can't read the jobs");
            return;
        }
    };
    log::info!(epoch = tenure.epoch, open = loaded.machine.figures().open, ms = shared.clock.now() - start; "owner: begins");
    let turn = match turn::Turn::new(shared, tenure, loaded.machine) {
        Ok(turn) => turn,
        Err(err) => {
            log::error!(err = err.to_string().as_str(); "owner: no event loop");
            return;
        }
    };
    let mine = Cancel::new();
    let input = turn.input();
    let (batches, journal) = flume::bounded(RING);
    let (jobs, workers) = (loaded.jobs, loaded.workers);
    thread::scope(|scope| {
        let spawn = |name: &str| thread::Builder::new().name(name.into()).stack_size(STACK);
        let jobs = spawn("jobs").spawn_scoped(scope, || feed::jobs(shared, jobs, &input, &mine));
        let workers =
            spawn("workers").spawn_scoped(scope, || feed::workers(shared, workers, &input, &mine));
        let writer = spawn("journal")
            .spawn_scoped(scope, || journal::write(shared, tenure, &journal, &input));
        if jobs.is_err() || workers.is_err() || writer.is_err() {
            log::error!("owner: can't start threads");
        } else {
            turn.run(&batches, cancel);
        }
        mine.cancel();
        drop(batches);
    });
    log::info!(epoch = tenure.epoch; "owner: ends");
}
