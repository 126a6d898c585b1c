//! CPU time and sizes of messages, measured within this process.

use std::{hint::black_box, time::Instant};

use gorsespur_core::{
    config::{ConfigEntry, Configs},
    member::{MemberSettings, Peers},
    name::Name,
    placement::PlacementPolicy,
    shard::{Action, Event, ShardScheduler, WorkerAnswer, WorkerRequest},
    size::Size,
    template::Organisation,
};
use gorsespur_wire::codec::{decode, encode};

use super::{LinearFit, memory::heartbeat};
use crate::measure::{organisation, starts};

/// Calls in each of the rounds of a measurement.
const CALLS_PER_ROUND: u32 = 200;

/// Returns the time of one call in microseconds: the minimum of the means of five rounds.
fn min_call_us(mut call: impl FnMut()) -> f64 {
    let mut min_us = f64::INFINITY;
    for _ in 0..5 {
        let began = Instant::now();
        for _ in 0..CALLS_PER_ROUND {
            call();
        }
        min_us = min_us.min(began.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS_PER_ROUND));
    }
    min_us
}

/// Measures the messages and returns the fits.
pub(crate) fn measure(seed: u64) -> Vec<LinearFit> {
    let mut out = heartbeats();
    out.extend(exchanges(seed));
    out.extend(placements(seed));
    out.extend(journal());
    out.extend(configs());
    out
}

/// Measures receiving a heartbeat, by the number of known instances.
fn heartbeats() -> Vec<LinearFit> {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for n in [10, 50, 200, 800, 3_200] {
        let mut peers = Peers::new(MemberSettings::default(), "zone0".into());
        for i in 0..n {
            peers.record_heartbeat(1, heartbeat(i, 1));
        }
        let mut seq = 1;
        let us = min_call_us(|| {
            seq += 1;
            let message = encode(&heartbeat(seq as usize % n, seq)).unwrap_or_default();
            if let Ok(heartbeat) = decode(&message) {
                peers.record_heartbeat(seq, heartbeat);
            }
        });
        times.push((n as f64, us));
        let len = encode(&heartbeat(n, 1)).unwrap_or_default().len();
        bytes.push((n as f64, len as f64));
    }
    vec![
        LinearFit::fit("heartbeat_cpu_by_peers", "us", times),
        LinearFit::fit("heartbeat_bytes_by_peers", "bytes", bytes),
    ]
}

/// Measures an exchange with a worker without the network, by the number of its tasks.
fn exchanges(seed: u64) -> Vec<LinearFit> {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for tasks in [0u32, 4, 8, 16, 28] {
        let mut scheduler = starts::scheduler(PlacementPolicy::Interference, 1, seed);
        starts::place_tasks(&mut scheduler, tasks, 0);
        let mut now = 1_100_000;
        let (_, answer) = run_exchange(&mut scheduler, now);
        let worker = Name::from("w000000");
        scheduler.step(now, &Event::Answer { worker, answer });
        now += 1_000;
        let (request, answer) = run_exchange(&mut scheduler, now);
        let total_bytes =
            encode(&request).unwrap_or_default().len() + encode(&answer).unwrap_or_default().len();
        bytes.push((f64::from(tasks), total_bytes as f64));
        let us = min_call_us(|| {
            now += 1_000;
            let (request, mut answer) = run_exchange(&mut scheduler, now);
            let sent = encode(&request).unwrap_or_default();
            black_box(sent.len());
            answer.clock = now;
            let got = encode(&answer).unwrap_or_default();
            let Ok(answer) = decode::<WorkerAnswer>(&got) else {
                return;
            };
            let worker = Name::from("w000000");
            scheduler.step(now, &Event::Answer { worker, answer });
        });
        times.push((f64::from(tasks), us));
    }
    vec![
        LinearFit::fit("exchange_cpu_by_tasks", "us", times),
        LinearFit::fit("exchange_bytes_by_tasks", "bytes", bytes),
    ]
}

/// Returns the scheduler's next exchange with its first worker, and the worker's answer.
fn run_exchange(scheduler: &mut ShardScheduler, now: u64) -> (Option<WorkerRequest>, WorkerAnswer) {
    let upto = scheduler.next_record();
    scheduler.step(now, &Event::Committed(upto));
    let mut request = None;
    for action in scheduler.step(now, &Event::Tick) {
        if let Action::Exchange { request: r, .. } = action {
            request = Some(r);
        }
    }
    let w = &scheduler.workers()[0];
    let answer = WorkerAnswer {
        epoch: 1,
        seq: w.seq,
        refused: None,
        boot: 1,
        clock: now,
        size: Size::new(30_000, 125 << 30, 0),
        leaving: false,
        running: w.allocations.iter().map(|r| r.attempt).collect(),
        ended: Vec::new(),
        samples: Vec::new(),
    };
    (request, answer)
}

/// Measures a placement, by the number of workers of the shard.
fn placements(seed: u64) -> Vec<LinearFit> {
    let mut times = Vec::new();
    for workers in [150, 300, 600, 1_200, 2_400] {
        let mut scheduler = starts::scheduler(PlacementPolicy::Interference, workers, seed);
        starts::place_tasks(&mut scheduler, workers as u32 * 10, 0);
        let began = Instant::now();
        let placed = starts::place_tasks(&mut scheduler, workers as u32 * 5, 1_000_000);
        let us = began.elapsed().as_secs_f64() * 1e6 / placed.max(1) as f64;
        times.push((workers as f64, us));
    }
    vec![LinearFit::fit("placement_cpu_by_workers", "us", times)]
}

/// Measures the encoding of a journal row, by the number of its transitions.
fn journal() -> Vec<LinearFit> {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for n in [10u32, 100, 1_000, 2_500, 5_000] {
        let row = starts::journal_row(n);
        let len = encode(&row).unwrap_or_default().len();
        bytes.push((f64::from(n), len as f64));
        let us = min_call_us(|| {
            black_box(encode(&row).unwrap_or_default().len());
        });
        times.push((f64::from(n), us));
    }
    vec![
        LinearFit::fit("journal_cpu_by_transitions", "us", times),
        LinearFit::fit("journal_bytes_by_transitions", "bytes", bytes),
    ]
}

fn template(kinds: usize) -> Organisation {
    let mut org = (*organisation(1)).clone();
    let first = org.jobs[0].clone();
    org.jobs.clear();
    for kind in 0..kinds {
        let mut job = first.clone();
        job.name = format!("kind{kind:03}").into();
        org.jobs.push(job);
    }
    org
}

/// Measures decoding and applying a changed template, by the number of its job kinds.
fn configs() -> Vec<LinearFit> {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for kinds in [4, 8, 16, 32, 64] {
        let entry = ConfigEntry {
            version: 1,
            template: std::sync::Arc::new(template(kinds)),
        };
        let message = encode(&entry).unwrap_or_default();
        bytes.push((kinds as f64, message.len() as f64));
        let mut configs = Configs::default();
        let mut version = 1;
        let us = min_call_us(|| {
            let Ok(mut entry) = decode::<ConfigEntry>(&message) else {
                return;
            };
            version += 1;
            entry.version = version;
            configs.update(&entry);
        });
        times.push((kinds as f64, us));
    }
    vec![
        LinearFit::fit("config_cpu_by_kinds", "us", times),
        LinearFit::fit("config_bytes_by_kinds", "bytes", bytes),
    ]
}
