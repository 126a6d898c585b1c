//! Benchmarks of the scheduler's decisions: the CPU time for one second of a cluster's load.
//!
//! Workers have 32 cores. Serving tasks request four fifths of all CPU. Jobs of forty best-effort
//! tasks and of thirteen short ones arrive: in `usual` as many as can be done, in `worst` twice as
//! many, so that thousands of tasks wait. Workers and the store answer at once and at no cost:
//! only the time in the scheduler is measured.

#[expect(dead_code, reason = "the tests use more of it")]
mod site;

#[path = "../tests/all/ledger.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod ledger;

use std::time::Duration;

use criterion::{BenchmarkId, Criterion};

use crate::site::Site;

/// Virtual time before the measurement, in milliseconds.
const WARM_UP: u64 = 8000;

/// Virtual time of each measurement, in milliseconds.
const SPAN: u64 = 1000;

/// Numbers of workers.
const SIZES: [u64; 4] = [66, 490, 1100, 3000];

fn usual(c: &mut Criterion) {
    let mut group = c.benchmark_group("usual");
    group.sample_size(10);
    for workers in SIZES {
        let mut site = Site::new(workers, 1);
        site.run(WARM_UP);
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|times| {
                let mut spent = Duration::ZERO;
                for _ in 0..times {
                    spent += site.run(SPAN);
                }
                spent
            });
        });
    }
    group.finish();
}

/// Each measurement uses a new site, since the number of waiting tasks grows.
fn worst(c: &mut Criterion) {
    let mut group = c.benchmark_group("worst");
    group.sample_size(10).warm_up_time(Duration::from_millis(1));
    for workers in SIZES {
        let mut waiting = String::new();
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|times| {
                let mut spent = Duration::ZERO;
                for _ in 0..times {
                    let mut site = Site::new(workers, 2);
                    site.run(WARM_UP);
                    spent += site.run(SPAN);
                    waiting = site.backlog();
                }
                spent
            });
        });
        eprintln!("{workers} workers at the end: {waiting}");
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    usual(&mut criterion);
    worst(&mut criterion);
    criterion.final_summary();
}
