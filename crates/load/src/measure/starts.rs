//! Wall-clock cost of placement, journalling, recovery and cancellation.

use std::time::Instant;

use gorsespur_core::{
    Millis,
    name::Name,
    placement::PlacementPolicy,
    shard::{
        Action, AttemptId, Event, JobKey, JobSpec, Record, ShardId, ShardScheduler, ShardSettings,
        ShardState, Takeover, WorkerAnswer, WorkerInfo,
    },
    size::Size,
    template::Priority,
};
use gorsespur_wire::{
    codec::{decode, encode},
    stored::{JournalRow, Snapshot},
};

use super::organisation::organisation;
use crate::{args::SeedArgs, error::LoadError};

const START_MS: Millis = 1_000_000;

/// Numbers of workers for which placement is measured.
const WORKER_COUNTS: [usize; 6] = [50, 200, 600, 1_200, 5_000, 26_000];

/// Running tasks per worker: 15,000 on 1,200 workers.
const TASKS_PER_WORKER: f64 = 12.5;

/// Maximum number of placements that are timed per number of workers.
const TIMED_PLACEMENTS: u32 = 10_000;

/// Records of the measured journal row.
const JOURNAL_RECORDS: usize = 5_000;

/// Queued jobs that one event cancels.
const CANCELLED_JOBS: usize = 10_000;

/// Workers of the recovered shard.
const RECOVERY_WORKERS: usize = 1_200;

/// Measures and prints a line for each measurement.
pub(crate) fn run(args: &SeedArgs) -> Result<(), LoadError> {
    for policy in [PlacementPolicy::LeastLoaded, PlacementPolicy::Interference] {
        for workers in WORKER_COUNTS {
            measure_placement(policy, workers, args.seed);
        }
    }
    measure_journal();
    measure_recovery(args.seed);
    measure_cancel(args.seed);
    Ok(())
}

/// Returns a shard scheduler whose workers have all answered their first exchange.
pub(crate) fn scheduler(policy: PlacementPolicy, workers: usize, seed: u64) -> ShardScheduler {
    let shard_id = ShardId {
        name: "shard".into(),
        index: 0,
        count: 1,
    };
    let settings = ShardSettings {
        policy,
        max_placements: usize::MAX,
        ..ShardSettings::default()
    };
    let takeover = Takeover {
        epoch: 1,
        state: ShardState::default(),
        next_record: 0,
        inherited_hold: 60_000,
        settled: true,
    };
    let mut scheduler = ShardScheduler::new(shard_id, settings, seed, takeover, START_MS);
    scheduler.step(START_MS, &Event::Organisations(vec![organisation(1)]));
    let mut list = Vec::new();
    for i in 0..workers {
        let addr = ([127, 0, 0, 1], 1_000 + (i % 60_000) as u16).into();
        list.push(WorkerInfo {
            name: format!("w{i:06}").into(),
            zone: "zone".into(),
            rack: format!("r{}", i / 8).into(),
            addr,
            target: addr,
            size: Size::new(30_000, 125 << 30, 0),
            leaving: false,
        });
    }
    let counts = vec![workers as u32];
    scheduler.step(START_MS, &Event::Workers { list, counts });
    answer_exchanges(&mut scheduler, START_MS + 1);
    scheduler
}

/// Answers the exchange of each worker with the tasks that the scheduler expects there.
fn answer_exchanges(scheduler: &mut ShardScheduler, now: Millis) {
    let upto = scheduler.next_record();
    scheduler.step(now, &Event::Committed(upto));
    let mut answers = Vec::new();
    for w in scheduler.workers() {
        let running = w.allocations.iter().map(|r| r.attempt).collect();
        answers.push((
            w.name.clone(),
            WorkerAnswer {
                epoch: 1,
                seq: w.seq,
                refused: None,
                boot: 1,
                clock: now,
                size: Size::new(30_000, 125 << 30, 0),
                leaving: false,
                running,
                ended: Vec::new(),
                samples: Vec::new(),
            },
        ));
    }
    for (worker, answer) in answers {
        scheduler.step(now, &Event::Answer { worker, answer });
    }
}

/// Returns a job of `tasks` small tasks.
pub(crate) fn job_spec(id: &str, kind: usize, tasks: u32) -> JobSpec {
    JobSpec {
        key: JobKey {
            org: "org0".into(),
            id: id.into(),
        },
        kind: format!("kind{}", kind % 8).into(),
        team: "team0".into(),
        tasks,
        size: Size::new(1_000, 2 << 30, 0),
        run_time: 60_000,
        priority: Priority::Normal,
        checkpoint: true,
        attempts: 3,
        service: false,
    }
}

fn measure_placement(policy: PlacementPolicy, workers: usize, seed: u64) {
    let mut scheduler = scheduler(policy, workers, seed);
    let running = (workers as f64 * TASKS_PER_WORKER) as u32;
    place_tasks(&mut scheduler, running, 0);
    let tasks = TIMED_PLACEMENTS.min(workers as u32 * 8);
    let began = Instant::now();
    let started = place_tasks(&mut scheduler, tasks, 1_000_000);
    let seconds = began.elapsed().as_secs_f64();
    println!(
        "starts: policy={policy:?} workers={workers} running={running} placed={started} per_second={:.0} us_each={:.2}",
        started as f64 / seconds,
        seconds * 1e6 / started as f64
    );
}

