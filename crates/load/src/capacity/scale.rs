//! The users' target in two years.

pub(crate) const WORKERS: f64 = 26_000.0;
pub(crate) const TASKS: f64 = 320_000.0;
pub(crate) const STARTS: f64 = 14_000.0;
pub(crate) const JOBS_A_DAY: f64 = 140_000.0;
pub(crate) const ORGANISATIONS: f64 = 89.0;
pub(crate) const ZONES: f64 = 22.0;
pub(crate) const CHANGES_A_DAY: f64 = 40_000.0;
pub(crate) const FAILURES_A_DAY: f64 = 430.0;
pub(crate) const REPLACED_A_DAY: f64 = 3_600.0;
pub(crate) const RACK: f64 = 8.0;

/// Seconds of a day.
pub(crate) const DAY: f64 = 86_400.0;

/// Budget of a node: share of a core in microseconds a second, memory and
/// traffic in bytes.
pub(crate) const NODE_US: f64 = 19_000.0;
pub(crate) const NODE_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
pub(crate) const NODE_TRAFFIC: f64 = 6.0 * 1024.0;

/// Budget of the table service.
pub(crate) const WRITES: f64 = 500.0;
pub(crate) const READS: f64 = 2_000.0;

/// Exchanges a second with a worker at the setting for this size,
/// `shards.exchange: 2000`.
pub(crate) const EXCHANGES: f64 = 0.5;

/// Exchanges a second at which the slope of the schedulers was measured.
pub(crate) const MEASURED_EXCHANGES: f64 = 2.0;

/// Bytes of the two heads and of a connection's opening and end: an assumption.
pub(crate) const HTTP_BYTES: f64 = 800.0;

/// Workers of a shard at this size.
pub(crate) const SHARD_WORKERS: f64 = 150.0;

/// Seconds between journal writes of a busy shard, `ownership.commit_ms: 400`.
pub(crate) const COMMIT: f64 = 0.4;

/// Looks a second at a shard's row by each of its watchers, and these watchers,
/// `ownership.watch_ms: 500`.
pub(crate) const LOOKS: f64 = 2.0;
pub(crate) const WATCHERS: f64 = 2.0;

/// Records of one start: start and end.
pub(crate) const RECORDS: f64 = 2.0;

/// Journal rows before a snapshot.
pub(crate) const SNAPSHOT_ROWS: f64 = 500.0;

/// Heartbeats a second, and contacts in each other zone.
pub(crate) const BEATS: f64 = 2.0;
pub(crate) const CONTACTS: f64 = 2.0;

/// Bytes of a datagram besides its message.
pub(crate) const DATAGRAM: f64 = 28.0;

/// Entries of a zone, as today.
pub(crate) const ENTRIES: f64 = 3.0;

/// Kinds of jobs in a template: an assumption.
pub(crate) const KINDS: f64 = 8.0;
