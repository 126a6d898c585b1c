//! What a takeover costs a new owner: reading jobs and their records into a machine.
//!
//! Each job has two steps of forty tasks, all of the first one placed on workers. The
//! store and the network cost nothing here.

use std::{alloc::System, hint::black_box, sync::Arc};

use cap::Cap;
use criterion::{BenchmarkId, Criterion};
use gorsespur_jobs::{Event, Job, Machine, Record, Settings, Step, Takeover};

#[expect(dead_code, reason = "the other benchmark uses more of it")]
mod site;

use crate::site::Site;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Numbers of open jobs.
const SIZES: [usize; 3] = [500, 2000, 8000];

/// A job's row and its record's, as the store gives them.
struct Rows {
    job: Vec<u8>,
    record: Option<Vec<u8>>,
}

fn rows(count: usize) -> Vec<Rows> {
    // One worker holds the first step of one job.
    let mut site = Site::new(count as u64, 0);
    site.play(200);
    for _ in 0..count {
        let step = Step {
            count: 40,
            cpu: 100,
            memory: 100,
            estimate: 60_000,
            ..Step::default()
        };
        let next = Step {
            deps: vec![0],
            ..step.clone()
        };
        site.hand_in(vec![step, next]);
    }
    while site.kept().1.len() < count {
        site.play(500);
    }
    let (jobs, records) = site.kept();
    let row = |job: &Arc<Job>| Rows {
        job: rmp_serde::to_vec(&**job).expect("plain data"),
        record: records.get(&job.id).cloned(),
    };
    jobs.iter().rev().take(count).map(row).collect()
}

/// Does what an owner does with the rows that it has read.
fn take_over(rows: &[Rows]) -> Machine {
    let now = 3_600_000;
    let mut machine = Machine::new(
        Settings::default(),
        now,
        Takeover {
            asked: now,
            inherited: now,
        },
    );
    for row in rows {
        let job: Job = rmp_serde::from_slice(&row.job).expect("own row");
        let job = Arc::new(job);
        if let Some(record) = &row.record {
            let record = Record::decode(record).expect("own record");
            machine.restore(job.clone(), &record);
        }
        machine.handle(now, now, Event::Accepted(job));
    }
    machine
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("takeover");
    group.sample_size(10);
    for count in SIZES {
        let rows = rows(count);
        let bytes = rows
            .iter()
            .map(|r| r.job.len() + r.record.as_ref().map_or(0, Vec::len));
        let bytes: usize = bytes.sum();
        let before = ALLOCATOR.allocated();
        let machine = take_over(&rows);
        let memory = ALLOCATOR.allocated() - before;
        drop(machine);
        eprintln!("{count} jobs: {bytes} bytes read, {memory} bytes of memory");
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| black_box(take_over(&rows)));
        });
    }
    group.finish();
    criterion.final_summary();
}
