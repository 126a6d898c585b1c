//! How many starts may be under way at once.
//!
//! The load pattern that this answers: an owner whose link, or whose own processor, is full.
//! More starts than it carries wait in its sockets, where no order is kept, and behind them
//! wait the looks that renew leases: workers look silent, and what matters most waits as
//! long as all else. So once starts are answered late their number is bounded, and what
//! waits, waits where it is sorted.
//!
//! Limits: half of the answers must be late, since a zone of five that is cut off, or one
//! worker in twenty that answers nobody, tells nothing of the owner.

/// An answer to a start that takes longer is late, in milliseconds: workers answer within
/// 5, and starts are given up after 700.
const LATE_MS: u64 = 300;

/// Answers after which the window is set anew.
const ROUND_ANSWERS: u32 = 32;

/// Smallest window: enough for one start to each of a few workers.
const MIN_SIZE: usize = 16;

/// A window of so many bounds nothing.
const MAX_SIZE: usize = 4096;

/// It grows by one in so many each round without late answers: slowly enough that the next
/// round's answers are late before any start is given up.
const GROWTH_DIVISOR: usize = 8;

/// How many starts may be under way at once.
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
    /// Returns how many starts may be under way; nothing if there is no bound.
    pub(crate) fn limit(&self) -> Option<usize> {
        Some(self.size).filter(|&s| s < MAX_SIZE)
    }

    /// Takes note that a start was answered, or given up, after so many milliseconds.
    pub(crate) fn note_answer(&mut self, ms: u64) {
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
