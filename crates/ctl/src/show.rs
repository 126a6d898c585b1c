//! The `show` command.

use gorsespur_services::Table;
use serde_json::json;

use crate::{document::to_text, error::CtlError, store, text_table::TextTable};

/// Prints the template of an organisation, or lists all organisations.
pub(crate) fn show(table: &dyn Table, org: Option<&str>, as_json: bool) -> Result<(), CtlError> {
    match org {
        Some(org) => show_one(table, org, as_json),
        None => list(table, as_json),
    }
}

fn show_one(table: &dyn Table, org: &str, as_json: bool) -> Result<(), CtlError> {
    let Some(found) = store::template(table, org)? else {
        let org = org.to_owned();
        return Err(CtlError::UnknownOrganisation { org });
    };
    let t = found.value;
    if as_json {
        println!("{}", json!({"version": t.version, "template": t.raw}));
    } else {
        print!("{}", to_text(&t.raw, t.version));
    }
    Ok(())
}

fn list(table: &dyn Table, as_json: bool) -> Result<(), CtlError> {
    let all = store::templates(table)?;
    if as_json {
        let mut list = Vec::new();
        for t in &all {
            list.push(json!({"organisation": &*t.template.name, "version": t.version}));
        }
        println!("{}", json!(list));
        return Ok(());
    }
    let mut text = TextTable::new(&["ORGANISATION", "VERSION", "SERVICES", "JOBS", "TEAMS"]);
    for t in &all {
        let o = &t.template;
        text.add_row(vec![
            o.name.to_string(),
            t.version.to_string(),
            o.services.len().to_string(),
            o.jobs.len().to_string(),
            o.teams.len().to_string(),
        ]);
    }
    text.print();
    Ok(())
}
