//! Rows that grow with the number of queues stay below the limit of the store.

use std::sync::Arc;

use gorsespur_jobs::{QueueFigures, WaitForecast};
use test_case::test_case;

use crate::{
    census::Census,
    row_limits::{LEFT_OUT, fit_figures, fit_pending},
    rows::{FiguresRow, LeaseRow, encode},
};

const LIMIT: usize = 65_536;

fn queue(number: usize, length: usize) -> Arc<str> {
    format!("{number:0length$}").into()
}

/// The lease of a deployment with thousands of routes was rejected, and with it the journal.
#[test_case(3, 30, 0; "all fit")]
#[test_case(2900, 30, 1; "many queues")]
#[test_case(10, 20_000, 1; "long names")]
fn a_lease_fits_its_row(queues: usize, length: usize, left_out: usize) {
    let pending: Vec<_> = (0..queues)
        .map(|n| (queue(n, length), u64::MAX / 10_000 - n as u64))
        .collect();
    let total: u64 = pending.iter().map(|p| p.1).sum();
    let owner = "n".repeat(190);
    let fitted = fit_pending(pending.clone(), &owner, LIMIT);
    assert_eq!(fitted.left_out.min(1), left_out);
    assert_eq!(fitted.list.iter().map(|p| p.1).sum::<u64>(), total);
    assert_eq!(fitted.list[0], pending[0]);
    let is_marked = fitted.list.iter().any(|p| &*p.0 == LEFT_OUT);
    assert_eq!(is_marked, left_out > 0);
    let lease = LeaseRow {
        owner: owner.clone(),
        epoch: u64::MAX,
        released: false,
        share: u64::MAX,
        largest: u64::MAX,
        pending: fitted.list.clone(),
        term: u64::MAX,
        earlier: u64::MAX,
        census: Census {
            large: u64::MAX,
            all: u64::MAX,
        },
    };
    let bytes = encode(&lease).len();
    assert!(bytes <= LIMIT, "{bytes}");
    // The next owner shortens the same list, maybe under a longer name.
    let again = fit_pending(fitted.list, &owner.repeat(2), LIMIT);
    assert_eq!(again.list.iter().map(|p| p.1).sum::<u64>(), total);
}

#[test]
fn figures_fit_their_row() {
    let forecast = WaitForecast {
        wait: u64::MAX,
        slack: u64::MAX,
        retry_after: u64::MAX,
        closed: true,
    };
    let figures = |n| QueueFigures {
        queue: queue(n, 30),
        long_running_cpu: u64::MAX,
        long_running_memory: u64::MAX,
        short: forecast,
        best_effort: forecast,
    };
    let fitted = fit_figures((0..2900).map(figures).collect(), LIMIT);
    assert!(fitted.left_out > 0);
    assert_eq!(fitted.left_out + fitted.list.len(), 2900);
    let bytes = encode(&FiguresRow {
        queues: fitted.list,
    })
    .len();
    assert!((LIMIT / 10 * 9..=LIMIT).contains(&bytes), "{bytes}");
}
