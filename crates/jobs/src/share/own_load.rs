//! Tails that are over their targets by the load of what serves, whatever fills beside it.
//!
//! The load pattern that this answers: services that are overloaded for long. Where a tail is
//! over its target nothing begins to fill, and what fills is halted, since it may be the cause.
//! Where tails are over their targets while nothing fills, it is not: to wait there helps
//! nobody, and where all workers are so, what fills would never run.
//!
//! The load may fall at any time, and what fills would then keep the tail over its target. So
//! it works for [`WINDOW`] at a time, and is halted until the figures show again that the tail is
//! over without it. Users count harm only where it lasts without a break.
//!
//! Limits: one filling task is placed beside such a tail, of a job of which nothing runs.

/// Users count a tail that is over its target for this long as harmed by what fills beside it,
/// in milliseconds.
const HARM: u64 = 4000;

/// Figures of a worker are read this often, in milliseconds.
const FIGURES: u64 = 1000;

/// A tail that is over its target for this long while nothing fills is so by its own load, in
/// milliseconds: what counts as harm would have shown by then.
const PROOF: u64 = HARM + FIGURES;

/// What fills works for this long before it is halted for a proof, in milliseconds: with what
/// orders and their effect take, less than counts as harm.
const WINDOW: u64 = HARM / 2;

/// A figure tells nothing of what was halted this long ago, in milliseconds: a pace takes effect
/// within half a second, and a figure is of the last half second.
const SETTLED: u64 = 1000;

/// What a worker's figures tell of the load of what serves there.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnLoad {
    /// Since when tails are over their targets whenever nothing fills.
    over: Option<u64>,
    /// Since when nothing that fills is at work.
    quiet: Option<u64>,
    /// When what fills began to work after the last proof.
    exposed: Option<u64>,
}

impl OwnLoad {
    /// Takes note of whether something that fills is at work.
    pub(crate) fn note_best_effort(&mut self, is_working: bool, now: u64) {
        if is_working {
            self.quiet = None;
            self.exposed.get_or_insert(now);
        } else {
            self.quiet.get_or_insert(now);
        }
    }

    /// Takes note of whether a tail is over its target.
    pub(crate) fn note_over_target(&mut self, is_over: bool, now: u64) {
        if !is_over {
            self.over = None;
            return;
        }
        if self.quiet.is_some_and(|at| now >= at + SETTLED) {
            self.over.get_or_insert(now);
            self.exposed = None;
        }
    }

    /// Tells whether tails are over their targets by their own load.
    pub(crate) fn is_proven(&self, now: u64) -> bool {
        self.over.is_some_and(|at| now >= at + PROOF)
    }

    /// Tells whether something may fill all the same.
    pub(crate) fn may_run_best_effort(&self, now: u64) -> bool {
        let is_open = self.exposed.is_none_or(|at| now < at + WINDOW);
        self.is_proven(now) && is_open
    }
}
