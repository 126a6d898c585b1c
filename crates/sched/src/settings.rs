//! Settings of the scheduler.

use std::time::Duration;

use gorsespur_core::{member::Role, problem::Problems, shard::ShardSettings};
use gorsespur_peer::{AgentSettings, RawCommon};
use serde::Deserialize;

/// Maximum number of exchange threads.
const MAX_THREADS: usize = 256;

/// Allowed values of a shard's lease.
const LEASE_MS_RANGE: std::ops::RangeInclusive<u64> = 1_000..=60_000;

/// The settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSched {
    /// What every instance has.
    pub instance: RawCommon,
    /// Timings and policy of shards.
    #[serde(default)]
    pub shards: ShardSettings,
    /// Timings of ownership.
    #[serde(default)]
    pub ownership: RawOwnership,
    /// Threads that make exchanges with workers.
    #[serde(default = "default_threads")]
    pub exchange_threads: usize,
    /// Timeout of an exchange with a worker, in milliseconds.
    #[serde(default = "default_exchange")]
    pub exchange_timeout_ms: u64,
}

fn default_threads() -> usize {
    16
}

fn default_exchange() -> u64 {
    800
}

/// Timings of ownership in the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawOwnership {
    /// Time without a renewal, in milliseconds, after which a shard may be
    /// acquired.
    pub lease_ms: u64,
    /// Time between renewals, in milliseconds.
    pub renew_ms: u64,
    /// Time between two reads of the row of a shard that this instance may
    /// acquire, in milliseconds.
    pub watch_ms: u64,
    /// Minimum time between two writes of a journal, in milliseconds.
    pub commit_ms: u64,
    /// Journal rows after which a snapshot is written.
    pub snapshot_rows: u64,
    /// Time, in milliseconds, for which the preferred owner must be steady before
    /// a shard moves there.
    pub steady_ms: u64,
    /// Hours for which finished jobs and claims of idempotency keys are kept.
    pub retention_hours: u64,
}

impl Default for RawOwnership {
    fn default() -> RawOwnership {
        RawOwnership {
            lease_ms: 4_000,
            renew_ms: 1_000,
            watch_ms: 200,
            commit_ms: 20,
            snapshot_rows: 500,
            steady_ms: 30_000,
            retention_hours: 168,
        }
    }
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct SchedSettings {
    /// What every instance has.
    pub instance: AgentSettings,
    /// Timings and policy of shards.
    pub shards: ShardSettings,
    /// Time without a renewal, in milliseconds, after which a shard may be
    /// acquired.
    pub lease_ms: u64,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Time between two reads of the row of a shard that this instance may
    /// acquire.
    pub watch_interval: Duration,
    /// Minimum time between two writes of a journal.
    pub commit_interval: Duration,
    /// Journal rows after which a snapshot is written.
    pub snapshot_rows: u64,
    /// Time, in milliseconds, for which the preferred owner must be steady before
    /// a shard moves there.
    pub steady_ms: u64,
    /// Hours for which finished jobs and claims of idempotency keys are kept.
    pub retention_hours: u64,
    /// Threads that make exchanges with workers.
    pub exchange_threads: usize,
    /// Timeout of an exchange with a worker.
    pub exchange_timeout: Duration,
}

/// Checks the settings and returns all problems at once.
pub fn check(raw: RawSched) -> Result<SchedSettings, Problems> {
    let mut p = Problems::default();
    let ownership = &raw.ownership;
    let ok = LEASE_MS_RANGE.contains(&ownership.lease_ms);
    p.require(ok, "ownership.lease_ms", "must be from 1000 to 60000");
    let ok = ownership.renew_ms >= 1 && ownership.renew_ms.saturating_mul(3) <= ownership.lease_ms;
    p.require(
        ok,
        "ownership.renew_ms",
        "must be at most a third of lease_ms",
    );
    let ok = (1..=100_000).contains(&ownership.retention_hours);
    p.require(ok, "ownership.retention_hours", "must be from 1 to 100000");
    let ok = (10..=ownership.lease_ms / 2).contains(&ownership.watch_ms);
    p.require(
        ok,
        "ownership.watch_ms",
        "must be from 10 to half of lease_ms",
    );
    p.require(
        ownership.commit_ms <= 1_000,
        "ownership.commit_ms",
        "must be at most 1000",
    );
    p.require(
        ownership.snapshot_rows >= 10,
        "ownership.snapshot_rows",
        "must be at least 10",
    );
    let ok = (1..=MAX_THREADS).contains(&raw.exchange_threads);
    p.require(
        ok,
        "exchange_threads",
        format!("must be from 1 to {MAX_THREADS}"),
    );
    let s = &raw.shards;
    let ok = raw.exchange_timeout_ms >= 10 && raw.exchange_timeout_ms < s.silent_after;
    p.require(
        ok,
        "exchange_timeout_ms",
        "must be at least 10 and less than shards.silent",
    );
    let ok = s.lease >= s.exchange_interval.saturating_mul(4);
    p.require(
        ok,
        "shards.lease",
        "must be at least four times shards.exchange",
    );
    let ok = s.lease > ownership.lease_ms.saturating_mul(2);
    p.require(
        ok,
        "shards.lease",
        "must be more than twice ownership.lease_ms, for a takeover",
    );
    p.require(s.max_placements > 0, "shards.batch", "must be more than 0");
    p.require(
        s.quarantine_threshold > 0,
        "shards.strikes",
        "must be more than 0",
    );
    let instance = AgentSettings::check(raw.instance, Role::Sched, &mut p);
    p.into_result(SchedSettings {
        instance,
        shards: raw.shards,
        lease_ms: raw.ownership.lease_ms,
        renew_interval: Duration::from_millis(raw.ownership.renew_ms),
        watch_interval: Duration::from_millis(raw.ownership.watch_ms),
        commit_interval: Duration::from_millis(raw.ownership.commit_ms),
        snapshot_rows: raw.ownership.snapshot_rows,
        steady_ms: raw.ownership.steady_ms,
        retention_hours: raw.ownership.retention_hours,
        exchange_threads: raw.exchange_threads,
        exchange_timeout: Duration::from_millis(raw.exchange_timeout_ms),
    })
}
