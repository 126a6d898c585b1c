//! The `history` command.

use gorsespur_services::Table;
use serde_json::json;

use crate::{error::CtlError, store, text_table::TextTable};

/// Prints the audit trail of an organisation, oldest entry first.
pub(crate) fn history(table: &dyn Table, org: &str, as_json: bool) -> Result<(), CtlError> {
    let entries = store::audit_trail(table, org)?;
    if entries.is_empty() {
        let org = org.to_owned();
        return Err(CtlError::UnknownOrganisation { org });
    }
    if as_json {
        println!("{}", json!(entries));
        return Ok(());
    }
    let mut text = TextTable::new(&["VERSION", "UNIX MS", "WHO", "WHY", "CHANGE"]);
    for e in &entries {
        let mut cells = vec![
            e.version.to_string(),
            e.at.to_string(),
            e.who.to_string(),
            e.why.to_string(),
        ];
        for (i, line) in e.diff.iter().enumerate() {
            if i > 0 {
                cells = vec![String::new(); 4];
            }
            cells.push(line.to_string());
            text.add_row(std::mem::take(&mut cells));
        }
    }
    text.print();
    Ok(())
}
