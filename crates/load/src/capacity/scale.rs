//! Target scale of the system, as its users expect it in two years, with budgets and assumptions.

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

pub(crate) const SECONDS_PER_DAY: f64 = 86_400.0;

/// Budget of a node: CPU time in microseconds per second, memory in bytes, and traffic in bytes
/// per second.
pub(crate) const NODE_CPU_US: f64 = 19_000.0;
pub(crate) const NODE_MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
pub(crate) const NODE_TRAFFIC_BYTES: f64 = 6.0 * 1024.0;

/// Limits of the table service.
pub(crate) const WRITES_PER_SECOND: f64 = 500.0;
pub(crate) const READS_PER_SECOND: f64 = 2_000.0;

/// Exchanges per second with a worker, from the setting `shards.exchange: 2000` at this scale.
pub(crate) const EXCHANGES_PER_SECOND: f64 = 0.5;

/// Exchanges per second with a worker during the measurement of the schedulers' slope.
pub(crate) const MEASURED_EXCHANGES_PER_SECOND: f64 = 2.0;

/// Assumed size of both HTTP heads and of opening and closing a connection.
pub(crate) const HTTP_OVERHEAD_BYTES: f64 = 800.0;

pub(crate) const WORKERS_PER_SHARD: f64 = 150.0;

/// Interval between journal writes of a busy shard, from `ownership.commit_ms: 400`.
pub(crate) const COMMIT_INTERVAL_S: f64 = 0.4;

/// Reads per second of a shard's row by each watcher, from `ownership.watch_ms: 500`, and the
/// number of watchers.
pub(crate) const WATCH_READS_PER_SECOND: f64 = 2.0;
pub(crate) const WATCHERS_PER_SHARD: f64 = 2.0;

/// Journal records per started task: its start and its end.
pub(crate) const RECORDS_PER_START: f64 = 2.0;

/// Journal rows between two snapshots.
pub(crate) const SNAPSHOT_ROWS: f64 = 500.0;

/// Heartbeats per second to each peer, and contacts in each other zone.
pub(crate) const HEARTBEATS_PER_SECOND: f64 = 2.0;
pub(crate) const CONTACTS_PER_ZONE: f64 = 2.0;

/// Bytes of the IP and UDP headers of a datagram.
pub(crate) const DATAGRAM_OVERHEAD_BYTES: f64 = 28.0;

/// Entries per zone, the same number as now.
pub(crate) const ENTRIES_PER_ZONE: f64 = 3.0;

/// Assumed number of job kinds in a template.
pub(crate) const JOB_KINDS: f64 = 8.0;
