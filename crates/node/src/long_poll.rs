//! How long questions for changes wait at the store.
//!
//! The load pattern that this answers: hundreds of instances, of which nearly all have nothing to
//! do but to learn of changes. A change answers every question that waits, so that long ones cost
//! few calls and delay nothing. Connections to a store that can't be reached end by themselves.
//!
//! Limits: an answer may be lost, and a connection may go silent for good. The question that
//! follows then has to learn of a change in time, so that the time for that bounds the wait.

use std::time::Duration;

/// Of the time in which a change has to be in force, this much is kept for giving up a question
/// that is not answered, asking anew and reading the answer.
const APPLY_RESERVE: Duration = Duration::from_millis(1500);

/// Shortest wait: each question is a call.
const MIN_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait that the store takes, less what its answer may take.
const MAX_WAIT: Duration = Duration::from_secs(25);

/// Time for the answer to a question that has waited: a store at a sixtieth of its speed takes a
/// quarter of a second.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Returns how long a question for changes that have to be in force within `apply` waits.
pub(crate) fn wait(apply: Duration) -> Duration {
    apply
        .saturating_sub(APPLY_RESERVE)
        .clamp(MIN_WAIT, MAX_WAIT)
}

/// Returns for how long nothing may come from a store that is asked such questions and answers.
pub(crate) fn max_silence(wait: Duration) -> Duration {
    wait + ANSWER_TIME
}
