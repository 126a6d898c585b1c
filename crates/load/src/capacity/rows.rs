//! Rows of the capacity table.

use super::scale;
use crate::{error::LoadError, slopes::LinearFit};

/// A quantity, the formula and result of its calculation, and its budget.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub quantity: String,
    pub formula: String,
    pub result: String,
    pub budget: String,
}

/// Measured slopes, looked up by name.
struct Slopes<'a> {
    fits: &'a [LinearFit],
}

impl Slopes<'_> {
    fn get(&self, name: &'static str) -> Result<&LinearFit, LoadError> {
        let found = self.fits.iter().find(|f| f.name == name);
        found.ok_or(LoadError::Usage {
            flag: "--from",
            message: format!("slope {name} is missing"),
        })
    }
}

fn row(quantity: &str, formula: String, result: String, budget: String) -> Row {
    Row {
        quantity: quantity.to_owned(),
        formula,
        result,
        budget,
    }
}

fn verdict(value: f64, budget: f64, unit: &str) -> String {
    let share = value / budget * 100.0;
    let word = if value <= budget {
        "within"
    } else {
        "**broken**"
    };
    format!("{budget:.0} {unit}: {word}, {share:.0}%")
}

/// Calculates all rows. Fails if a slope is missing.
pub(crate) fn rows(fits: &[LinearFit]) -> Result<Vec<Row>, LoadError> {
    let slopes = Slopes { fits };
    let workers = scale::WORKERS / scale::ZONES;
    let tasks = scale::TASKS / scale::ZONES;
    let shards = (workers / scale::WORKERS_PER_SHARD).ceil();
    let mut out = vec![
        row(
            "workers a zone",
            format!("{} / {}", scale::WORKERS, scale::ZONES),
            format!("{workers:.0}"),
            String::new(),
        ),
        row(
            "tasks a zone",
            format!("{} / {}", scale::TASKS, scale::ZONES),
            format!("{tasks:.0}"),
            String::new(),
        ),
        row(
            "shards a zone",
            format!("{workers:.0} / {} rounded up", scale::WORKERS_PER_SHARD),
            format!("{shards:.0}"),
            String::new(),
        ),
    ];
    let scheds = schedulers(&slopes, workers, tasks, shards, &mut out)?;
    memory(&slopes, workers, tasks, shards, &mut out)?;
    membership(&slopes, scheds, &mut out)?;
    table_service(&slopes, shards, scheds, &mut out)?;
    config_changes(&slopes, scheds, &mut out)?;
    entries(&slopes, &mut out)?;
    failures(&slopes, workers, tasks, shards, &mut out)?;
    Ok(out)
}

