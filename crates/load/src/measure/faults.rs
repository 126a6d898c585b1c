//! Verification of the system's guarantees under a schedule of kills, pauses, outages and a zone
//! that is cut off from the platform.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use gorsespur_core::{name::Name, owner::ShardRow};
use gorsespur_runtime::clock::wall_ms;
use gorsespur_services::{HttpTable, Table, post};
use gorsespur_stand::{PlatformFaults, WorkerFaults};
use gorsespur_wire::{codec::decode, paths::PEER_STATUS, peer::InstanceStatus};
use snafu::ResultExt;

use crate::{
    args::TrialArgs,
    clients::{JobLoad, RequestLoad, user_paths},
    error::{FileSnafu, LoadError},
    fleet::{Fleet, FleetSize},
    verify::verify,
};

const REQUESTS_PER_SECOND: f64 = 150.0;

const REQUEST_THREADS: usize = 24;

const JOBS_PER_SECOND: u64 = 3;

/// Minimum seconds of load; the schedule of faults takes about as long.
const MIN_SECONDS: u64 = 60;

/// Timeout for the jobs to finish after the load.
const FINISH_TIMEOUT: Duration = Duration::from_secs(90);

/// Timeout for a takeover or a configuration change to take effect.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Durations of the takeover, the handover and the configuration changes. `config_cut_ms` is for
/// a zone that is cut off from the platform.
#[derive(Debug, Default)]
struct FaultTimes {
    takeover_ms: u64,
    handover_ms: u64,
    config_ms: u64,
    config_cut_ms: u64,
}

/// Runs load and the schedule of faults, verifies the guarantees and prints the results.
pub(crate) fn run(args: &TrialArgs) -> Result<(), LoadError> {
    let seconds = args.seconds.max(MIN_SECONDS);
    let mut fleet = Fleet::start(args, &FleetSize::default())?;
    let duration = Duration::from_secs(seconds);
    let entries: Vec<SocketAddr> = fleet.plan.entries.iter().map(|e| e.caller_addr).collect();
    let requests = RequestLoad {
        entries: entries.clone(),
        paths: user_paths(),
        threads: REQUEST_THREADS,
        requests_per_second: REQUESTS_PER_SECOND,
        duration,
        seed: args.seed,
        non_idempotent_share: 0.4,
    };
    let job_load = JobLoad {
        entries,
        count: seconds * JOBS_PER_SECOND,
        duration: duration.mul_f64(0.9),
        seed: args.seed,
    };
    let (totals, jobs, times) = thread::scope(|scope| {
        let requests = scope.spawn(|| requests.run());
        let jobs = scope.spawn(|| job_load.submit());
        let times = run_schedule(&mut fleet, args);
        (requests.join(), jobs.join(), times)
    });
    let times = times?;
    let (Ok(totals), Ok(mut jobs)) = (totals, jobs) else {
        return Err(LoadError::GuaranteeViolated);
    };
    job_load.cancel_long(&jobs);
    job_load.wait_for_end(&mut jobs, FINISH_TIMEOUT);
    fleet.stop_instances();
    let ledger = fleet.read_ledgers()?;
    let verdict = verify(&ledger, wall_ms(), &jobs, &totals);
    drop(fleet);
    for finding in verdict.findings.iter().take(20) {
        println!("faults: {finding}");
    }
    let wrong = totals.wrong + verdict.ran_twice;
    println!(
        "faults: seed={} requests={} ok={} not_run={} unknown={} jobs={} refused_jobs={} finished={} wrong={wrong} lost={} doubled={} overcommitted={} false_not_run={} takeover_ms={} handover_ms={} config_ms={} config_cut_ms={} p50_ms={:.2} p99_ms={:.2}",
        args.seed,
        totals.requests,
        totals.ok,
        totals.not_run,
        totals.unknown,
        jobs.accepted.len(),
        jobs.refused,
        jobs.finished.len(),
        verdict.lost,
        verdict.doubled,
        verdict.overcommitted,
        verdict.false_not_run,
        times.takeover_ms,
        times.handover_ms,
        times.config_ms,
        times.config_cut_ms,
        totals.latencies.quantile_ms(0.5),
        totals.latencies.quantile_ms(0.99),
    );
    let violations =
        wrong + verdict.lost + verdict.doubled + verdict.overcommitted + verdict.false_not_run;
    if violations > 0 {
        return Err(LoadError::GuaranteeViolated);
    }
    Ok(())
}

