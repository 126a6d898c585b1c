//! How long a request waits for the result of its write.
//!
//! The load pattern is a store that answers, but slowly. A write that is given up there is carried
//! out all the same: the caller learns nothing, and its next try waits behind the first one.
//!
//! Limits: a store that has just become slow is not known as such yet, so that the first requests
//! are given up as if it were cut off.

/// Share of a caller's timeout that is spent on a write to a store that answers quickly. If no
/// answer comes, this instance is likely cut off, and the caller has time to try others.
const WRITE_TIMEOUT_PERCENT: u64 = 40;

/// Share of a caller's timeout that is spent on a write to a slow store. Other instances are as
/// slow, and the rest suffices for one try where the store is fast.
const SLOW_WRITE_TIMEOUT_PERCENT: u64 = 75;

/// Time of an answer from which on the store counts as slow, in milliseconds. Callers don't notice
/// a shorter one.
const SLOW_ANSWER_MS: u64 = 100;

/// Timeout of a caller whose request states none, in milliseconds.
const DEFAULT_CALLER_TIMEOUT_MS: u64 = 3000;

/// Longest timeout of a caller that counts, in milliseconds. Callers may state any number.
const MAX_CALLER_TIMEOUT_MS: u64 = 600_000;

/// Returns the time from a request's arrival after which the result of its write is reported as
/// unknown, in milliseconds, if the store's last answer took `answer_ms`.
pub(crate) fn write_limit(caller_timeout: Option<u64>, answer_ms: u64) -> u64 {
    let percent = match answer_ms >= SLOW_ANSWER_MS {
        true => SLOW_WRITE_TIMEOUT_PERCENT,
        false => WRITE_TIMEOUT_PERCENT,
    };
    let timeout = caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT_MS);
    timeout.min(MAX_CALLER_TIMEOUT_MS) * percent / 100
}
