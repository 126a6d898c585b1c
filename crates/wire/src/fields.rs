//! Names of HTTP header fields, exchanged with callers and targets, in lower case.

/// ID of a request, sent to the target and checked in its answer.
pub const REQUEST_ID: &str = "x-request-id";

/// Milliseconds left until the deadline of the answer.
pub const DEADLINE: &str = "x-deadline-ms";

/// `urgent`, `normal` or `bulk`.
pub const PRIORITY: &str = "x-priority";

/// `yes` if the request may run more than once, `no` if not.
pub const REPEATABLE: &str = "x-repeatable";

/// Caller's key of a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";

/// Why a request was refused.
pub const REASON: &str = "x-reason";

/// Slots in use at a target, this request included.
pub const BUSY: &str = "x-busy-slots";

/// `yes` on answers of a target that is leaving.
pub const LEAVING: &str = "x-leaving";

/// Seconds after which a refused caller may retry.
pub const RETRY_AFTER: &str = "retry-after";

/// Number of attempts that an answer took.
pub const TRIES: &str = "x-tries";