/// Adds the rows about the schedulers of a zone. Returns how many of them their CPU budget needs.
fn schedulers(
    slopes: &Slopes<'_>,
    workers: f64,
    tasks: f64,
    shards: f64,
    out: &mut Vec<Row>,
) -> Result<f64, LoadError> {
    let exchange_us =
        slopes.get("sched_cpu_by_workers")?.slope / scale::MEASURED_EXCHANGES_PER_SECOND;
    let exchanges = workers * scale::EXCHANGES_PER_SECOND;
    out.push(row(
        "processor time of an exchange, network included",
        format!(
            "slope sched_cpu_by_workers / {}",
            scale::MEASURED_EXCHANGES_PER_SECOND
        ),
        format!("{exchange_us:.0} us"),
        String::new(),
    ));
    let exchanges_us = exchanges * exchange_us;
    out.push(row(
        "exchanges of a zone",
        format!(
            "{workers:.0} x {} /s x {exchange_us:.0} us",
            scale::EXCHANGES_PER_SECOND
        ),
        format!("{exchanges_us:.0} us/s"),
        String::new(),
    ));
    let starts = scale::STARTS_PER_SECOND / scale::ZONES;
    let placement_us = slopes
        .get("placement_cpu_by_workers")?
        .value_at(scale::WORKERS_PER_SHARD);
    let record_us = slopes.get("journal_cpu_by_transitions")?.slope;
    let starts_us = starts * (placement_us + scale::RECORDS_PER_START * record_us);
    out.push(row(
        "placing and journalling at the peak",
        format!(
            "{starts:.0} /s x ({placement_us:.1} + {} x {record_us:.2}) us",
            scale::RECORDS_PER_START
        ),
        format!("{starts_us:.0} us/s"),
        String::new(),
    ));
    let total_us = exchanges_us + starts_us;
    let idle_us = slopes.get("sched_cpu_by_workers")?.intercept;
    let schedulers = (total_us / (scale::NODE_CPU_US - idle_us))
        .ceil()
        .max(shards);
    out.push(row(
        "schedulers a zone by processor time",
        format!(
            "({exchanges_us:.0} + {starts_us:.0}) / ({} - {idle_us:.0} idle) us/s rounded up, at least one a shard",
            scale::NODE_CPU_US
        ),
        format!("{schedulers:.0}"),
        verdict(idle_us + total_us / schedulers, scale::NODE_CPU_US, "us/s each"),
    ));
    let per_worker = tasks / workers;
    let exchange_bytes =
        slopes.get("exchange_bytes_by_tasks")?.value_at(per_worker) + scale::HTTP_OVERHEAD_BYTES;
    let traffic = workers * scale::EXCHANGES_PER_SECOND * exchange_bytes;
    out.push(row(
        "bytes of an exchange",
        format!(
            "line at {per_worker:.1} tasks + {} assumed for HTTP",
            scale::HTTP_OVERHEAD_BYTES
        ),
        format!("{exchange_bytes:.0}"),
        verdict(
            exchange_bytes * scale::EXCHANGES_PER_SECOND,
            scale::NODE_TRAFFIC_BYTES,
            "B/s at a worker",
        ),
    ));
    out.push(row(
        "traffic of a scheduler with its workers",
        format!(
            "{workers:.0} x {} x {exchange_bytes:.0} / {schedulers:.0}",
            scale::EXCHANGES_PER_SECOND
        ),
        format!("{:.0} B/s", traffic / schedulers),
        verdict(traffic / schedulers, scale::NODE_TRAFFIC_BYTES, "B/s"),
    ));
    out.push(row(
        "schedulers a zone by traffic",
        format!(
            "{traffic:.0} B/s / {} rounded up",
            scale::NODE_TRAFFIC_BYTES
        ),
        format!("{:.0}", (traffic / scale::NODE_TRAFFIC_BYTES).ceil()),
        String::new(),
    ));
    Ok(schedulers)
}

fn memory(
    slopes: &Slopes<'_>,
    workers: f64,
    tasks: f64,
    shards: f64,
    out: &mut Vec<Row>,
) -> Result<(), LoadError> {
    let worker_bytes = slopes.get("memory_worker")?.slope;
    let task_bytes = slopes.get("memory_task")?.slope;
    let org_bytes = slopes.get("memory_organisation")?.slope;
    let base_bytes = slopes.get("sched_memory_by_workers")?.intercept;
    let state_bytes =
        (workers * worker_bytes + tasks * task_bytes) / shards + scale::ORGANISATIONS * org_bytes;
    let total_bytes = base_bytes + 2.0 * state_bytes;
    out.push(row(
        "memory of a scheduler with one shard",
        format!(
            "{base_bytes:.0} base + 2 x (({workers:.0} x {worker_bytes:.0} + {tasks:.0} x {task_bytes:.0}) / {shards:.0} + {} x {org_bytes:.0}), doubled while a snapshot is made",
            scale::ORGANISATIONS
        ),
        format!("{:.1} MiB", total_bytes / 1024.0 / 1024.0),
        verdict(total_bytes, scale::NODE_MEMORY_BYTES, "B"),
    ));
    Ok(())
}

fn membership(slopes: &Slopes<'_>, scheds: f64, out: &mut Vec<Row>) -> Result<(), LoadError> {
    let zone_instances = scheds + scale::ENTRIES_PER_ZONE;
    let heartbeat_bytes = slopes
        .get("heartbeat_bytes_by_peers")?
        .value_at(zone_instances * scale::ZONES)
        + scale::DATAGRAM_OVERHEAD_BYTES;
    let peers = zone_instances - 1.0 + scale::CONTACTS_PER_ZONE * (scale::ZONES - 1.0);
    let sent = scale::HEARTBEATS_PER_SECOND * peers * heartbeat_bytes;
    out.push(row(
        "instances of a zone and in all",
        format!(
            "{scheds:.0} + {}; x {}",
            scale::ENTRIES_PER_ZONE,
            scale::ZONES
        ),
        format!("{zone_instances:.0}; {:.0}", zone_instances * scale::ZONES),
        String::new(),
    ));
    out.push(row(
        "heartbeats sent by an instance",
        format!(
            "{} /s x ({zone_instances:.0} - 1 + {} x {}) x {heartbeat_bytes:.0} B",
            scale::HEARTBEATS_PER_SECOND,
            scale::CONTACTS_PER_ZONE,
            scale::ZONES - 1.0
        ),
        format!("{sent:.0} B/s"),
        verdict(sent, scale::NODE_TRAFFIC_BYTES, "B/s"),
    ));
    let us = slopes
        .get("heartbeat_cpu_by_peers")?
        .value_at(zone_instances * scale::ZONES)
        * scale::HEARTBEATS_PER_SECOND
        * peers;
    out.push(row(
        "processor time of heartbeats received",
        format!(
            "{} /s x {peers:.0} x line at {:.0} peers",
            scale::HEARTBEATS_PER_SECOND,
            zone_instances * scale::ZONES
        ),
        format!("{us:.0} us/s"),
        verdict(us, scale::NODE_CPU_US, "us/s"),
    ));
    Ok(())
}

