//! Benchmark of a takeover: a new owner reads jobs, their records and the log into a
//! scheduler.
//!
//! Each job has two steps of forty tasks, and all tasks of the first step are placed. The store
//! and the network cost nothing.

use std::{alloc::System, hint::black_box, sync::Arc};

use cap::Cap;
use criterion::{BenchmarkId, Criterion};
use gorsespur_jobs::{Event, Job, Scheduler, Settings, Step, Takeover};

#[expect(dead_code, reason = "the other benchmark uses more of it")]
mod site;

#[path = "../tests/all/ledger.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod ledger;

use crate::{ledger::Ledger, site::Site};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Numbers of open jobs.
const SIZES: [usize; 3] = [500, 2000, 8000];

/// The contents of the store: rows of jobs, and the records and the log that were committed.
struct Rows {
    jobs: Vec<Vec<u8>>,
    ledger: Ledger,
}

impl Rows {
    fn bytes(&self) -> usize {
        self.jobs.iter().map(Vec::len).sum::<usize>() + self.ledger.log_size().1
    }
}

fn rows(count: usize) -> Rows {
    // One worker has capacity for the first step of one job.
    let mut site = Site::new(count as u64, 0);
    site.run(200);
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
        site.submit_wide(vec![step, next]);
    }
    site.run(500);
    while site.pending("wide") > 0 {
        site.run(500);
    }
    let (jobs, ledger) = site.stored();
    let row = |job: &Arc<Job>| rmp_serde::to_vec(&**job).expect("plain data");
    Rows {
        jobs: jobs.iter().map(row).collect(),
        ledger: ledger.clone(),
    }
}

/// Reads the rows into a new scheduler, as a new owner does.
fn take_over(rows: &Rows) -> Scheduler {
    let now = 3_600_000;
    let mut scheduler = Scheduler::new(
        Settings::default(),
        now,
        Takeover {
            asked_at: now,
            prior_leases_end: now,
        },
    );
    let jobs = rows.jobs.iter().map(|row| {
        let job: Job = rmp_serde::from_slice(row).expect("own row");
        Arc::new(job)
    });
    let jobs: Vec<Arc<Job>> = jobs.collect();
    rows.ledger.restore(&mut scheduler, &jobs);
    for job in jobs {
        scheduler.handle(now, now, Event::Accepted(job));
    }
    scheduler
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("takeover");
    group.sample_size(10);
    for count in SIZES {
        let rows = rows(count);
        let bytes = rows.bytes();
        let before = ALLOCATOR.allocated();
        let scheduler = take_over(&rows);
        let memory = ALLOCATOR.allocated() - before;
        drop(scheduler);
        eprintln!("{count} jobs: {bytes} bytes read, {memory} bytes of memory");
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| black_box(take_over(&rows)));
        });
    }
    group.finish();
    criterion.final_summary();
}
