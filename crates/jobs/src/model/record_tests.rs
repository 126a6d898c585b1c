//! The size that a task is expected to have in a row is never below the encoded one.

use std::sync::Arc;

use test_case::test_case;

use crate::model::{
    changes::Changes,
    crash::{Blame, Crashes},
    ids::JobId,
    record::TaskRecord,
};

fn crashes(count: usize, name_length: usize) -> Crashes {
    let mut crashes = Crashes::default();
    for number in 0..count {
        let name: Arc<str> = format!("{number:0name_length$}").into();
        crashes.add(&name, Blame::Unseen);
    }
    crashes
}

fn record(number: u32, crashes: Crashes) -> TaskRecord {
    TaskRecord {
        at: (number, number, number),
        done: false,
        run: number,
        worker: Some("w".repeat(40).into()),
        failed: vec![number; 70],
        saved: "s".repeat(70_000).into(),
        crashes,
    }
}

/// A row of the log outgrew the limit of the store after a crash under hundreds of small tasks,
/// since a crash was expected to take 40 bytes whatever the name of its worker.
#[test_case(0, 0; "no crash")]
#[test_case(1, 36; "a crash")]
#[test_case(5, 300; "long names")]
#[test_case(70_000, 5; "many crashes")]
fn the_size_of_a_task_is_an_upper_bound(count: usize, name_length: usize) {
    for number in [0, 1000, u32::MAX] {
        let record = record(number, crashes(count, name_length));
        let encoded = rmp_serde::to_vec(&record).expect("plain data");
        assert!(encoded.len() <= record.size(), "{} bytes", encoded.len());
        assert!(record.size() <= encoded.len() + 400 + 10 * count);
    }
}

/// The same, with what encloses the tasks of a job in a row.
#[test]
fn the_changes_of_a_job_add_no_more_than_expected() {
    let tasks: Vec<_> = (0..400).map(|n| record(n, Crashes::default())).collect();
    let size: usize = tasks.iter().map(TaskRecord::size).sum();
    let changes = Changes {
        job: JobId(u64::MAX),
        steps: Vec::new(),
        tasks,
    };
    assert!(changes.encode().len() <= size + 20);
}