fn table_service(
    slopes: &Slopes<'_>,
    shards: f64,
    scheds: f64,
    out: &mut Vec<Row>,
) -> Result<(), LoadError> {
    let all_shards = shards * scale::ZONES;
    let commits = all_shards / scale::COMMIT_INTERVAL_S;
    let other_writes = 2.0 * scale::JOBS_PER_DAY / scale::SECONDS_PER_DAY
        + scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY;
    out.push(row(
        "writes at the table service at the peak",
        format!(
            "{all_shards:.0} shards / {} s + 2 x {:.1} jobs/s + {:.2} changes/s",
            scale::COMMIT_INTERVAL_S,
            scale::JOBS_PER_DAY / scale::SECONDS_PER_DAY,
            scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY
        ),
        format!("{:.0} /s", commits + other_writes),
        verdict(commits + other_writes, scale::WRITES_PER_SECOND, "/s"),
    ));
    let records = scale::STARTS_PER_SECOND * scale::RECORDS_PER_START / commits;
    let bytes = slopes
        .get("journal_bytes_by_transitions")?
        .value_at(records);
    out.push(row(
        "transitions and bytes of a write",
        format!(
            "{} x {} / {commits:.0} /s",
            scale::STARTS_PER_SECOND,
            scale::RECORDS_PER_START
        ),
        format!("{records:.0}; {bytes:.0} B"),
        String::new(),
    ));
    // Watchers read the row of each shard, the shard's inbox is read once per second, and each zone
    // reads the head of the configuration four times per second.
    let reads = all_shards * (scale::WATCHERS_PER_SHARD * scale::WATCH_READS_PER_SECOND + 1.0)
        + 4.0 * scale::ZONES;
    out.push(row(
        "reads at the table service",
        format!(
            "{all_shards:.0} x ({} x {} + 1) + 4 x {} zones",
            scale::WATCHERS_PER_SHARD,
            scale::WATCH_READS_PER_SECOND,
            scale::ZONES
        ),
        format!("{reads:.0} /s"),
        verdict(reads, scale::READS_PER_SECOND, "/s"),
    ));
    let list_reads = (scheds + scale::ENTRIES_PER_ZONE) * scale::ZONES;
    out.push(row(
        "reads of the membership list",
        format!(
            "({scheds:.0} + {}) x {} zones, one a second each",
            scale::ENTRIES_PER_ZONE,
            scale::ZONES
        ),
        format!("{list_reads:.0} /s"),
        "not stated".to_owned(),
    ));
    Ok(())
}

fn config_changes(slopes: &Slopes<'_>, scheds: f64, out: &mut Vec<Row>) -> Result<(), LoadError> {
    let rate = scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY;
    let bytes = slopes
        .get("config_bytes_by_kinds")?
        .value_at(scale::JOB_KINDS);
    let us = slopes
        .get("config_cpu_by_kinds")?
        .value_at(scale::JOB_KINDS);
    let sent = rate * bytes * (scheds + scale::ENTRIES_PER_ZONE - 1.0);
    out.push(row(
        "changes handed on by the instance that polls",
        format!(
            "{rate:.2} /s x {bytes:.0} B x ({scheds:.0} + {} - 1) peers",
            scale::ENTRIES_PER_ZONE
        ),
        format!("{sent:.0} B/s"),
        verdict(sent, scale::NODE_TRAFFIC_BYTES, "B/s"),
    ));
    out.push(row(
        "processor time of changes",
        format!("{rate:.2} /s x {us:.1} us"),
        format!("{:.1} us/s", rate * us),
        verdict(rate * us, scale::NODE_CPU_US, "us/s"),
    ));
    let read = rate * bytes * 2.0;
    out.push(row(
        "bytes read by the instance that polls: the templates that the log names",
        format!("{rate:.2} /s x {bytes:.0} B x 2 forms"),
        format!("{read:.0} B/s"),
        verdict(read, scale::NODE_TRAFFIC_BYTES, "B/s"),
    ));
    Ok(())
}

