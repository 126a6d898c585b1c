//! CPU time and memory of whole processes.

use std::{net::SocketAddr, thread, time::Duration};

use super::LinearFit;
use crate::{
    args::TrialArgs,
    clients::RequestLoad,
    error::LoadError,
    fleet::{Fleet, FleetSize},
};

/// Numbers of workers for which a scheduler is measured.
const WORKER_COUNTS: [usize; 4] = [8, 16, 32, 64];

/// Duration of each measurement.
const OBSERVATION: Duration = Duration::from_secs(8);

/// Requests per second for which entries are measured.
const REQUEST_RATES: [f64; 4] = [100.0, 200.0, 400.0, 800.0];

/// Measures the processes and returns the fits.
pub(crate) fn measure(args: &TrialArgs) -> Result<Vec<LinearFit>, LoadError> {
    let mut out = scheds(args)?;
    out.extend(entries(args)?);
    Ok(out)
}

/// Measures a scheduler, by the number of its workers, which run two replicas each.
fn scheds(args: &TrialArgs) -> Result<Vec<LinearFit>, LoadError> {
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    for workers in WORKER_COUNTS {
        let size = FleetSize {
            zones: 1,
            entries: 1,
            scheds: 1,
            workers,
            shards: 1,
        };
        let fleet = Fleet::start(args, &size)?;
        thread::sleep(Duration::from_secs(2));
        let before = fleet.scheds[0].usage().unwrap_or_default();
        thread::sleep(OBSERVATION);
        let after = fleet.scheds[0].usage().unwrap_or_default();
        let ms = (after.1 - before.1) as f64;
        cpu.push((workers as f64, ms * 1e3 / OBSERVATION.as_secs_f64()));
        memory.push((workers as f64, after.0 as f64 * 1024.0));
    }
    Ok(vec![
        LinearFit::fit("sched_cpu_by_workers", "us_per_s", cpu),
        LinearFit::fit("sched_memory_by_workers", "bytes", memory),
    ])
}

/// Measures three entries, by the requests per second.
fn entries(args: &TrialArgs) -> Result<Vec<LinearFit>, LoadError> {
    let size = FleetSize {
        zones: 1,
        entries: 3,
        scheds: 1,
        workers: 16,
        shards: 1,
    };
    let fleet = Fleet::start(args, &size)?;
    let addrs: Vec<SocketAddr> = fleet.plan.entries.iter().map(|e| e.caller_addr).collect();
    let used = |fleet: &Fleet| -> (u64, u64) {
        let all: Vec<(u64, u64)> = fleet.entries.iter().filter_map(|e| e.usage()).collect();
        (
            all.iter().map(|u| u.0).max().unwrap_or(0),
            all.iter().map(|u| u.1).sum(),
        )
    };
    let mut time = Vec::new();
    let mut memory = Vec::new();
    for rate in REQUEST_RATES {
        let load = RequestLoad {
            entries: addrs.clone(),
            paths: vec!["/s/weld/qualification/check".into()],
            threads: 32,
            requests_per_second: rate,
            duration: OBSERVATION,
            seed: args.seed,
            non_idempotent_share: 0.0,
        };
        let before = used(&fleet);
        let totals = load.run();
        let after = used(&fleet);
        let seconds = OBSERVATION.as_secs_f64();
        let rate = totals.requests as f64 / seconds;
        time.push((rate, (after.1 - before.1) as f64 * 1e3 / seconds));
        memory.push((rate, after.0 as f64 * 1024.0));
    }
    Ok(vec![
        LinearFit::fit("entry_cpu_by_rate", "us_per_s", time),
        LinearFit::fit("entry_memory_by_rate", "bytes", memory),
    ])
}
