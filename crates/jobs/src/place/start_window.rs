//! Bounds the number of starts in flight.
//!
//! The load pattern is an owner whose link or CPU is saturated. Starts beyond its
//! throughput queue in its sockets in no useful order, and the polls that renew leases
//! queue behind them: workers appear silent, and urgent starts wait as long as all others.
//! Once starts are answered late, the window bounds the number in flight, and the remaining
//! starts wait in the sorted order of jobs.
//!
//! Limits: the window shrinks only if more than half of the answers are late. One zone of
//! five that is cut off, or one worker in twenty that never answers, is no evidence of a
//! saturated owner.

/// An answer to a start that takes longer than this is late, in milliseconds. Workers
/// answer within 5 ms, and starts are given up after 700 ms.
const LATE_MS: u64 = 300;

/// Number of answers after which the window is resized.
const ROUND_ANSWERS: u32 = 32;

/// Smallest window: enough for one start to each of a few workers.
const MIN_SIZE: usize = 16;

/// A window of this size is unbounded.
const MAX_SIZE: usize = 4096;

/// The window grows by one in this many after each round in which at most half of the
/// answers are late: slowly enough that answers of the next round are late before any start
/// is given up.
const GROWTH_DIVISOR: usize = 8;

/// Bound on the number of starts in flight.
#[derive(Debug)]
pub(crate) struct StartWindow {
    size: usize,
    answers: u32,
    late_answers: u32,
}

impl Default for StartWindow {
    fn default() -> StartWindow {
        StartWindow {
            size: MAX_SIZE,
            answers: 0,
            late_answers: 0,
        }
    }
}

impl StartWindow {
    /// Returns how many starts may be in flight, or `None` if unbounded.
    pub(crate) fn limit(&self) -> Option<usize> {
        Some(self.size).filter(|&s| s < MAX_SIZE)
    }

    /// Records that a start was answered, or given up, after `ms` milliseconds.
    pub(crate) fn record_answer(&mut self, ms: u64) {
        self.answers += 1;
        self.late_answers += u32::from(ms > LATE_MS);
        if self.answers < ROUND_ANSWERS {
            return;
        }
        self.size = match self.late_answers * 2 > self.answers {
            true => (self.size / 2).max(MIN_SIZE),
            false => (self.size + self.size / GROWTH_DIVISOR).min(MAX_SIZE),
        };
        (self.answers, self.late_answers) = (0, 0);
    }
}
