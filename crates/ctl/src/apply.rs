//! Applies a template.
//!
//! The template, its audit entry and the configuration change log are written in one
//! transaction. It is conditional on the rows of the template and of the configuration head, so
//! that no concurrent change is overwritten.

use std::{thread, time::Duration};

use gorsespur_core::{
    name::{Name, check_name},
    retry::Backoff,
};
use gorsespur_runtime::clock::wall_ms;
use gorsespur_services::{Table, TableError};
use gorsespur_wire::{
    codec::encode,
    keys,
    stored::{AuditEntry, ConfigChange, ConfigHead, StoredTemplate},
    table::{Expect, Tx},
};
use rand::Rng;
use snafu::ResultExt;

use crate::{
    diff::diff,
    document::Document,
    error::{CtlError, StoredSnafu},
    store::{self, Versioned},
};

/// Attempts of a change. Changes of other organisations can conflict with it, since all of
/// them update the configuration head.
const MAX_ATTEMPTS: u32 = 20;

/// Shortest backoff between attempts.
const FIRST_DELAY_MS: u64 = 10;

/// Longest backoff between attempts.
const MAX_DELAY_MS: u64 = 500;

/// A template to be applied.
#[derive(Debug, Clone)]
pub struct Change {
    /// The new template.
    pub document: Document,
    /// Version that the operator edited; 0 for a new organisation.
    pub base_version: u64,
    /// Operator who makes the change, for the audit entry; has to be a valid name.
    pub author: String,
    /// Reason of the change, for the audit entry.
    pub reason: String,
}

/// Result of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Organisation of the template.
    pub org: Name,
    /// Version in force.
    pub version: u64,
    /// Changed fields; empty if the template was in force already. If a retry finds the change
    /// applied by an earlier attempt, a reference to the history instead.
    pub diff: Vec<String>,
}

/// Applies a change if the version in force is the one that was edited.
///
/// Retries conflicts with changes of other organisations. If the answer to the write is lost,
/// the random token in the stored template shows whether the write took effect.
///
/// # Errors
///
/// Fails if the author is not a valid name, if the version in force is not the one that was
/// edited, or if the table service is unavailable. Returns [`CtlError::InDoubt`] if the answer
/// to a write was lost and later attempts couldn't establish its outcome.
pub fn apply(table: &dyn Table, change: &Change) -> Result<Accepted, CtlError> {
    if check_name(&change.author).is_err() {
        let author = change.author.clone();
        return Err(CtlError::InvalidAuthor { author });
    }
    let token = rand::rng().random_range(1..=u64::MAX);
    let mut backoff = Backoff::new(FIRST_DELAY_MS, MAX_DELAY_MS, token);
    let org = &change.document.template.name;
    let mut in_doubt = false;
    for _ in 0..MAX_ATTEMPTS {
        let old = match store::template(table, org) {
            Ok(old) => old,
            Err(_) if in_doubt => {
                pause(&mut backoff);
                continue;
            }
            Err(err) => return Err(err),
        };
        let current = old.as_ref().map_or(0, |o| o.value.version);
        if let Some(old) = old.as_ref().filter(|o| o.value.token == token) {
            return Ok(accepted(change, old.value.version, None));
        }
        if current != change.base_version {
            return Err(version_conflict(table, change, current));
        }
        let before = old.as_ref().map(|o| &o.value.raw);
        let lines = diff(before, &change.document.raw);
        if lines.is_empty() && old.is_some() {
            return Ok(accepted(change, current, Some(lines)));
        }
        let tx = transaction(table, change, old.as_ref(), &lines, token)?;
        match table.tx(&tx) {
            Ok(_) => return Ok(accepted(change, current + 1, Some(lines))),
            Err(TableError::Unavailable) if !in_doubt => {
                let source = TableError::Unavailable;
                return Err(CtlError::Table { source });
            }
            Err(TableError::Unknown) => in_doubt = true,
            Err(TableError::Conflict { .. } | TableError::Unavailable) => {}
        }
        pause(&mut backoff);
    }
    if in_doubt {
        return Err(CtlError::InDoubt);
    }
    let source = TableError::Unavailable;
    Err(CtlError::Table { source })
}

fn pause(backoff: &mut Backoff) {
    thread::sleep(Duration::from_millis(backoff.next_delay()));
}

fn accepted(change: &Change, version: u64, lines: Option<Vec<String>>) -> Accepted {
    let diff = lines.unwrap_or_else(|| vec!["see history".to_owned()]);
    Accepted {
        org: change.document.template.name.clone(),
        version,
        diff,
    }
}

/// Returns the error for an outdated base version, with the changes made since that version.
fn version_conflict(table: &dyn Table, change: &Change, current: u64) -> CtlError {
    let org = &change.document.template.name;
    let mut changes = Vec::new();
    for entry in store::audit_trail(table, org).unwrap_or_default() {
        if entry.version <= change.base_version {
            continue;
        }
        let lines: Vec<&str> = entry.diff.iter().map(|d| &**d).collect();
        changes.push(format!(
            "version {} by {} ({})",
            entry.version,
            entry.who,
            lines.join(", ")
        ));
    }
    CtlError::VersionConflict {
        org: org.to_string(),
        base_version: change.base_version,
        current_version: current,
        changes: changes.join("; "),
    }
}

fn transaction(
    table: &dyn Table,
    change: &Change,
    old: Option<&Versioned<StoredTemplate>>,
    lines: &[String],
    token: u64,
) -> Result<Tx, CtlError> {
    let org = &change.document.template.name;
    let head = store::config_head(table)?;
    let number = head.as_ref().map_or(0, |h| h.value.change) + 1;
    let version = change.base_version + 1;
    let stored = StoredTemplate {
        version,
        change: number,
        token,
        raw: change.document.raw.clone(),
        template: change.document.template.clone(),
    };
    let audit = AuditEntry {
        version,
        at: wall_ms(),
        who: Name::from(&*change.author),
        why: Name::from(&*change.reason),
        diff: lines.iter().map(|l| Name::from(&**l)).collect(),
    };
    let expect = |found: Option<u64>| found.map_or(Expect::Absent, Expect::Version);
    let head_key = Name::from(keys::CONFIG_HEAD);
    let audit_key = keys::audit(org, version);
    let encoded_template = encode(&stored).context(StoredSnafu)?;
    let encoded_audit = encode(&audit).context(StoredSnafu)?;
    let encoded_head = encode(&ConfigHead { change: number }).context(StoredSnafu)?;
    let encoded_change = encode(&ConfigChange { org: org.clone() }).context(StoredSnafu)?;
    let mut tx = Tx::new();
    if let Some(expired) = number.checked_sub(keys::CHANGES_KEPT) {
        tx = tx.delete(keys::change(expired));
    }
    Ok(tx
        .put(keys::change(number), encoded_change)
        .check(keys::config(org), expect(old.map(|o| o.version)))
        .check(head_key.clone(), expect(head.map(|h| h.version)))
        .check(audit_key.clone(), Expect::Absent)
        .put(keys::config(org), encoded_template)
        .put(head_key, encoded_head)
        .put(audit_key, encoded_audit))
}
