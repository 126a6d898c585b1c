//! Trial run of the whole system with stand-ins for the platform and the workers, during which
//! one scheduler and one worker are killed.

use std::{net::SocketAddr, thread, time::Duration};

use gorsespur_runtime::clock::wall_ms;

use crate::{
    args::TrialArgs,
    clients::{JobLoad, RequestLoad, user_paths},
    error::LoadError,
    fleet::{Fleet, FleetSize},
    verify::verify,
};

const REQUESTS_PER_SECOND: f64 = 200.0;

const REQUEST_THREADS: usize = 24;

const JOBS_PER_SECOND: u64 = 4;

/// Timeout for the jobs to finish after the load.
const FINISH_TIMEOUT: Duration = Duration::from_secs(45);

/// Memory budget of an instance.
const INSTANCE_MEMORY_KIB: u64 = 32 << 10;

/// Runs a trial, verifies the guarantees and prints the results.
pub(crate) fn run(args: &TrialArgs) -> Result<(), LoadError> {
    if args.seconds == 0 || args.seconds > 3_600 {
        return Err(LoadError::Usage {
            flag: "--seconds",
            message: "must be from 1 to 3600".to_owned(),
        });
    }
    let mut fleet = Fleet::start(args, &FleetSize::default())?;
    println!(
        "trial: fleet of {} processes is ready",
        fleet.plan.workers.len() + 19
    );
    let duration = Duration::from_secs(args.seconds);
    let entries: Vec<SocketAddr> = fleet.plan.entries.iter().map(|e| e.caller_addr).collect();
    let requests = RequestLoad {
        entries: entries.clone(),
        paths: user_paths(),
        threads: REQUEST_THREADS,
        requests_per_second: REQUESTS_PER_SECOND,
        duration,
        seed: args.seed,
        non_idempotent_share: 0.3,
    };
    let job_load = JobLoad {
        entries,
        count: args.seconds * JOBS_PER_SECOND,
        duration: duration.mul_f64(0.8),
        seed: args.seed,
    };
    let (totals, mut jobs) = thread::scope(|scope| {
        let requests = scope.spawn(|| requests.run());
        let jobs = scope.spawn(|| job_load.submit());
        thread::sleep(duration.mul_f64(0.4));
        let sched = args.seed as usize % fleet.scheds.len();
        println!("trial: kills {}", fleet.scheds[sched].name);
        fleet.scheds[sched].kill();
        thread::sleep(duration.mul_f64(0.15));
        let worker = args.seed as usize * 7 % fleet.workers.len();
        println!("trial: kills {}", fleet.workers[worker].name);
        let killed = fleet.kill_worker(worker);
        (requests.join(), jobs.join().map(|j| killed.map(|()| j)))
    });
    let (Ok(totals), Ok(Ok(jobs))) = (totals, jobs.as_mut().map(|j| j.as_mut())) else {
        return Err(LoadError::GuaranteeViolated);
    };
    job_load.cancel_long(jobs);
    job_load.wait_for_end(jobs, FINISH_TIMEOUT);
    let memory = check_memory(&fleet);
    let killed = fleet.scheds[args.seed as usize % fleet.scheds.len()]
        .name
        .clone();
    let mut unclean = fleet.stop_instances();
    unclean.retain(|name| *name != killed);
    let ledger = fleet.read_ledgers()?;
    let verdict = verify(&ledger, wall_ms(), jobs, &totals);
    drop(fleet);
    for finding in verdict.findings.iter().take(20) {
        println!("trial: {finding}");
    }
    for name in &unclean {
        println!("trial: {name} did not stop cleanly");
    }
    println!(
        "trial: not_run={} unknown={} ran_twice={} false_not_run={} refused_jobs={} memory_kib={memory}",
        totals.not_run, totals.unknown, verdict.ran_twice, verdict.false_not_run, jobs.refused
    );
    let wrong = totals.wrong + verdict.ran_twice + verdict.false_not_run;
    println!(
        "trial: requests={} ok={} wrong={wrong} jobs={} finished={} lost={} doubled={} overcommitted={} p50_ms={:.2} p99_ms={:.2}",
        totals.requests,
        totals.ok,
        jobs.accepted.len(),
        jobs.finished.len(),
        verdict.lost,
        verdict.doubled,
        verdict.overcommitted,
        totals.latencies.quantile_ms(0.5),
        totals.latencies.quantile_ms(0.99),
    );
    let violations = wrong + verdict.lost + verdict.doubled + verdict.overcommitted;
    if violations > 0 || !unclean.is_empty() {
        return Err(LoadError::GuaranteeViolated);
    }
    Ok(())
}

/// Returns the largest resident memory of an entry or a scheduler in KiB, and prints a line for
/// each one over the budget.
fn check_memory(fleet: &Fleet) -> u64 {
    let mut max_kib = 0;
    for p in fleet.entries.iter().chain(&fleet.scheds) {
        let Some((rss, _)) = p.usage() else { continue };
        if rss > INSTANCE_MEMORY_KIB {
            println!(
                "trial: {} uses {rss} KiB, over {INSTANCE_MEMORY_KIB}",
                p.name
            );
        }
        max_kib = max_kib.max(rss);
    }
    max_kib
}
