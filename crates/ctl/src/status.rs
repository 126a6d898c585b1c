//! The `status` command.

use std::time::Duration;

use gorsespur_core::{name::Name, shard::Health};
use gorsespur_services::{Members, post};
use gorsespur_wire::{members::InstanceInfo, paths::PEER_STATUS, peer::InstanceStatus};
use serde_json::json;
use snafu::ResultExt;

use crate::{
    error::{CtlError, MembersSnafu},
    text_table::TextTable,
};

/// Timeout of a status call to one instance.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Prints the status of all instances in the membership list, including those that don't answer.
pub(crate) fn status(members: &dyn Members, as_json: bool) -> Result<(), CtlError> {
    let list = members.list().context(MembersSnafu)?;
    let mut statuses = Vec::new();
    let mut unreachable = Vec::new();
    for info in list.instances {
        match post::<_, InstanceStatus>(info.addr, PEER_STATUS, &(), STATUS_TIMEOUT) {
            Ok(status) => statuses.push(status),
            Err(_) => unreachable.push(info),
        }
    }
    if as_json {
        let unreachable: Vec<&Name> = unreachable.iter().map(|i| &i.id).collect();
        println!("{}", json!({"instances": statuses, "silent": unreachable}));
        return Ok(());
    }
    print_instances(&statuses, &unreachable);
    print_shards(&statuses);
    print_problems(&statuses);
    Ok(())
}

fn print_instances(statuses: &[InstanceStatus], unreachable: &[InstanceInfo]) {
    let mut text = TextTable::new(&[
        "INSTANCE", "ROLE", "ZONE", "CONFIG", "SEES", "SHARDS", "REQUESTS", "REFUSED",
    ]);
    for s in statuses {
        let routed = |f: fn(&gorsespur_core::route::RouteCounts) -> u64| {
            s.routed
                .as_ref()
                .map_or_else(String::new, |c| f(c).to_string())
        };
        text.add_row(vec![
            s.id.to_string(),
            format!("{:?}", s.role).to_lowercase(),
            s.zone.to_string(),
            s.config.to_string(),
            s.live.len().to_string(),
            s.shards.len().to_string(),
            routed(|c| c.requests),
            routed(|c| c.refused),
        ]);
    }
    for i in unreachable {
        text.add_row(vec![
            i.id.to_string(),
            format!("{:?}", i.role).to_lowercase(),
            i.zone.to_string(),
            "no answer".to_owned(),
        ]);
    }
    text.print();
}

fn print_shards(statuses: &[InstanceStatus]) {
    println!();
    let mut text = TextTable::new(&[
        "SHARD",
        "OWNER",
        "EPOCH",
        "JOBS",
        "QUEUED",
        "ACTIVE",
        "WORKERS",
        "STORE AGE MS",
    ]);
    for s in statuses {
        for shard in &s.shards {
            text.add_row(vec![
                shard.shard.to_string(),
                s.id.to_string(),
                shard.epoch.to_string(),
                shard.jobs.to_string(),
                shard.queued.to_string(),
                shard.active.to_string(),
                shard.workers.len().to_string(),
                shard.store_age.to_string(),
            ]);
        }
    }
    text.print();
}

/// Prints workers that get no tasks and jobs that can't run, with the reason.
fn print_problems(statuses: &[InstanceStatus]) {
    let mut text = TextTable::new(&["HELD UP", "SHARD", "REASON"]);
    let mut has_rows = false;
    for shard in statuses.iter().flat_map(|s| &s.shards) {
        for w in &shard.workers {
            let reason = match (w.health, w.quarantined, w.leaving) {
                (Health::Silent, _, _) => "does not answer",
                (Health::New, _, _) => "did not answer yet",
                (Health::Good, true, _) => "quarantined: it failed task after task",
                (Health::Good, false, true) => "leaving",
                (Health::Good, false, false) => continue,
            };
            has_rows = true;
            text.add_row(vec![
                w.name.to_string(),
                shard.shard.to_string(),
                reason.to_owned(),
            ]);
        }
        for job in &shard.blocked {
            has_rows = true;
            let reason = "no worker is large enough".to_owned();
            text.add_row(vec![job.to_string(), shard.shard.to_string(), reason]);
        }
    }
    if has_rows {
        println!();
        text.print();
    }
}
