//! Tests of how far the reader of workers' rows falls behind.

use test_case::test_case;

use super::feed::pause_after;
use crate::store::Changes;

/// Largest number of rows in an answer of the store.
const PAGE: usize = 500;

/// Time of an answer, in milliseconds.
const ANSWER: usize = 6;

/// Time between two writes of one worker, in milliseconds.
const HEARTBEAT: usize = 1500;

/// Returns the largest number of unread rows within a minute, for a number of workers.
fn most_unread(workers: usize) -> usize {
    let (mut now, mut read, mut most) = (0, 0, 0);
    while now < 60_000 {
        now += ANSWER;
        let unread = now * workers / HEARTBEAT - read;
        most = most.max(unread);
        let rows = unread.min(PAGE);
        read += rows;
        let pause = pause_after(&Changes {
            rows: Vec::new(),
            version: 0,
            is_complete: rows < PAGE,
        });
        now += pause.as_millis() as usize;
    }
    most
}

#[test_case(350, 100)]
#[test_case(3000, 700)]
#[test_case(7017, 1700)]
#[test_case(70_000, 17_000)]
fn a_reader_that_is_behind_reads_on(workers: usize, bound: usize) {
    let unread = most_unread(workers);
    assert!(unread < bound, "{unread} rows behind");
}
