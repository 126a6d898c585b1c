//! Validation of raw templates.

use std::sync::Arc;

use super::{
    JobTemplate, OrgLimits, Organisation, RawJob, RawLimits, RawService, RawSize, RawTeam,
    RawTemplate, RawWeights, Service, Team, Weights,
};
use crate::{
    name::{Name, check_name},
    problem::Problems,
    size::Size,
};

/// Maximum length of each list of a template.
const MAX_ENTRIES: usize = 1_000;

/// Maximum CPU of any size, in cores.
const MAX_CORES: f64 = 10_000_000.0;
/// Maximum memory of any size, in MiB.
const MAX_MIB: i64 = 100_000_000_000;
/// Maximum number of accelerators of any size.
const MAX_ACCELS: i64 = 1_000_000;

/// Maximum declared run time in milliseconds: 30 days.
const MAX_RUN_MS: i64 = 30 * 24 * 3600 * 1000;

/// Validates a template.
///
/// # Errors
///
/// Returns all problems of the template, each with the path of its field.
pub fn check(raw: &RawTemplate) -> Result<Organisation, Problems> {
    let mut p = Problems::default();
    let name = name(&raw.organisation, "organisation", &mut p);
    let weights = weights(&raw.weights, &mut p);
    let limits = limits(&raw.limits, &mut p);
    let mut teams = Vec::new();
    let mut services = Vec::new();
    let mut jobs = Vec::new();
    for (len, path) in [
        (raw.teams.len(), "teams"),
        (raw.services.len(), "services"),
        (raw.jobs.len(), "jobs"),
    ] {
        p.require(
            len <= MAX_ENTRIES,
            path,
            format!("has more than {MAX_ENTRIES} entries"),
        );
    }
    for (i, t) in raw.teams.iter().enumerate() {
        teams.push(team(t, &format!("teams[{i}]"), &mut p));
    }
    for (i, s) in raw.services.iter().enumerate() {
        services.push(service(s, &format!("services[{i}]"), &mut p));
    }
    for (i, j) in raw.jobs.iter().enumerate() {
        let path = format!("jobs[{i}]");
        let known = raw.teams.iter().any(|t| t.name == j.team);
        p.require(
            known,
            format!("{path}.team"),
            format!("there is no team with the name {:?}", j.team),
        );
        jobs.push(job(j, &path, &mut p));
    }
    check_unique("teams", teams.iter().map(|t| &t.name), &mut p);
    let workloads = services
        .iter()
        .map(|s| &s.name)
        .chain(jobs.iter().map(|j| &j.name));
    check_unique("services and jobs", workloads, &mut p);
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    services.sort_by(|a, b| a.name.cmp(&b.name));
    jobs.sort_by(|a, b| a.name.cmp(&b.name));
    p.into_result(Organisation {
        name,
        weights,
        limits,
        teams,
        services,
        jobs,
    })
}

fn name(text: &str, path: &str, p: &mut Problems) -> Name {
    if let Err(err) = check_name(text) {
        p.add(path, err.to_string());
    }
    Arc::from(text)
}

fn check_unique<'a>(path: &str, names: impl Iterator<Item = &'a Name>, p: &mut Problems) {
    let mut sorted: Vec<&Name> = names.collect();
    sorted.sort();
    for pair in sorted.windows(2) {
        p.require(
            pair[0] != pair[1],
            path,
            format!("the name {:?} is used more than once", pair[0]),
        );
    }
}

fn check_range(value: i64, min: i64, max: i64, path: String, p: &mut Problems) -> u64 {
    let ok = (min..=max).contains(&value);
    p.require(ok, path, format!("{value} is not from {min} to {max}"));
    value.clamp(min, max) as u64
}