fn sleep_s(seconds: u64) {
    thread::sleep(Duration::from_secs(seconds));
}

/// Injects the faults one after another, for about a minute.
fn run_schedule(fleet: &mut Fleet, args: &TrialArgs) -> Result<FaultTimes, LoadError> {
    let mut out = FaultTimes::default();
    let pick = args.seed as usize;
    sleep_s(3);
    out.config_ms = measure_config_ms(fleet, args, 1, &[])?;
    let sched = pick_owner(fleet, pick);
    println!("faults: kills {}", fleet.scheds[sched].name);
    out.takeover_ms = measure_move_ms(fleet, sched, |f| f.scheds[sched].kill());
    fleet.scheds[sched] = fleet.start_sched(sched)?;
    sleep_s(2);
    let sched = pick_owner(fleet, pick + 1);
    println!("faults: stops {}", fleet.scheds[sched].name);
    out.handover_ms = measure_move_ms(fleet, sched, |f| f.scheds[sched].terminate());
    fleet.scheds[sched].wait_for_exit(Duration::from_secs(5));
    fleet.scheds[sched] = fleet.start_sched(sched)?;
    sleep_s(1);
    let sched = pick_owner(fleet, pick + 2);
    println!(
        "faults: pauses {} across its lease",
        fleet.scheds[sched].name
    );
    fleet.scheds[sched].pause();
    sleep_s(8);
    fleet.scheds[sched].resume();
    println!("faults: loses answers of the table service");
    fleet.set_platform_faults(&PlatformFaults {
        lost_percent: 25,
        ..PlatformFaults::default()
    });
    sleep_s(4);
    println!("faults: table service and object store are down");
    fleet.set_platform_faults(&PlatformFaults {
        table_down: true,
        objects_down: true,
        ..PlatformFaults::default()
    });
    sleep_s(6);
    let zone = fleet.plan.zones[pick % fleet.plan.zones.len()].clone();
    println!("faults: {zone} is cut off from the platform");
    fleet.set_platform_faults(&PlatformFaults {
        cut: vec![zone.clone()],
        ..PlatformFaults::default()
    });
    sleep_s(2);
    out.config_cut_ms = measure_config_ms(fleet, args, 2, &[zone])?;
    sleep_s(4);
    fleet.set_platform_faults(&PlatformFaults::default());
    inject_worker_faults(fleet, pick)?;
    let entry = pick % fleet.entries.len();
    println!("faults: kills {}", fleet.entries[entry].name);
    fleet.entries[entry].kill();
    fleet.entries[entry] = fleet.start_entry(entry)?;
    Ok(out)
}

fn inject_worker_faults(fleet: &mut Fleet, pick: usize) -> Result<(), LoadError> {
    let n = fleet.workers.len();
    let (killed, paused, cut, failing, leaving) = (
        pick * 7 % n,
        (pick * 7 + 11) % n,
        (pick * 7 + 23) % n,
        (pick * 7 + 31) % n,
        (pick * 7 + 41) % n,
    );
    println!("faults: kills {}", fleet.workers[killed].name);
    fleet.kill_worker(killed)?;
    println!("faults: {} leaves", fleet.workers[leaving].name);
    fleet.mark_leaving(leaving);
    println!("faults: {} fails every task", fleet.workers[failing].name);
    fleet.set_worker_faults(
        failing,
        &WorkerFaults {
            fail_all: true,
            ..WorkerFaults::default()
        },
    );
    println!(
        "faults: pauses {} and cuts off {}",
        fleet.workers[paused].name, fleet.workers[cut].name
    );
    fleet.workers[paused].pause();
    fleet.set_worker_faults(
        cut,
        &WorkerFaults {
            cut: true,
            ..WorkerFaults::default()
        },
    );
    sleep_s(20);
    fleet.workers[paused].resume();
    fleet.set_worker_faults(cut, &WorkerFaults::default());
    fleet.set_worker_faults(failing, &WorkerFaults::default());
    Ok(())
}

