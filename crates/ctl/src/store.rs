//! Reads templates and audit entries from the table service.

use gorsespur_core::name::Name;
use gorsespur_services::Table;
use gorsespur_wire::{
    codec::decode,
    keys,
    stored::{AuditEntry, ConfigHead, StoredTemplate},
};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{CtlError, StoredSnafu, TableSnafu};

/// Rows per scan call.
const BATCH_ROWS: u32 = 500;

/// A decoded value with the version of its row.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// Version of the row, for conditional writes.
    pub version: u64,
    /// Decoded value.
    pub value: T,
}

fn read_row<T: DeserializeOwned>(
    table: &dyn Table,
    key: Name,
) -> Result<Option<Versioned<T>>, CtlError> {
    let rows = table.get(&[key]).context(TableSnafu)?;
    let Some(row) = rows.into_iter().next().flatten() else {
        return Ok(None);
    };
    let value = decode(&row.value).context(StoredSnafu)?;
    Ok(Some(Versioned {
        version: row.version,
        value,
    }))
}

/// Reads the template of an organisation; `None` if the organisation has no template.
pub fn template(
    table: &dyn Table,
    org: &str,
) -> Result<Option<Versioned<StoredTemplate>>, CtlError> {
    read_row(table, keys::config(org))
}

/// Reads the configuration head, which holds the number of the last change; `None` before the
/// first change.
pub fn config_head(table: &dyn Table) -> Result<Option<Versioned<ConfigHead>>, CtlError> {
    read_row(table, Name::from(keys::CONFIG_HEAD))
}

/// Reads and decodes all rows with a prefix, in the order of their keys.
fn scan_rows<T: DeserializeOwned>(table: &dyn Table, prefix: Name) -> Result<Vec<T>, CtlError> {
    let mut out = Vec::new();
    let mut after = None;
    loop {
        let (rows, more) = table.scan(&prefix, after, BATCH_ROWS).context(TableSnafu)?;
        after = rows.last().map(|r| r.key.clone());
        for row in rows {
            out.push(decode(&row.value).context(StoredSnafu)?);
        }
        if !more {
            return Ok(out);
        }
    }
}

/// Reads all templates, sorted by organisation.
pub fn templates(table: &dyn Table) -> Result<Vec<StoredTemplate>, CtlError> {
    scan_rows(table, Name::from(keys::CONFIG))
}

/// Reads the audit trail of an organisation, oldest entry first.
pub fn audit_trail(table: &dyn Table, org: &str) -> Result<Vec<AuditEntry>, CtlError> {
    scan_rows(table, keys::audits(org))
}
