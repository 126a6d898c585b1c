//! The users' target in two years.

pub(crate) const WORKERS: f64 = 26_000.0;
pub(crate) const TASKS: f64 = 320_000.0;
pub(crate) const STARTS_PER_SECOND: f64 = 14_000.0;
pub(crate) const JOBS_PER_DAY: f64 = 140_000.0;
pub(crate) const ORGANISATIONS: f64 = 89.0;
pub(crate) const ZONES: f64 = 22.0;
pub(crate) const CHANGES_PER_DAY: f64 = 40_000.0;
pub(crate) const FAILURES_PER_DAY: f64 = 430.0;
pub(crate) const REPLACEMENTS_PER_DAY: f64 = 3_600.0;
pub(crate) const WORKERS_PER_RACK: f64 = 8.0;

/// Seconds of a day.
pub(crate) const SECONDS_PER_DAY: f64 = 86_400.0;

/// Budget of a node: share of a core in microseconds a second, memory and
/// traffic in bytes.
pub(crate) const NODE_CPU_US: f64 = 19_000.0;
pub(crate) const NODE_MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
pub(crate) const NODE_TRAFFIC_BYTES: f64 = 6.0 * 1024.0;

/// Budget of the table service.
pub(crate) const WRITES_PER_SECOND: f64 = 500.0;
pub(crate) const READS_PER_SECOND: f64 = 2_000.0;

/// Exchanges a second with a worker at the setting for this size,
/// `shards.exchange: 2000`.
pub(crate) const EXCHANGES_PER_SECOND: f64 = 0.5;

/// Exchanges a second at which the slope of the schedulers was measured.
pub(crate) const MEASURED_EXCHANGES_PER_SECOND: f64 = 2.0;

/// Bytes of the two heads and of a connection's opening and end: an assumption.
pub(crate) const HTTP_OVERHEAD_BYTES: f64 = 800.0;

/// Workers of a shard at this size.
pub(crate) const WORKERS_PER_SHARD: f64 = 150.0;

/// Seconds between journal writes of a busy shard, `ownership.commit_ms: 400`.
pub(crate) const COMMIT_INTERVAL_S: f64 = 0.4;

/// Looks a second at a shard's row by each of its watchers, and these watchers,
/// `ownership.watch_ms: 500`.
pub(crate) const WATCH_READS_PER_SECOND: f64 = 2.0;
pub(crate) const WATCHERS_PER_SHARD: f64 = 2.0;

/// Records of one start: start and end.
pub(crate) const RECORDS_PER_START: f64 = 2.0;

/// Journal rows before a snapshot.
pub(crate) const SNAPSHOT_ROWS: f64 = 500.0;

/// Heartbeats a second, and contacts in each other zone.
pub(crate) const HEARTBEATS_PER_SECOND: f64 = 2.0;
pub(crate) const CONTACTS_PER_ZONE: f64 = 2.0;

/// Bytes of a datagram besides its message.
pub(crate) const DATAGRAM_OVERHEAD_BYTES: f64 = 28.0;

/// Entries of a zone, as today.
pub(crate) const ENTRIES_PER_ZONE: f64 = 3.0;

/// Kinds of jobs in a template: an assumption.
pub(crate) const JOB_KINDS: f64 = 8.0;
