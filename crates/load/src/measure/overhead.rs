//! Latency that an entry adds to a direct call to a target.
//!
//! The entries' saturation throughput is measured first. Then callers send each request both
//! directly and through an entry, in alternating order. The rate of all these calls together is
//! half of the saturation throughput.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use gorsespur_runtime::client::Call;
use gorsespur_wire::fields::REQUEST_ID;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    args::TrialArgs,
    clients::LatencyHistogram,
    error::LoadError,
    fleet::{Fleet, FleetSize},
};

/// Threads that measure the saturation throughput.
const PROBE_THREADS: usize = 32;

/// Duration of the saturation measurement.
const PROBE_DURATION: Duration = Duration::from_secs(3);

/// Threads that measure latencies.
const LOAD_THREADS: usize = 32;

const REQUEST_PATH: &str = "/s/weld/qualification/check";

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses of the entries, and of the targets for direct calls.
#[derive(Debug, Clone)]
struct Addresses {
    entries: Vec<SocketAddr>,
    targets: Vec<SocketAddr>,
}

/// Latencies of direct calls and of calls through an entry.
struct PairedLatencies {
    direct: LatencyHistogram,
    via_entry: LatencyHistogram,
    failed: u64,
}

/// Measures and prints the latencies and the CPU time of the entries.
pub(crate) fn run(args: &TrialArgs) -> Result<(), LoadError> {
    let size = FleetSize {
        zones: 1,
        entries: 3,
        scheds: 1,
        workers: 16,
        shards: 1,
    };
    let fleet = Fleet::start(args, &size)?;
    let addresses = Addresses {
        entries: fleet.plan.entries.iter().map(|e| e.caller_addr).collect(),
        targets: fleet.plan.workers.iter().map(|w| w.target_addr).collect(),
    };
    let max_rate = measure_saturation(&addresses, args.seed);
    let rate = max_rate / 2.0;
    let before = entry_cpu_ms(&fleet);
    let began = Instant::now();
    let pair = measure(
        &addresses,
        rate / 2.0,
        Duration::from_secs(args.seconds),
        args.seed,
    );
    let seconds = began.elapsed().as_secs_f64();
    let cpu_ms = (entry_cpu_ms(&fleet) - before) as f64;
    let (d50, d99) = (pair.direct.quantile_ms(0.5), pair.direct.quantile_ms(0.99));
    let (v50, v99) = (
        pair.via_entry.quantile_ms(0.5),
        pair.via_entry.quantile_ms(0.99),
    );
    println!(
        "overhead: max_rps={max_rate:.0} rate_rps={rate:.0} requests={} failed={} direct_p50_ms={d50:.3} via_p50_ms={v50:.3} added_p50_ms={:.3} direct_p99_ms={d99:.3} via_p99_ms={v99:.3} added_p99_ms={:.3} entry_cpu_us_per_request={:.0} entry_cores={:.3}",
        pair.via_entry.len(),
        pair.failed,
        v50 - d50,
        v99 - d99,
        cpu_ms * 1000.0 / pair.via_entry.len().max(1) as f64,
        cpu_ms / 1000.0 / seconds,
    );
    Ok(())
}

fn entry_cpu_ms(fleet: &Fleet) -> u64 {
    let used = fleet.entries.iter().filter_map(|e| e.usage());
    used.map(|u| u.1).sum()
}

fn send_get(addr: SocketAddr, id: &str) -> bool {
    let call = Call::new("GET", addr, REQUEST_PATH)
        .header(REQUEST_ID, id)
        .header("x-repeatable", "yes");
    call.timeout(CALL_TIMEOUT)
        .send()
        .is_ok_and(|a| a.status == 200)
}

/// Returns the requests per second that closed-loop callers reach.
fn measure_saturation(addresses: &Addresses, seed: u64) -> f64 {
    let mut count = 0;
    thread::scope(|scope| {
        let mut threads = Vec::new();
        for t in 0..PROBE_THREADS {
            threads.push(scope.spawn(move || {
                let end = Instant::now() + PROBE_DURATION;
                let mut n = 0;
                while Instant::now() < end {
                    let entry = addresses.entries[(t + n) % addresses.entries.len()];
                    send_get(entry, &format!("p{seed}-{t}-{n}"));
                    n += 1;
                }
                n
            }));
        }
        for t in threads {
            count += t.join().unwrap_or(0);
        }
    });
    count as f64 / PROBE_DURATION.as_secs_f64()
}

fn measure(addresses: &Addresses, rate: f64, duration: Duration, seed: u64) -> PairedLatencies {
    let mut all = PairedLatencies {
        direct: LatencyHistogram::new(),
        via_entry: LatencyHistogram::new(),
        failed: 0,
    };
    thread::scope(|scope| {
        let mut threads = Vec::new();
        for t in 0..LOAD_THREADS {
            threads.push(scope.spawn(move || measure_thread(addresses, rate, duration, seed, t)));
        }
        for t in threads {
            let Ok(part) = t.join() else { continue };
            all.direct.merge(&part.direct);
            all.via_entry.merge(&part.via_entry);
            all.failed += part.failed;
        }
    });
    all
}

fn measure_thread(
    addresses: &Addresses,
    rate: f64,
    duration: Duration,
    seed: u64,
    t: usize,
) -> PairedLatencies {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + t as u64);
    let mut pair = PairedLatencies {
        direct: LatencyHistogram::new(),
        via_entry: LatencyHistogram::new(),
        failed: 0,
    };
    let start = Instant::now();
    let mut due_s = 0.0;
    let mut n = 0;
    loop {
        due_s += -rng.random_range(1e-9..1.0f64).ln() * LOAD_THREADS as f64 / rate;
        if due_s > duration.as_secs_f64() {
            return pair;
        }
        let due = start + Duration::from_secs_f64(due_s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        n += 1;
        let id = format!("m{seed}-{t}-{n}");
        let target = addresses.targets[rng.random_range(0..addresses.targets.len())];
        let entry = addresses.entries[rng.random_range(0..addresses.entries.len())];
        let order = if n % 2 == 0 {
            [false, true]
        } else {
            [true, false]
        };
        for direct in order {
            let addr = if direct { target } else { entry };
            let began = Instant::now();
            if !send_get(addr, &id) {
                pair.failed += 1;
                continue;
            }
            let us = began.elapsed().as_micros() as u64;
            let times = if direct {
                &mut pair.direct
            } else {
                &mut pair.via_entry
            };
            times.record(us);
        }
    }
}
