//! Waiting times of long polls for changes in the store.
//!
//! Hundreds of instances follow changes, and nearly all of them are idle otherwise. A change
//! answers every pending long poll at once, so that long waits cost few calls and delay nothing.
//! Connections to an unreachable store end by their own timeouts.
//!
//! Limits: an answer may be lost, and a connection may stop delivering without an error. The next
//! long poll then has to return the change in time, which bounds the wait.

use std::time::Duration;

/// Part of the time limit for applying a change that is reserved for abandoning an unanswered long
/// poll, repeating it and reading its answer.
const APPLY_RESERVE: Duration = Duration::from_millis(1500);

/// Shortest wait; each long poll is a call to the store.
const MIN_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait that the store accepts, less the time for its answer.
const MAX_WAIT: Duration = Duration::from_secs(25);

/// Time for the answer after the wait; a store at a sixtieth of its speed takes a quarter of a
/// second.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Returns the wait of long polls for changes that have to be in force within `apply`.
pub(crate) fn wait(apply: Duration) -> Duration {
    apply
        .saturating_sub(APPLY_RESERVE)
        .clamp(MIN_WAIT, MAX_WAIT)
}

/// Returns the longest silence of a reachable store that is called with such long polls.
pub(crate) fn max_silence(wait: Duration) -> Duration {
    wait + ANSWER_TIME
}