/// Returns the index of a scheduler that owns a shard, selected by `pick`; 0 if no shard has an
/// owner.
fn pick_owner(fleet: &Fleet, pick: usize) -> usize {
    let owners = shard_owners(fleet);
    let Some(owner) = owners.get(pick % owners.len().max(1)) else {
        return 0;
    };
    let id = owner.0.clone();
    fleet
        .plan
        .scheds
        .iter()
        .position(|s| s.id == id)
        .unwrap_or(0)
}

/// Returns the owner, the epoch and the row key of each shard that has an owner.
fn shard_owners(fleet: &Fleet) -> Vec<(String, u64, Name)> {
    let table = HttpTable::new(fleet.plan.platform_addrs[0], Duration::from_millis(500));
    let rows = table
        .scan(&Name::from("shard/"), None, 100)
        .map(|r| r.0)
        .unwrap_or_default();
    let mut out = Vec::new();
    for row in rows {
        let Ok(value) = decode::<ShardRow>(&row.value) else {
            continue;
        };
        if let Some(owner) = value.owner {
            out.push((owner.to_string(), value.epoch, row.key));
        }
    }
    out
}

/// Runs `act` and returns the milliseconds until other schedulers own the shards of a scheduler.
fn measure_move_ms(fleet: &mut Fleet, sched: usize, action: impl FnOnce(&mut Fleet)) -> u64 {
    let id = fleet.plan.scheds[sched].id.clone();
    let owned: Vec<Name> = shard_owners(fleet)
        .into_iter()
        .filter(|o| o.0 == id)
        .map(|o| o.2)
        .collect();
    let began = Instant::now();
    action(fleet);
    while began.elapsed() < CHANGE_TIMEOUT {
        let current = shard_owners(fleet);
        let moved = |key: &Name| current.iter().any(|o| o.2 == *key && o.0 != id);
        if owned.iter().all(moved) {
            break;
        }
        thread::sleep(Duration::from_millis(25));
    }
    began.elapsed().as_millis() as u64
}

/// Applies a template change and returns the milliseconds until it is in force on all instances.
/// With `cut_zones`, only the instances of these zones count.
fn measure_config_ms(
    fleet: &Fleet,
    args: &TrialArgs,
    base_version: u64,
    cut_zones: &[String],
) -> Result<u64, LoadError> {
    let source = args.templates.join("weld.yaml");
    let text = std::fs::read_to_string(&source).context(FileSnafu { path: &source })?;
    let path = args.out.join(format!("weld-{base_version}.yaml"));
    let text = text.replace(
        "retry_percent: 10",
        &format!("retry_percent: {}", 10 + base_version),
    );
    write(&path, &text)?;
    // In a zone that is cut off, the command would wait for the platform.
    fleet.apply_template_avoiding(&path, base_version, cut_zones)?;
    let began = Instant::now();
    while began.elapsed() < CHANGE_TIMEOUT {
        let instances = fleet.plan.entries.iter().chain(&fleet.plan.scheds);
        let mut wanted = instances.filter(|i| cut_zones.is_empty() || cut_zones.contains(&i.zone));
        if wanted.all(|i| is_in_force(i.peer_addr, base_version + 1)) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(began.elapsed().as_millis() as u64)
}

fn write(path: &Path, text: &str) -> Result<(), LoadError> {
    std::fs::write(path, text).context(FileSnafu { path })
}

fn is_in_force(addr: SocketAddr, version: u64) -> bool {
    let status: Result<InstanceStatus, _> =
        post(addr, PEER_STATUS, &(), Duration::from_millis(800));
    status.is_ok_and(|s| {
        s.versions
            .iter()
            .any(|v| &*v.org == "weld" && v.version >= version)
    })
}
