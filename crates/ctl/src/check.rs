//! The `check` and `diff` commands.

use std::path::Path;

use gorsespur_services::Table;
use serde_json::json;

use crate::{diff::diff, document::Document, error::CtlError, store};

/// Checks a template file and prints a summary of its contents.
pub(crate) fn check(file: &Path, as_json: bool) -> Result<(), CtlError> {
    let doc = Document::read(file)?;
    let t = &doc.template;
    let (services, jobs, teams) = (t.services.len(), t.jobs.len(), t.teams.len());
    if as_json {
        let value = json!({
            "organisation": &*t.name, "services": services, "jobs": jobs, "teams": teams,
        });
        println!("{value}");
    } else {
        println!(
            "{}: {services} services, {jobs} kinds of jobs, {teams} teams; no problem",
            t.name
        );
    }
    Ok(())
}

/// Prints the fields that applying a template would change.
pub(crate) fn show_diff(table: &dyn Table, file: &Path, as_json: bool) -> Result<(), CtlError> {
    let doc = Document::read(file)?;
    let old = store::template(table, &doc.template.name)?;
    let version = old.as_ref().map_or(0, |o| o.value.version);
    let lines = diff(old.as_ref().map(|o| &o.value.raw), &doc.raw);
    if as_json {
        println!(
            "{}",
            json!({"organisation": &*doc.template.name, "version": version, "diff": lines})
        );
        return Ok(());
    }
    println!(
        "{} at version {version}: {} fields change",
        doc.template.name,
        lines.len()
    );
    for line in lines {
        println!("  {line}");
    }
    Ok(())
}
