//! Tests of how far the reader of workers' rows falls behind.

use test_case::test_case;

use super::feed::pause_after;
use crate::store::Changes;

/// Largest number of rows in an answer of the store.
const PAGE_ROWS: usize = 500;

/// Time of an answer, in milliseconds.
const ANSWER_MS: usize = 6;

/// Time between two writes of one worker, in milliseconds.
const HEARTBEAT_MS: usize = 1500;

/// Returns the largest number of unread rows within a minute, for a number of workers.
fn max_unread_rows(workers: usize) -> usize {
    let (mut now, mut read_rows, mut max_unread) = (0, 0, 0);
    while now < 60_000 {
        now += ANSWER_MS;
        let unread = now * workers / HEARTBEAT_MS - read_rows;
        max_unread = max_unread.max(unread);
        let rows = unread.min(PAGE_ROWS);
        read_rows += rows;
        let pause = pause_after(&Changes {
            rows: Vec::new(),
            version: 0,
            is_complete: rows < PAGE_ROWS,
        });
        now += pause.as_millis() as usize;
    }
    max_unread
}

#[test_case(350, 100)]
#[test_case(3000, 700)]
#[test_case(7017, 1700)]
#[test_case(70_000, 17_000)]
fn a_reader_that_is_behind_does_not_pause(workers: usize, bound: usize) {
    let unread = max_unread_rows(workers);
    assert!(unread < bound, "{unread} rows behind");
}
