//! Dispatches the commands.

use std::{env, net::SocketAddr, time::Duration};

use gorsespur_core::problem::Problems;
use gorsespur_runtime::settings::load;
use gorsespur_services::{HttpMembers, HttpTable};
use serde::Deserialize;
use serde_json::json;
use snafu::{OptionExt, ResultExt};

use crate::{
    apply::{Change, apply},
    args::{Command, CtlArgs, PlatformArgs},
    check,
    document::Document,
    error::{CtlError, NoAddressSnafu, SettingsSnafu},
    explain::{explain, losses},
    history::history,
    show::show,
    status::status,
};

/// Timeout of each call to the table service or the membership list.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Contents of the settings file; flags override them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct CtlSettings {
    table: Option<SocketAddr>,
    members: Option<SocketAddr>,
    who: Option<String>,
}

/// Runs the command given on the command line.
pub fn run(args: &CtlArgs) -> Result<(), CtlError> {
    let settings = match &args.platform.settings {
        Some(path) => load(path, Ok::<CtlSettings, Problems>).context(SettingsSnafu)?,
        None => CtlSettings::default(),
    };
    let json = args.json;
    match &args.command {
        Command::Check { file } => check::check(file, json),
        Command::Diff { file } => {
            check::show_diff(&table_client(&args.platform, &settings)?, file, json)
        }
        Command::Show { org } => show(
            &table_client(&args.platform, &settings)?,
            org.as_deref(),
            json,
        ),
        Command::History { org } => history(&table_client(&args.platform, &settings)?, org, json),
        Command::Explain { job, logs } => explain(job, logs, json),
        Command::Losses { logs, window } => losses(logs, window * 1000, json),
        Command::Status => status(&members_client(&args.platform, &settings)?, json),
        Command::Apply { file, on, who, why } => {
            let document = Document::read(file)?;
            let base_version = on.or(document.version).unwrap_or(0);
            let author = who
                .clone()
                .or(settings.who.clone())
                .or_else(|| env::var("USER").ok());
            let change = Change {
                document,
                base_version,
                author: author.unwrap_or_else(|| "operator".to_owned()),
                reason: why.clone(),
            };
            run_apply(&table_client(&args.platform, &settings)?, &change, json)
        }
    }
}

fn table_client(args: &PlatformArgs, settings: &CtlSettings) -> Result<HttpTable, CtlError> {
    let addr = args
        .table
        .or(settings.table)
        .context(NoAddressSnafu { flag: "table" })?;
    Ok(HttpTable::new(addr, CALL_TIMEOUT))
}

fn members_client(args: &PlatformArgs, settings: &CtlSettings) -> Result<HttpMembers, CtlError> {
    let addr = args
        .members
        .or(settings.members)
        .context(NoAddressSnafu { flag: "members" })?;
    Ok(HttpMembers::new(addr, CALL_TIMEOUT))
}

fn run_apply(table: &HttpTable, change: &Change, as_json: bool) -> Result<(), CtlError> {
    let accepted = apply(table, change)?;
    if as_json {
        let value = json!({
            "organisation": &*accepted.org, "version": accepted.version, "diff": accepted.diff,
        });
        println!("{value}");
        return Ok(());
    }
    if accepted.diff.is_empty() {
        println!(
            "{}: version {} is in force already",
            accepted.org, accepted.version
        );
        return Ok(());
    }
    println!("{}: version {} accepted", accepted.org, accepted.version);
    for line in &accepted.diff {
        println!("  {line}");
    }
    Ok(())
}
