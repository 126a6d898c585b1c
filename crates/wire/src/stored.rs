//! Values of the table service's rows.

use std::sync::Arc;

use gorsespur_core::{
    name::Name,
    shard::{JobKey, JobSpec, JobStatus, Record, ShardState},
    template::{Organisation, RawTemplate},
};
use serde::{Deserialize, Serialize};

/// An organisation's template.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredTemplate {
    /// Version; only grows, by one for each accepted change.
    pub version: u64,
    /// Number of the change among all organisations' changes.
    pub change: u64,
    /// Chosen anew for each write, to recognise one's own.
    pub token: u64,
    /// What the operator wrote.
    pub raw: RawTemplate,
    /// The checked form.
    pub template: Arc<Organisation>,
}

/// Counts the changes of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Number of the last change.
    pub change: u64,
}

/// An entry of the log of changes, which tells whose template to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Organisation whose template was changed.
    pub org: Name,
}

/// An entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version of the template that the change made.
    pub version: u64,
    /// When it was made, in milliseconds since the Unix epoch, by the
    /// operator's clock.
    pub at: u64,
    /// Who made it.
    pub who: Name,
    /// Why, in the operator's words.
    pub why: Name,
    /// Changed fields, one a line.
    pub diff: Vec<Name>,
}

/// A row of a shard's journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JournalRow {
    /// Epoch of the owner that wrote it.
    pub epoch: u64,
    /// Number of its first record.
    pub first: u64,
    /// Its records.
    pub records: Vec<Record>,
}

/// A shard's snapshot in the object store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the next record.
    pub next: u64,
    /// The book before that record.
    pub book: ShardState,
}

/// A job's row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Name of its shard.
    pub shard: Name,
    /// What was accepted.
    pub spec: JobSpec,
    /// Its last state, once it is finished.
    pub ended: Option<JobStatus>,
}

/// A finished job in the list from which old ones are deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The job.
    pub key: JobKey,
    /// Hour in which it was finished, counted from the Unix epoch.
    pub hour: u64,
    /// Number in its shard.
    pub no: u32,
    /// Attempts of each task that may have written checkpoints.
    pub attempts: Vec<u32>,
}

/// A claim in the list from which old ones are deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedKey {
    /// Organisation.
    pub org: Name,
    /// Idempotency key.
    pub key: Name,
    /// Hour in which it was claimed, counted from the Unix epoch.
    pub hour: u64,
}

/// Claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Chosen by the instance that claims it.
    pub token: u64,
    /// Hour in which it was made, counted from the Unix epoch.
    pub hour: u64,
    /// Hash of the request that it was claimed for.
    pub request: u64,
    /// How the request ended, if it did.
    pub ended: Option<ClaimEnd>,
}

/// How a request with an idempotency key ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// Status code.
    pub status: u16,
    /// Content type; empty if there was none.
    pub kind: Name,
    /// Body; empty if it was too long to be kept.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Whether the body was kept.
    pub whole: bool,
}
