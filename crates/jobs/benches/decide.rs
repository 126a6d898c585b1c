//! What deciding costs: the processor time of one second of a site's load.
//!
//! A site has workers of 32 cores. Serving tasks ask for four fifths of all processors;
//! jobs of forty filling tasks and of thirteen short ones arrive at 1.2 times the rate that
//! the rest can do, so that work piles up. Workers and store answer at once and cost nothing: only the time in the
//! machine counts.

mod site;

use std::time::Duration;

use criterion::{BenchmarkId, Criterion};

use crate::site::Site;

/// Milliseconds of virtual time before anything is measured.
const WARM_UP: u64 = 8000;

/// Milliseconds of virtual time that each measurement plays.
const SPAN: u64 = 1000;

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("a second of load");
    group.sample_size(10);
    for workers in [66, 490, 1100, 3000] {
        let mut site = Site::new(workers);
        site.play(WARM_UP);
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|times| {
                let mut spent = Duration::ZERO;
                for _ in 0..times {
                    spent += site.play(SPAN);
                }
                spent
            });
        });
        let done = site.figures().done;
        eprintln!("{workers} workers: {done} runs done, {}", site.backlog());
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    criterion.final_summary();
}
