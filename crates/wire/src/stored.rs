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
    /// Version; incremented by each accepted change.
    pub version: u64,
    /// Number of the change among the changes of all organisations.
    pub change: u64,
    /// Chosen anew for each write, so that a writer recognises its own.
    pub token: u64,
    /// The template as written by the operator.
    pub raw: RawTemplate,
    /// The validated template.
    pub template: Arc<Organisation>,
}

/// Counts the changes of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Number of the last change.
    pub change: u64,
}

/// An entry of the log of changes; states whose template to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Organisation whose template was changed.
    pub org: Name,
}

/// An entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version of the template after the change.
    pub version: u64,
    /// Time of the change by the operator's clock, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Operator who made the change.
    pub who: Name,
    /// Reason given by the operator.
    pub why: Name,
    /// Changed fields, one per entry.
    pub diff: Vec<Name>,
}

/// A row of a shard's journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JournalRow {
    /// Epoch of the owner that wrote it.
    pub epoch: u64,
    /// Number of the first record.
    pub first: u64,
    /// Records.
    pub records: Vec<Record>,
}

/// A shard's snapshot in the object store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the next record.
    pub next: u64,
    /// State of the shard before that record.
    #[serde(rename = "book")]
    pub state: ShardState,
}

/// A job's row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Name of the job's shard.
    pub shard: Name,
    /// The job as accepted.
    pub spec: JobSpec,
    /// Final state; `None` until the job has ended.
    pub ended: Option<JobStatus>,
}

/// An entry of the index by which old ended jobs are deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The job.
    pub key: JobKey,
    /// Hour in which the job ended, counted from the Unix epoch.
    pub hour: u64,
    /// Number of the job in its shard.
    pub no: u32,
    /// Number of attempts of each task that may have written checkpoints.
    pub attempts: Vec<u32>,
}

/// An entry of the index by which old claims are deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedKey {
    /// Organisation.
    pub org: Name,
    /// Idempotency key.
    pub key: Name,
    /// Hour in which the key was claimed, counted from the Unix epoch.
    pub hour: u64,
}

/// Claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Chosen by the claiming instance to recognise its own claim.
    pub token: u64,
    /// Hour in which the claim was made, counted from the Unix epoch.
    pub hour: u64,
    /// Hash of the request that claimed the key.
    pub request: u64,
    /// Result of the request; `None` until it has ended.
    pub ended: Option<ClaimEnd>,
}

/// Result of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// Status code.
    pub status: u16,
    /// Content type; empty if absent.
    pub kind: Name,
    /// Body; empty if too long to be stored.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Whether the body is stored.
    #[serde(rename = "whole")]
    pub has_body: bool,
}
