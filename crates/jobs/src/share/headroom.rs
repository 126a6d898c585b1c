//! How far the tails of a step's tasks are below their target.
//!
//! Headroom is target over tail: above one, users are served in time. It swings with
//! the load, which all tasks of a step share.

/// Target over tail is kept above this: figures are off by a tenth, and a load that
/// falls is foreseen for most of a second only. 1.7 gave less worth (a trial).
pub(crate) const LEAST_HEADROOM: f64 = 1.3;

/// Headroom of a serving task before its first figure.
const FIRST_HEADROOM: f64 = 2.5;

/// Share of the newest figures in a headroom that is tracked.
const NEWEST: f64 = 0.8;

/// By how much the lowest recent headroom rises each half second.
const RECOVERY: f64 = 1.04;

/// Half seconds that a fall of headroom is thought to go on for: until a pace that is
/// chosen now is replaced.
const FORESIGHT: f64 = 1.5;

/// What is known of the headroom of one step, without what fills.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Headroom {
    now: f64,
    /// By how much it falls each half second.
    fall: f64,
    /// Lowest of late.
    lowest: f64,
    known: bool,
}

impl Default for Headroom {
    fn default() -> Headroom {
        Headroom {
            now: FIRST_HEADROOM,
            fall: 0.0,
            lowest: FIRST_HEADROOM,
            known: false,
        }
    }
}

impl Headroom {
    /// Returns what it will be when a pace that is chosen now is replaced.
    pub(crate) fn soon(&self) -> f64 {
        self.now - self.fall.max(0.0) * FORESIGHT
    }

    /// Returns what it will be on average while a new task runs.
    pub(crate) fn later(&self) -> f64 {
        (self.now + self.lowest) / 2.0
    }

    /// Returns the lowest of late.
    pub(crate) fn lowest(&self) -> f64 {
        self.lowest
    }

    /// Takes the newest figure.
    pub(crate) fn update(&mut self, newest: f64) {
        if !self.known {
            (self.now, self.lowest, self.known) = (newest, newest, true);
            return;
        }
        let moved = NEWEST * (newest - self.now);
        self.now += moved;
        self.fall = -moved;
        self.lowest = self.now.min(self.lowest * RECOVERY);
    }
}
