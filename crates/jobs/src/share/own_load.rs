//! Detects tail latencies that are over their targets because of the serving tasks' own load.
//!
//! Where a tail latency is over its target, no best-effort run starts and the present ones are
//! halted, since they may be the cause. A service that is overloaded for long is over its target
//! without best-effort runs as well. Halting them doesn't help it then, and where all workers are
//! like this, best-effort tasks would never run.
//!
//! The load may fall at any time, and best-effort runs would then keep the tail latency over its
//! target. They therefore run for [`WINDOW_MS`] at a time and are halted until the metrics confirm
//! again that the tail latency is over its target without them. Users count harm only where it
//! lasts without a break.
//!
//! Limits: one best-effort task is placed beside such a tail latency, and only of a job without any
//! other run.

/// Users count a tail latency that is over its target for this long as harmed by the best-effort
/// runs beside it.
const HARM_MS: u64 = 4000;

/// Interval at which a worker's metrics are read.
const METRICS_INTERVAL_MS: u64 = 1000;

/// A tail latency that is over its target for this long without best-effort runs is over it by the
/// serving tasks' own load: harm by best-effort runs would have shown by then.
const CONFIRM_MS: u64 = HARM_MS + METRICS_INTERVAL_MS;

/// Time for which best-effort runs may run before they are halted for the next confirmation.
/// Together with the delay of orders and of their effect it is shorter than [`HARM_MS`].
const WINDOW_MS: u64 = HARM_MS / 2;

/// Metrics are free of the effect of best-effort runs that were halted this long ago: a pace takes
/// effect within half a second, and metrics cover the last half second.
const SETTLE_MS: u64 = 1000;

/// Whether serving tasks on a worker are overloaded by their own load, derived from the worker's
/// metrics.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnLoad {
    /// Since when tail latencies are over their targets whenever no best-effort run is active.
    over_since: Option<u64>,
    /// Since when no best-effort run is active.
    idle_since: Option<u64>,
    /// When best-effort runs started again after the last confirmation.
    window_start: Option<u64>,
}

impl OwnLoad {
    /// Records whether a best-effort run is active.
    pub(crate) fn record_best_effort(&mut self, is_working: bool, now: u64) {
        if is_working {
            self.idle_since = None;
            self.window_start.get_or_insert(now);
        } else {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Records whether a tail latency is over its target.
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

    /// Returns whether tail latencies are confirmed to be over their targets by the serving tasks'
    /// own load.
    pub(crate) fn is_confirmed(&self, now: u64) -> bool {
        self.over_since.is_some_and(|at| now >= at + CONFIRM_MS)
    }

    /// Returns whether best-effort tasks may run although tail latencies are over their targets.
    pub(crate) fn may_run_best_effort(&self, now: u64) -> bool {
        let is_open = self.window_start.is_none_or(|at| now < at + WINDOW_MS);
        self.is_confirmed(now) && is_open
    }
}