fn entries(slopes: &Slopes<'_>, out: &mut Vec<Row>) -> Result<(), LoadError> {
    let fit = slopes.get("entry_cpu_by_rate")?;
    out.push(row(
        "requests a second that 1.9% of a core forwards",
        format!(
            "{} us/s / {:.0} us a request",
            scale::NODE_CPU_US,
            fit.slope
        ),
        format!("{:.0} /s", scale::NODE_CPU_US / fit.slope),
        "forwarding is not control".to_owned(),
    ));
    let target_bytes = slopes.get("memory_target")?.slope;
    let base_bytes = slopes.get("entry_memory_by_rate")?.intercept;
    let targets = 140_000.0 / scale::ZONES;
    let zone_bytes = base_bytes + targets * target_bytes;
    out.push(row(
        "memory of an entry that knows its zone's targets",
        format!(
            "{base_bytes:.0} base + 140000 / {} x {target_bytes:.0}",
            scale::ZONES
        ),
        format!("{:.1} MiB", zone_bytes / 1024.0 / 1024.0),
        verdict(zone_bytes, scale::NODE_MEMORY_BYTES, "B"),
    ));
    let total_bytes = base_bytes + 140_000.0 * target_bytes;
    out.push(row(
        "memory of an entry that knows every zone's targets, as now",
        format!("{base_bytes:.0} base + 140000 x {target_bytes:.0}"),
        format!("{:.1} MiB", total_bytes / 1024.0 / 1024.0),
        verdict(total_bytes, scale::NODE_MEMORY_BYTES, "B"),
    ));
    Ok(())
}

/// Adds the rows about the failure of instances, racks and zones.
fn failures(
    slopes: &Slopes<'_>,
    workers: f64,
    tasks: f64,
    shards: f64,
    out: &mut Vec<Row>,
) -> Result<(), LoadError> {
    let takeovers =
        (scale::FAILURES_PER_DAY + scale::REPLACEMENTS_PER_DAY) / scale::SECONDS_PER_DAY;
    let snapshot_bytes = tasks / shards * slopes.get("memory_task")?.slope / 2.0;
    out.push(row(
        "ordinary day: takeovers, if every instance lost were a scheduler",
        format!(
            "({} + {}) / {} s",
            scale::FAILURES_PER_DAY,
            scale::REPLACEMENTS_PER_DAY,
            scale::SECONDS_PER_DAY
        ),
        format!("{takeovers:.3} /s, each a write, a few reads and about {snapshot_bytes:.0} B of snapshot"),
        verdict(takeovers, scale::WRITES_PER_SECOND, "writes/s"),
    ));
    let tasks_per_worker = tasks / workers;
    let placement_us = slopes
        .get("placement_cpu_by_workers")?
        .value_at(scale::WORKERS_PER_SHARD);
    let lost_tasks = scale::WORKERS_PER_RACK * tasks_per_worker;
    out.push(row(
        "a lost rack",
        format!(
            "{} x {tasks_per_worker:.1} tasks; two records each; x {placement_us:.1} us",
            scale::WORKERS_PER_RACK
        ),
        format!(
            "{lost_tasks:.0} tasks, {:.1} ms of placing, one journal write",
            lost_tasks * placement_us / 1_000.0
        ),
        "after the lease and margin, 16.2 s".to_owned(),
    ));
    out.push(row(
        "a lost zone",
        format!("{workers:.0} workers, {tasks:.0} tasks"),
        "its tasks wait; the other zones don't take them over".to_owned(),
        "see below".to_owned(),
    ));
    let snapshot_s = scale::SNAPSHOT_ROWS * scale::COMMIT_INTERVAL_S;
    out.push(row(
        "time between two snapshots of a busy shard",
        format!(
            "{} rows x {} s",
            scale::SNAPSHOT_ROWS,
            scale::COMMIT_INTERVAL_S
        ),
        format!("{snapshot_s:.0} s"),
        String::new(),
    ));
    Ok(())
}
