//! Tables, keys and values of the rows that nodes keep in the store.

use std::sync::Arc;

use gorsespur_core::hashing::stable_hash;
use gorsespur_jobs::{Job, JobId, QueueFigures, QueuePolicy, decode_next, decode_row};
use serde::{Deserialize, Serialize};

use crate::census::Census;

/// Table of accepted jobs and their cancellations.
pub(crate) const JOBS: &str = "jobs";

/// Table of the jobs' records.
pub(crate) const RECORDS: &str = "records";

/// Table of the log: changes of tasks, in rows with ascending keys.
pub(crate) const LOG: &str = "log";

/// Table of the lease.
pub(crate) const LEASE: &str = "lease";

/// Table of what new jobs can expect.
pub(crate) const FIGURES: &str = "figures";

/// Table of the head of the journal.
pub(crate) const JOURNAL: &str = "journal";

/// Table of the estimates that owners have learned.
pub(crate) const LEARNED: &str = "learned";

/// Table of the policies of queues with open jobs.
pub(crate) const POLICIES: &str = "policies";

/// Table of the instances.
pub(crate) const INSTANCES: &str = "instances";

/// Part of the instances' rows. It differs from [`OWNER_PART`] so that the owner's writes do not
/// wait for theirs.
pub(crate) const INSTANCES_PART: &str = "instances";

/// Part of all rows that the owner writes, so that one transaction can span them.
pub(crate) const OWNER_PART: &str = "all";

/// Key of the lease.
pub(crate) const OWNER_KEY: &str = "owner";

/// Key of the head of the journal.
pub(crate) const HEAD_KEY: &str = "head";

/// Number of parts of the accepted jobs. A part commits its transactions one after another, only
/// two a second while the store is slow, so that hundreds of instances must be spread over many
/// parts.
const JOB_PARTS: u64 = 64;

/// Suffix of a job's ID in the key of its cancellation.
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

/// Value of the row of a cancellation. Earlier versions write an empty value.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CancelRow {
    /// When the caller cancelled the job, in milliseconds since the Unix epoch.
    pub(crate) at: u64,
}

/// A parsed key of the table of accepted jobs.
pub(crate) enum JobsRowKey {
    /// A job.
    Job,
    /// The cancellation of a job.
    Cancel(JobId),
}

/// Parses a key of the table of accepted jobs.
pub(crate) fn parse_jobs_key(key: &str) -> Option<JobsRowKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobsRowKey::Cancel),
        None => key.parse::<JobId>().ok().map(|_| JobsRowKey::Job),
    }
}

/// Returns the key of row `index` of the owner's write `number` in the log. Keys ascend with the
/// epoch, then with the write.
pub(crate) fn log_key(epoch: u64, number: u64, index: usize) -> String {
    format!("{epoch:010}.{number:010}.{index:02}")
}

/// Returns the key of a queue's policy: a hash, since the length of a key is limited and that of a
/// name is not.
pub(crate) fn policy_key(queue: &str) -> String {
    format!("{:016x}", stable_hash(&[queue]))
}

/// Value of the lease's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRow {
    /// Name of the owner.
    pub(crate) owner: String,
    /// Raised by each claim; the highest fencing token that the owner may send to workers.
    pub(crate) epoch: u64,
    /// Whether the owner has released the lease and sends no more orders.
    pub(crate) released: bool,
    /// The owner's CPU share, in thousandths.
    pub(crate) share: u64,
    /// The largest CPU share of any owner so far, in thousandths.
    pub(crate) largest: u64,
    /// Number of jobs without a started task, by queue.
    pub(crate) pending: Vec<(Arc<str>, u64)>,
    /// Milliseconds without a renewal after which the lease expires; 0 if unknown.
    #[serde(default)]
    pub(crate) term: u64,
    /// Milliseconds from this renewal until all worker leases end that earlier owners may have
    /// granted.
    #[serde(default)]
    pub(crate) earlier: u64,
    /// Counts of instances; 0 if unknown.
    #[serde(default)]
    pub(crate) census: Census,
}

/// Value of the row that tells what new jobs can expect. Instances of earlier versions can't read a
/// lease with more fields than they know, so this is a row of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FiguresRow {
    /// What new jobs can expect, by queue; empty if the owner does not know.
    pub(crate) queues: Vec<QueueFigures>,
}

/// Value of the head of the journal: identifies the last write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRow {
    /// Epoch of the writer.
    pub(crate) epoch: u64,
    /// Number of the write within the epoch.
    pub(crate) number: u64,
}

/// Value of the row of an accepted job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct JobRow {
    /// The job.
    pub(crate) job: Job,
    /// The policy under which the job was accepted; `None` if an earlier version wrote the row.
    pub(crate) policy: Option<QueuePolicy>,
}

impl JobRow {
    /// Encodes the job, and then the policy. Earlier versions read the job, and ignore what follows
    /// it; a field more in the job itself would make the row unreadable for them.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut value = encode(&self.job);
        value.extend(self.policy.as_ref().map(encode).unwrap_or_default());
        value
    }

    /// Decodes a row; logs a malformed one and returns `None`. A malformed policy is left out.
    pub(crate) fn decode(bytes: &[u8]) -> Option<JobRow> {
        let mut rest = bytes;
        let job: Job = match decode_next(&mut rest) {
            Ok(job) => job,
            Err(err) => {
                log::error!(what = "job", err = err.to_string().as_str(); "store: row can't be read");
                return None;
            }
        };
        let policy = match rest {
            [] => None,
            _ => decode::<QueuePolicy>("policy of a job", rest),
        };
        let policy = policy.filter(|p| p.queue == job.queue);
        Some(JobRow { job, policy })
    }
}

/// Encodes a row's value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain data into a vector can't fail.
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// Decodes a row's value; logs a malformed one and returns `None`.
pub(crate) fn decode<'a, T: Deserialize<'a>>(what: &str, bytes: &'a [u8]) -> Option<T> {
    match decode_row(bytes) {
        Ok(value) => Some(value),
        Err(err) => {
            log::error!(what, err = err.to_string().as_str(); "store: row can't be read");
            None
        }
    }
}
