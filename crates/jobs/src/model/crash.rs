//! What workers that crashed tell of a task that ran on them.
//!
//! A crashed worker does not say which of its tasks brought that about, and most of them did
//! not. So a crash counts by what else was on the worker, and a task is given up only on
//! crashes that no other task can explain.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Crashes with nothing else to blame before a task is given up: one may be chance.
const MIN_OWN_CRASHES: usize = 2;

/// Crashes just after it had begun, or with nothing else to blame, before it is given up ...
const MIN_CRASHES: usize = 3;

/// ... unless there are so many of any kind, as users allow no sixth start. Then one of each
/// of these kinds is enough.
const MAX_CRASHES: usize = 5;

/// A run whose task is a suspect is kept apart for this long after it was first listed, in
/// milliseconds; it doubles with each crash, so that what crashes later is found as well.
const PROBATION_MS: u64 = 1500;

/// How much a worker's crash tells of a task that ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Blame {
    /// Hardly anything: nobody saw the worker's process end, and its machine may have lost its
    /// power.
    Unseen,
    /// Little: it had been there for a while, or the cause is more likely another one.
    Shared,
    /// It had just begun, as others there had.
    Close,
    /// Nothing else there had just begun, or nothing else was there.
    Own,
}

/// A worker that crashed while a task was on it. Written as an array, to save bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Crash {
    /// Name of the worker's life.
    worker: Arc<str>,
    blame: Blame,
}

/// The workers that crashed under a task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Crashes {
    /// Sorted by worker.
    list: Vec<Crash>,
}

impl Crashes {
    /// Tells whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns how many there are.
    pub(crate) fn count(&self) -> usize {
        self.list.len()
    }

    /// Takes note of a crash; a worker's life counts once.
    pub(crate) fn add(&mut self, worker: &Arc<str>, blame: Blame) {
        let Err(at) = self.list.binary_search_by(|c| c.worker.cmp(worker)) else {
            return;
        };
        let worker = worker.clone();
        self.list.insert(at, Crash { worker, blame });
    }

    /// Takes back that a worker crashed.
    pub(crate) fn remove(&mut self, worker: &Arc<str>) {
        self.list.retain(|c| c.worker != *worker);
    }

    /// Forgets all: the task has been at work for long.
    pub(crate) fn clear(&mut self) {
        self.list.clear();
    }

    /// Tells whether the task may be the cause, so that it has to run apart from others.
    pub(crate) fn is_suspect(&self) -> bool {
        self.is_likely_cause() || self.list.len() > 1
    }

    /// Tells whether more than chance speaks for it.
    pub(crate) fn is_likely_cause(&self) -> bool {
        self.count_at_least(Blame::Close) > 0 || self.count_at_least(Blame::Shared) >= MIN_CRASHES
    }

    /// Tells whether the task is the cause, as far as that can be known.
    pub(crate) fn is_proven_cause(&self) -> bool {
        let own = self.count_at_least(Blame::Own);
        let close = self.count_at_least(Blame::Close);
        let at_limit = self.list.len() >= MAX_CRASHES;
        own >= MIN_OWN_CRASHES && close >= MIN_CRASHES || at_limit && own > 0 && close > 1
    }

    /// Returns how many tell at least so much.
    fn count_at_least(&self, min_blame: Blame) -> usize {
        self.list.iter().filter(|c| c.blame >= min_blame).count()
    }

    /// Returns for how long a run is kept apart after it was first listed, in milliseconds.
    pub(crate) fn isolation_ms(&self) -> u64 {
        let doublings = self.list.len().clamp(1, MIN_CRASHES * 2) - 1;
        PROBATION_MS << doublings
    }
}
