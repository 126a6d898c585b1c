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
            message: format!("has no slope {name}"),
        })
    }
}

fn row(what: &str, sum: String, result: String, budget: String) -> Row {
    Row {
        quantity: what.to_owned(),
        formula: sum,
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
pub(crate) fn rows(figures: &[LinearFit]) -> Result<Vec<Row>, LoadError> {
    let s = Slopes { fits: figures };
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
    let scheds = schedulers(&s, workers, tasks, shards, &mut out)?;
    memory(&s, workers, tasks, shards, &mut out)?;
    membership(&s, scheds, &mut out)?;
    table_service(&s, shards, scheds, &mut out)?;
    config_changes(&s, scheds, &mut out)?;
    entries(&s, &mut out)?;
    failures(&s, workers, tasks, shards, &mut out)?;
    Ok(out)
}

/// Adds the rows about the schedulers of a zone. Returns how many of them their CPU budget needs.
fn schedulers(
    s: &Slopes<'_>,
    workers: f64,
    tasks: f64,
    shards: f64,
    out: &mut Vec<Row>,
) -> Result<f64, LoadError> {
    let each = s.get("sched_cpu_by_workers")?.slope / scale::MEASURED_EXCHANGES_PER_SECOND;
    let exchanges = workers * scale::EXCHANGES_PER_SECOND;
    out.push(row(
        "processor time of an exchange, network included",
        format!(
            "slope sched_cpu_by_workers / {}",
            scale::MEASURED_EXCHANGES_PER_SECOND
        ),
        format!("{each:.0} us"),
        String::new(),
    ));
    let us = exchanges * each;
    out.push(row(
        "exchanges of a zone",
        format!(
            "{workers:.0} x {} /s x {each:.0} us",
            scale::EXCHANGES_PER_SECOND
        ),
        format!("{us:.0} us/s"),
        String::new(),
    ));
    let starts = scale::STARTS_PER_SECOND / scale::ZONES;
    let place = s
        .get("placement_cpu_by_workers")?
        .value_at(scale::WORKERS_PER_SHARD);
    let journal = s.get("journal_cpu_by_transitions")?.slope;
    let busy = starts * (place + scale::RECORDS_PER_START * journal);
    out.push(row(
        "placing and journalling at the peak",
        format!(
            "{starts:.0} /s x ({place:.1} + {} x {journal:.2}) us",
            scale::RECORDS_PER_START
        ),
        format!("{busy:.0} us/s"),
        String::new(),
    ));
    let total = us + busy;
    let idle = s.get("sched_cpu_by_workers")?.intercept;
    let by_time = (total / (scale::NODE_CPU_US - idle)).ceil().max(shards);
    out.push(row(
        "schedulers a zone by processor time",
        format!(
            "({us:.0} + {busy:.0}) / ({} - {idle:.0} idle) us/s rounded up, at least one a shard",
            scale::NODE_CPU_US
        ),
        format!("{by_time:.0}"),
        verdict(idle + total / by_time, scale::NODE_CPU_US, "us/s each"),
    ));
    let per_worker = tasks / workers;
    let bytes = s.get("exchange_bytes_by_tasks")?.value_at(per_worker) + scale::HTTP_OVERHEAD_BYTES;
    let traffic = workers * scale::EXCHANGES_PER_SECOND * bytes;
    out.push(row(
        "bytes of an exchange",
        format!(
            "line at {per_worker:.1} tasks + {} assumed for HTTP",
            scale::HTTP_OVERHEAD_BYTES
        ),
        format!("{bytes:.0}"),
        verdict(
            bytes * scale::EXCHANGES_PER_SECOND,
            scale::NODE_TRAFFIC_BYTES,
            "B/s at a worker",
        ),
    ));
    out.push(row(
        "traffic of a scheduler with its workers",
        format!(
            "{workers:.0} x {} x {bytes:.0} / {by_time:.0}",
            scale::EXCHANGES_PER_SECOND
        ),
        format!("{:.0} B/s", traffic / by_time),
        verdict(traffic / by_time, scale::NODE_TRAFFIC_BYTES, "B/s"),
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
    Ok(by_time)
}

fn memory(
    s: &Slopes<'_>,
    workers: f64,
    tasks: f64,
    shards: f64,
    out: &mut Vec<Row>,
) -> Result<(), LoadError> {
    let worker = s.get("memory_worker")?.slope;
    let task = s.get("memory_task")?.slope;
    let org = s.get("memory_organisation")?.slope;
    let base = s.get("sched_memory_by_workers")?.intercept;
    let state = (workers * worker + tasks * task) / shards + scale::ORGANISATIONS * org;
    let both = base + 2.0 * state;
    out.push(row(
        "memory of a scheduler with one shard",
        format!(
            "{base:.0} base + 2 x (({workers:.0} x {worker:.0} + {tasks:.0} x {task:.0}) / {shards:.0} + {} x {org:.0}), doubled while a snapshot is made",
            scale::ORGANISATIONS
        ),
        format!("{:.1} MiB", both / 1024.0 / 1024.0),
        verdict(both, scale::NODE_MEMORY_BYTES, "B"),
    ));
    Ok(())
}

fn membership(s: &Slopes<'_>, scheds: f64, out: &mut Vec<Row>) -> Result<(), LoadError> {
    let zone = scheds + scale::ENTRIES_PER_ZONE;
    let beat = s
        .get("heartbeat_bytes_by_peers")?
        .value_at(zone * scale::ZONES)
        + scale::DATAGRAM_OVERHEAD_BYTES;
    let to = zone - 1.0 + scale::CONTACTS_PER_ZONE * (scale::ZONES - 1.0);
    let sent = scale::HEARTBEATS_PER_SECOND * to * beat;
    out.push(row(
        "instances of a zone and in all",
        format!(
            "{scheds:.0} + {}; x {}",
            scale::ENTRIES_PER_ZONE,
            scale::ZONES
        ),
        format!("{zone:.0}; {:.0}", zone * scale::ZONES),
        String::new(),
    ));
    out.push(row(
        "heartbeats sent by an instance",
        format!(
            "{} /s x ({zone:.0} - 1 + {} x {}) x {beat:.0} B",
            scale::HEARTBEATS_PER_SECOND,
            scale::CONTACTS_PER_ZONE,
            scale::ZONES - 1.0
        ),
        format!("{sent:.0} B/s"),
        verdict(sent, scale::NODE_TRAFFIC_BYTES, "B/s"),
    ));
    let us = s
        .get("heartbeat_cpu_by_peers")?
        .value_at(zone * scale::ZONES)
        * scale::HEARTBEATS_PER_SECOND
        * to;
    out.push(row(
        "processor time of heartbeats received",
        format!(
            "{} /s x {to:.0} x line at {:.0} peers",
            scale::HEARTBEATS_PER_SECOND,
            zone * scale::ZONES
        ),
        format!("{us:.0} us/s"),
        verdict(us, scale::NODE_CPU_US, "us/s"),
    ));
    Ok(())
}

fn table_service(
    s: &Slopes<'_>,
    shards: f64,
    scheds: f64,
    out: &mut Vec<Row>,
) -> Result<(), LoadError> {
    let all = shards * scale::ZONES;
    let commits = all / scale::COMMIT_INTERVAL_S;
    let others = 2.0 * scale::JOBS_PER_DAY / scale::SECONDS_PER_DAY
        + scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY;
    out.push(row(
        "writes at the table service at the peak",
        format!(
            "{all:.0} shards / {} s + 2 x {:.1} jobs/s + {:.2} changes/s",
            scale::COMMIT_INTERVAL_S,
            scale::JOBS_PER_DAY / scale::SECONDS_PER_DAY,
            scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY
        ),
        format!("{:.0} /s", commits + others),
        verdict(commits + others, scale::WRITES_PER_SECOND, "/s"),
    ));
    let records = scale::STARTS_PER_SECOND * scale::RECORDS_PER_START / commits;
    let bytes = s.get("journal_bytes_by_transitions")?.value_at(records);
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
    let reads = all * (scale::WATCHERS_PER_SHARD * scale::WATCH_READS_PER_SECOND + 1.0)
        + 4.0 * scale::ZONES;
    out.push(row(
        "reads at the table service",
        format!(
            "{all:.0} x ({} x {} + 1) + 4 x {} zones",
            scale::WATCHERS_PER_SHARD,
            scale::WATCH_READS_PER_SECOND,
            scale::ZONES
        ),
        format!("{reads:.0} /s"),
        verdict(reads, scale::READS_PER_SECOND, "/s"),
    ));
    let lists = (scheds + scale::ENTRIES_PER_ZONE) * scale::ZONES;
    out.push(row(
        "reads of the membership list",
        format!(
            "({scheds:.0} + {}) x {} zones, one a second each",
            scale::ENTRIES_PER_ZONE,
            scale::ZONES
        ),
        format!("{lists:.0} /s"),
        "not stated".to_owned(),
    ));
    Ok(())
}

fn config_changes(s: &Slopes<'_>, scheds: f64, out: &mut Vec<Row>) -> Result<(), LoadError> {
    let rate = scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY;
    let bytes = s.get("config_bytes_by_kinds")?.value_at(scale::JOB_KINDS);
    let us = s.get("config_cpu_by_kinds")?.value_at(scale::JOB_KINDS);
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

fn entries(s: &Slopes<'_>, out: &mut Vec<Row>) -> Result<(), LoadError> {
    let each = s.get("entry_cpu_by_rate")?;
    out.push(row(
        "requests a second that 1.9% of a core forwards",
        format!(
            "{} us/s / {:.0} us a request",
            scale::NODE_CPU_US,
            each.slope
        ),
        format!("{:.0} /s", scale::NODE_CPU_US / each.slope),
        "forwarding is not control".to_owned(),
    ));
    let memory = s.get("memory_target")?.slope;
    let base = s.get("entry_memory_by_rate")?.intercept;
    let targets = 140_000.0 / scale::ZONES;
    let sum = base + targets * memory;
    out.push(row(
        "memory of an entry that knows its zone's targets",
        format!("{base:.0} base + 140000 / {} x {memory:.0}", scale::ZONES),
        format!("{:.1} MiB", sum / 1024.0 / 1024.0),
        verdict(sum, scale::NODE_MEMORY_BYTES, "B"),
    ));
    let all = base + 140_000.0 * memory;
    out.push(row(
        "memory of an entry that knows every zone's targets, as now",
        format!("{base:.0} base + 140000 x {memory:.0}"),
        format!("{:.1} MiB", all / 1024.0 / 1024.0),
        verdict(all, scale::NODE_MEMORY_BYTES, "B"),
    ));
    Ok(())
}

/// Adds the rows about the failure of instances, racks and zones.
fn failures(
    s: &Slopes<'_>,
    workers: f64,
    tasks: f64,
    shards: f64,
    out: &mut Vec<Row>,
) -> Result<(), LoadError> {
    let moves = (scale::FAILURES_PER_DAY + scale::REPLACEMENTS_PER_DAY) / scale::SECONDS_PER_DAY;
    let snapshot = tasks / shards * s.get("memory_task")?.slope / 2.0;
    out.push(row(
        "ordinary day: takeovers, if every instance lost were a scheduler",
        format!(
            "({} + {}) / {} s",
            scale::FAILURES_PER_DAY,
            scale::REPLACEMENTS_PER_DAY,
            scale::SECONDS_PER_DAY
        ),
        format!("{moves:.3} /s, each a write, a few reads and about {snapshot:.0} B of snapshot"),
        verdict(moves, scale::WRITES_PER_SECOND, "writes/s"),
    ));
    let each = tasks / workers;
    let place = s
        .get("placement_cpu_by_workers")?
        .value_at(scale::WORKERS_PER_SHARD);
    let lost = scale::WORKERS_PER_RACK * each;
    out.push(row(
        "a lost rack",
        format!(
            "{} x {each:.1} tasks; two records each; x {place:.1} us",
            scale::WORKERS_PER_RACK
        ),
        format!(
            "{lost:.0} tasks, {:.1} ms of placing, one journal write",
            lost * place / 1_000.0
        ),
        "after the lease and margin, 16.2 s".to_owned(),
    ));
    out.push(row(
        "a lost zone",
        format!("{workers:.0} workers, {tasks:.0} tasks"),
        "its tasks wait; the other zones don't take them over".to_owned(),
        "see below".to_owned(),
    ));
    let rows = scale::SNAPSHOT_ROWS * scale::COMMIT_INTERVAL_S;
    out.push(row(
        "time between two snapshots of a busy shard",
        format!(
            "{} rows x {} s",
            scale::SNAPSHOT_ROWS,
            scale::COMMIT_INTERVAL_S
        ),
        format!("{rows:.0} s"),
        String::new(),
    ));
    Ok(())
}
