//! Names and contents of the node's own rows.

use std::sync::Arc;

use gorsespur_jobs::JobId;
use serde::{Deserialize, Serialize};

use crate::census::Census;

/// Jobs as they were accepted, and their cancellations.
pub(crate) const JOBS: &str = "jobs";

/// What became of jobs.
pub(crate) const RECORDS: &str = "records";

/// What changed of the jobs' tasks, in rows whose keys rise.
pub(crate) const LOG: &str = "log";

/// Who decides.
pub(crate) const LEASE: &str = "lease";

/// The journal's end.
pub(crate) const JOURNAL: &str = "journal";

/// What the owners have learned.
pub(crate) const LEARNED: &str = "learned";

/// Which instances there are.
pub(crate) const INSTANCES: &str = "instances";

/// The part that these rows are in. The owner's writes do not wait for theirs.
pub(crate) const INSTANCES_PART: &str = "instances";

/// The part that all of the owner's rows are in, so that one transaction spans them.
pub(crate) const OWNER_PART: &str = "all";

/// Key of the lease.
pub(crate) const OWNER_KEY: &str = "owner";

/// Key of the journal's end.
pub(crate) const HEAD_KEY: &str = "head";

/// Parts of the accepted jobs. A part takes its transactions one after another, and two a second
/// while the store is slow: callers who wait for one of hundreds of instances meet in few parts.
const JOB_PARTS: u64 = 64;

/// What follows a job's name in the key of its cancellation.
const CANCEL_SUFFIX: &str = ".c";

/// Returns the part of a job's rows.
pub(crate) fn job_part(id: JobId) -> String {
    (id.0 % JOB_PARTS).to_string()
}

/// Returns all parts of the accepted jobs.
pub(crate) fn job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(|p| p.to_string())
}

/// Returns the key of a job's cancellation.
pub(crate) fn cancel_key(id: JobId) -> String {
    format!("{id}{CANCEL_SUFFIX}")
}

/// What a key among the accepted jobs names.
pub(crate) enum JobsRowKey {
    /// A job.
    Job,
    /// Its cancellation.
    Cancel(JobId),
}

/// Reads a key among the accepted jobs.
pub(crate) fn parse_jobs_key(key: &str) -> Option<JobsRowKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobsRowKey::Cancel),
        None => key.parse::<JobId>().ok().map(|_| JobsRowKey::Job),
    }
}

/// Returns the key of a row of the log: `index` among those of the owner's write `number`. Keys
/// rise with epochs, and within one with its writes.
pub(crate) fn log_key(epoch: u64, number: u64, index: usize) -> String {
    format!("{epoch:010}.{number:010}.{index:02}")
}

/// The row of the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRow {
    /// Name of the owner.
    pub(crate) owner: String,
    /// Grows with each owner; the fencing token at the workers.
    pub(crate) epoch: u64,
    /// Whether the owner has given it back and sends nothing any more.
    pub(crate) released: bool,
    /// The owner's share of a processor, in thousandths.
    pub(crate) share: u64,
    /// The largest share of any owner so far, in thousandths.
    pub(crate) largest: u64,
    /// Jobs by queue none of whose tasks has begun.
    pub(crate) pending: Vec<(Arc<str>, u64)>,
    /// Milliseconds without a renewal after which it is free; 0 if its owner did not say.
    #[serde(default)]
    pub(crate) term: u64,
    /// Milliseconds from this renewal on until leases of workers are over that owners before
    /// this one may have granted.
    #[serde(default)]
    pub(crate) earlier: u64,
    /// How many instances there are; none if that is not known.
    #[serde(default)]
    pub(crate) census: Census,
}

/// The row of the journal's end: who wrote last, and which write it was.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRow {
    /// The writer's epoch.
    pub(crate) epoch: u64,
    /// Number of the write in that epoch.
    pub(crate) number: u64,
}

/// Writes a row's value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Writing plain data to a vector can't fail.
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// Reads a row's value; logs what can't be read.
pub(crate) fn decode<'a, T: Deserialize<'a>>(what: &str, bytes: &'a [u8]) -> Option<T> {
    match rmp_serde::from_slice(bytes) {
        Ok(value) => Some(value),
        Err(err) => {
            log::error!(what, err = err.to_string().as_str(); "store: row can't be read");
            None
        }
    }
}