/// Submits jobs of ten tasks and places them. Returns the number of started tasks.
pub(crate) fn place_tasks(scheduler: &mut ShardScheduler, tasks: u32, first_job: usize) -> u64 {
    let mut specs = Vec::new();
    for i in 0..tasks.div_ceil(10) {
        specs.push(job_spec(
            &format!("job{}", first_job + i as usize),
            i as usize,
            10,
        ));
    }
    let mut started = 0;
    let mut count = |actions: Vec<Action>| {
        for action in actions {
            let Action::Append { records, .. } = action else {
                continue;
            };
            started += records
                .iter()
                .filter(|r| matches!(r, Record::Started { .. }))
                .count();
        }
    };
    count(scheduler.step(START_MS + 2, &Event::Submit(specs)));
    count(scheduler.step(START_MS + 3, &Event::Tick));
    started as u64
}

/// Returns a journal row with `n` starts.
pub(crate) fn journal_row(n: u32) -> JournalRow {
    let mut records = Vec::new();
    for i in 0..n {
        records.push(Record::Started {
            attempt: AttemptId {
                job: 1_000_000 + i,
                task: i % 10,
                attempt: 1,
            },
            worker: Name::from("w-shah-alam-0001"),
            size: Size::new(2_000, 4 << 30, 0),
        });
    }
    JournalRow {
        epoch: 7,
        first: 123_456_789,
        records,
    }
}

fn measure_journal() {
    let row = journal_row(JOURNAL_RECORDS as u32);
    let began = Instant::now();
    let bytes = encode(&row).unwrap_or_default();
    let seconds = began.elapsed().as_secs_f64();
    println!(
        "starts: journal_records={JOURNAL_RECORDS} bytes={} bytes_each={:.1} encode_us_each={:.3}",
        bytes.len(),
        bytes.len() as f64 / JOURNAL_RECORDS as f64,
        seconds * 1e6 / JOURNAL_RECORDS as f64
    );
}

/// Measures the cancellation of many queued jobs at once.
fn measure_cancel(seed: u64) {
    let mut scheduler = scheduler(PlacementPolicy::Interference, 1, seed);
    let mut specs = Vec::new();
    for i in 0..CANCELLED_JOBS {
        specs.push(job_spec(&format!("job{i}"), i, 1));
    }
    let keys = specs.iter().map(|s| s.key.clone()).collect();
    scheduler.step(START_MS + 2, &Event::Submit(specs));
    let began = Instant::now();
    let actions = scheduler.step(START_MS + 3, &Event::Cancel(keys));
    let ms = began.elapsed().as_secs_f64() * 1e3;
    let mut records = 0;
    for action in actions {
        if let Action::Append { records: r, .. } = action {
            records += r.len();
        }
    }
    println!("starts: cancelled={CANCELLED_JOBS} records={records} ms={ms:.1}");
}

fn measure_recovery(seed: u64) {
    let mut scheduler = scheduler(PlacementPolicy::Interference, RECOVERY_WORKERS, seed);
    place_tasks(
        &mut scheduler,
        (RECOVERY_WORKERS as f64 * TASKS_PER_WORKER) as u32,
        0,
    );
    let snapshot = Snapshot {
        next: scheduler.next_record(),
        state: scheduler.state().clone(),
    };
    let bytes = encode(&snapshot).unwrap_or_default();
    let began = Instant::now();
    let Ok(restored) = decode::<Snapshot>(&bytes) else {
        println!("starts: snapshot can't be decoded");
        return;
    };
    let decode_time = began.elapsed();
    let shard_id = ShardId {
        name: "shard".into(),
        index: 0,
        count: 1,
    };
    let takeover = Takeover {
        epoch: 2,
        state: restored.state,
        next_record: restored.next,
        inherited_hold: 60_000,
        settled: true,
    };
    let mut recovered =
        ShardScheduler::new(shard_id, ShardSettings::default(), seed, takeover, START_MS);
    let mut list = Vec::new();
    for w in scheduler.workers() {
        list.push(WorkerInfo {
            name: w.name.clone(),
            zone: "zone".into(),
            rack: w.rack.clone(),
            addr: w.addr,
            target: w.service_addr,
            size: w.capacity,
            leaving: false,
        });
    }
    recovered.step(START_MS, &Event::Organisations(vec![organisation(1)]));
    let counts = vec![list.len() as u32];
    recovered.step(START_MS, &Event::Workers { list, counts });
    let recovered_tasks: usize = recovered
        .workers()
        .iter()
        .map(|w| w.allocations.len())
        .sum();
    println!(
        "starts: recovered_tasks={recovered_tasks} workers={RECOVERY_WORKERS} snapshot_bytes={} decode_ms={:.1} total_ms={:.1}",
        bytes.len(),
        decode_time.as_secs_f64() * 1e3,
        began.elapsed().as_secs_f64() * 1e3
    );
}
