//! Texts of the instances' settings files.

use std::fmt::Write;

use super::plan::{FleetPlan, InstancePlan};

/// Returns the section `instance`, which all instances have.
fn instance_section(plan: &FleetPlan, instance: &InstancePlan) -> String {
    let platform_addr = plan
        .zones
        .iter()
        .position(|z| *z == instance.zone)
        .map(|i| plan.platform_addrs[i]);
    let platform_addr = platform_addr.map(|g| g.to_string()).unwrap_or_default();
    let mut out = String::from("instance:\n");
    let mut line = |text: String| {
        let _ = writeln!(out, "  {text}");
    };
    line(format!("id: {}", instance.id));
    line(format!("zone: {}", instance.zone));
    line(format!("listen: {}", instance.peer_addr));
    let seeds: Vec<String> = plan
        .scheds
        .iter()
        .map(|s| s.peer_addr.to_string())
        .collect();
    line(format!("seeds: [{}]", seeds.join(", ")));
    line("zones:".to_owned());
    for zone in &plan.zones {
        line(format!("  - {{name: {zone}, shards: {}}}", plan.shards));
    }
    line("platform:".to_owned());
    line(format!("  table: {platform_addr}"));
    line(format!("  objects: {platform_addr}"));
    line(format!("  members: {platform_addr}"));
    out
}

/// Returns the settings of an entry.
pub(crate) fn entry(plan: &FleetPlan, instance: &InstancePlan) -> String {
    format!(
        "{}callers: {}\ndrain_ms: 1000\n",
        instance_section(plan, instance),
        instance.caller_addr
    )
}

/// Returns the settings of a scheduler.
pub(crate) fn sched(plan: &FleetPlan, instance: &InstancePlan) -> String {
    format!(
        "{}ownership: {{snapshot_rows: 100}}\n",
        instance_section(plan, instance)
    )
}