fn weights(raw: &RawWeights, p: &mut Problems) -> Weights {
    let all = [
        (raw.tail_latency, "weights.tail_latency"),
        (raw.throughput, "weights.throughput"),
        (raw.evictions, "weights.evictions"),
    ];
    for (value, path) in all {
        let ok = value.is_finite() && (0.0..=1e6).contains(&value);
        p.require(ok, path, format!("{value} is not from 0 to 1000000"));
    }
    let sum = raw.tail_latency + raw.throughput + raw.evictions;
    p.require(sum > 0.0, "weights", "at least one weight must be above 0");
    Weights {
        tail_latency: raw.tail_latency / sum,
        throughput: raw.throughput / sum,
        evictions: raw.evictions / sum,
    }
}

fn limits(raw: &RawLimits, p: &mut Problems) -> OrgLimits {
    let at = |field: &str| format!("limits.{field}");
    OrgLimits {
        open_jobs: check_range(raw.open_jobs, 1, 1_000_000, at("open_jobs"), p) as u32,
        queued_requests: check_range(raw.queued_requests, 0, 10_000, at("queued_requests"), p)
            as u32,
        retry_percent: check_range(raw.retry_percent, 0, 100, at("retry_percent"), p) as u32,
        task_evictions: check_range(raw.task_evictions, 0, 1_000, at("task_evictions"), p) as u32,
        hold: check_range(raw.hold_seconds, 1, 86_400, at("hold_seconds"), p) * 1_000,
    }
}

fn size(raw: &RawSize, path: &str, p: &mut Problems) -> Size {
    let cores = raw.cores;
    let ok = cores.is_finite() && (0.0..=MAX_CORES).contains(&cores);
    p.require(
        ok,
        format!("{path}.cores"),
        format!("{cores} is not from 0 to {MAX_CORES}"),
    );
    let mib = check_range(raw.memory_mib, 0, MAX_MIB, format!("{path}.memory_mib"), p);
    let accels = check_range(
        raw.accelerators,
        0,
        MAX_ACCELS,
        format!("{path}.accelerators"),
        p,
    );
    let cpu = if ok {
        (cores * 1000.0).ceil() as u64
    } else {
        0
    };
    Size::new(cpu, mib << 20, accels as u32)
}

fn task_size(raw: &RawSize, path: &str, p: &mut Problems) -> Size {
    let size = size(raw, path, p);
    p.require(
        size.cpu > 0,
        format!("{path}.cores"),
        "a task needs more than 0",
    );
    p.require(
        size.memory > 0,
        format!("{path}.memory_mib"),
        "a task needs more than 0",
    );
    size
}

fn team(raw: &RawTeam, path: &str, p: &mut Problems) -> Team {
    Team {
        name: name(&raw.name, &format!("{path}.name"), p),
        quota: size(&raw.quota, &format!("{path}.quota"), p),
    }
}

fn service(raw: &RawService, path: &str, p: &mut Problems) -> Service {
    let at = |field: &str| format!("{path}.{field}");
    Service {
        name: name(&raw.name, &at("name"), p),
        replicas: check_range(raw.replicas, 0, 1_000_000, at("replicas"), p) as u32,
        size: task_size(&raw.size, &at("size"), p),
        slots: check_range(raw.slots, 1, 10_000, at("slots"), p) as u32,
        connections: check_range(raw.connections, 1, 100_000, at("connections"), p) as u32,
        deadline: check_range(raw.deadline_ms, 1, 600_000, at("deadline_ms"), p),
    }
}

fn job(raw: &RawJob, path: &str, p: &mut Problems) -> JobTemplate {
    let at = |field: &str| format!("{path}.{field}");
    JobTemplate {
        name: name(&raw.name, &at("name"), p),
        team: name(&raw.team, &at("team"), p),
        size: task_size(&raw.size, &at("size"), p),
        max_tasks: check_range(raw.max_tasks, 1, 100_000, at("max_tasks"), p) as u32,
        run_time: check_range(raw.run_ms, 0, MAX_RUN_MS, at("run_ms"), p),
        priority: raw.priority,
        checkpoint: raw.checkpoint,
        attempts: check_range(raw.attempts, 1, 100, at("attempts"), p) as u32,
    }
}
