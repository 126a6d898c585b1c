//! Keys of the table service's rows. Rows are sorted by key, so numbers are zero-padded.

use gorsespur_core::{name::Name, shard::JobKey};

/// Row that counts the changes of configuration.
pub const CONFIG_HEAD: &str = "config/head";

/// Prefix of the rows that hold the templates.
pub const CONFIG: &str = "config/org/";

/// Number of changes of configuration whose log entries are kept.
pub const CHANGES_KEPT: u64 = 1_000;

/// Returns the key of the log entry of a change of configuration.
pub fn change(number: u64) -> Name {
    format!("config/change/{number:020}").into()
}

/// Returns the key of an organisation's template.
pub fn config(org: &str) -> Name {
    format!("{CONFIG}{org}").into()
}

/// Returns the prefix of an organisation's audit entries.
pub fn audits(org: &str) -> Name {
    format!("audit/{org}/").into()
}

/// Returns the key of the audit entry of a template's version.
pub fn audit(org: &str, version: u64) -> Name {
    format!("audit/{org}/{version:012}").into()
}

/// Returns the key of a shard's row.
pub fn shard(shard: &str) -> Name {
    format!("shard/{shard}").into()
}

/// Returns the prefix of a shard's journal.
pub fn journal_rows(shard: &str) -> Name {
    format!("journal/{shard}/").into()
}

/// Returns the key of a row of a shard's journal.
pub fn journal(shard: &str, row: u64) -> Name {
    format!("journal/{shard}/{row:020}").into()
}

/// Returns the prefix of a shard's inbox.
pub fn inbox_rows(shard: &str) -> Name {
    format!("inbox/{shard}/").into()
}

/// Returns the key of a submitted job in its shard's inbox.
pub fn inbox(shard: &str, key: &JobKey) -> Name {
    format!("inbox/{shard}/{}/{}", key.org, key.id).into()
}

/// Returns the key of a job's row.
pub fn job(key: &JobKey) -> Name {
    format!("job/{}/{}", key.org, key.id).into()
}

/// Returns the prefix of a shard's index of ended jobs.
pub fn ended_rows(shard: &str) -> Name {
    format!("ended/{shard}/").into()
}

/// Returns the key of a job in the index of jobs that ended in `hour`, counted
/// from the Unix epoch.
pub fn ended(shard: &str, hour: u64, key: &JobKey) -> Name {
    format!("ended/{shard}/{hour:010}/{}/{}", key.org, key.id).into()
}

/// Prefix of the index of claims by hour.
pub const CLAIMED: &str = "claimed/";

/// Returns the key of a claim in the index of claims made in `hour`.
pub fn claimed(hour: u64, org: &str, key: &str) -> Name {
    format!("{CLAIMED}{hour:010}/{org}/{key}").into()
}

/// Returns the key of the claim of an idempotency key.
pub fn claim(org: &str, key: &str) -> Name {
    format!("claim/{org}/{key}").into()
}
