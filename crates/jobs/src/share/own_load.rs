//! Tails that are over their targets by the load of what serves, whatever fills beside it.
//!
//! The load pattern that this answers: services that are overloaded for long. Where a tail is
//! over its target nothing begins to fill, and what fills is halted, since it may be the cause.
//! Where tails are over their targets while nothing fills, it is not: to wait there helps
//! nobody, and where all workers are so, what fills would never run.
//!
//! The load may fall at any time, and what fills would then keep the tail over its target. So
//! it works for [`WINDOW_MS`] at a time, and is halted until the figures show again that the tail is
//! over without it. Users count harm only where it lasts without a break.
//!
//! Limits: one filling task is placed beside such a tail, of a job of which nothing runs.

/// Users count a tail that is over its target for this long as harmed by what fills beside it,
/// in milliseconds.
const HARM_MS: u64 = 4000;

/// Figures of a worker are read this often, in milliseconds.
const METRICS_INTERVAL_MS: u64 = 1000;

/// A tail that is over its target for this long while nothing fills is so by its own load, in
/// milliseconds: what counts as harm would have shown by then.
const CONFIRM_MS: u64 = HARM_MS + METRICS_INTERVAL_MS;

/// What fills works for this long before it is halted for a proof, in milliseconds: with what
/// orders and their effect take, less than counts as harm.
const WINDOW_MS: u64 = HARM_MS / 2;

/// A figure tells nothing of what was halted this long ago, in milliseconds: a pace takes effect
/// within half a second, and a figure is of the last half second.
const SETTLE_MS: u64 = 1000;

/// What a worker's figures tell of the load of what serves there.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnLoad {
    /// Since when tails are over their targets whenever nothing fills.
    over_since: Option<u64>,
    /// Since when nothing that fills is at work.
    idle_since: Option<u64>,
    /// When what fills began to work after the last proof.
    window_start: Option<u64>,
}

impl OwnLoad {
    /// Takes note of whether something that fills is at work.
    pub(crate) fn record_best_effort(&mut self, is_working: bool, now: u64) {
        if is_working {
            self.idle_since = None;
            self.window_start.get_or_insert(now);
        } else {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Takes note of whether a tail is over its target.
    pub(crate) fn record_over_target(&mut self, is_over: bool, now: u64) {
        if !is_over {
            self.over_since = None;
            return;
        }
        if self.idle_since.is_some_and(|at| now >= at + SETTLE_MS) {
            self.over_since.get_or_insert(now);
            self.window_start = None;
        }
    }

    /// Tells whether tails are over their targets by their own load.
    pub(crate) fn is_confirmed(&self, now: u64) -> bool {
        self.over_since.is_some_and(|at| now >= at + CONFIRM_MS)
    }

    /// Tells whether something may fill all the same.
    pub(crate) fn may_run_best_effort(&self, now: u64) -> bool {
        let is_open = self.window_start.is_none_or(|at| now < at + WINDOW_MS);
        self.is_confirmed(now) && is_open
    }
}
