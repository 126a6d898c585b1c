//! Tests of the parts of the accepted jobs: how long callers wait for them while the store is slow;
//! and of rows that other versions read.

use std::{collections::BTreeMap, sync::Arc, thread};

use gorsespur_jobs::{Job, JobId, Learned, QueuePolicy, Record, Spec, Step};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use test_case::test_case;

use crate::{
    census::InstanceRow,
    rows::{CancelRow, FiguresRow, HeadRow, JobRow, LeaseRow, decode, encode, job_part, job_parts},
};

/// Time of a write at a sixtieth of the store's speed, in milliseconds.
const WRITE_MS: u64 = 480;

/// Time after which the result of a caller's write counts as unknown, in milliseconds.
const LIMIT_MS: u64 = 1200;

/// Jobs arrive from hundreds of instances for half a minute, and each part commits its writes one
/// after another. At most one caller in twenty gets an unknown result.
#[test_case(17; "the fleet")]
#[test_case(34; "twice the fleet")]
fn few_writes_are_delayed_while_the_store_is_slow(jobs: u64) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut free_at: BTreeMap<String, u64> = BTreeMap::new();
    let (mut writes, mut late) = (0, 0);
    for ms in 0..30_000 {
        if rng.random_range(0..1000) >= jobs {
            continue;
        }
        let part = free_at.entry(job_part(JobId(rng.random()))).or_default();
        *part = ms.max(*part) + WRITE_MS;
        writes += 1;
        late += u64::from(*part > ms + LIMIT_MS);
    }
    assert!(late * 20 <= writes, "{late} of {writes}");
}

#[test]
fn each_job_is_in_one_of_the_parts() {
    let parts: Vec<String> = job_parts().collect();
    for id in [0, 1, 63, 64, u64::MAX] {
        assert!(parts.contains(&job_part(JobId(id))), "{id}");
    }
}

/// The lease's row as versions before the figures write and read it.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct EarlierLease {
    owner: String,
    epoch: u64,
    released: bool,
    share: u64,
    largest: u64,
    pending: Vec<(Arc<str>, u64)>,
    #[serde(default)]
    term: u64,
    #[serde(default)]
    earlier: u64,
    #[serde(default)]
    census: (u64, u64),
}

/// Guards against a field more in the lease, which no earlier version could read: it would take the
/// lease for one without an owner.
#[test]
fn an_earlier_version_reads_the_lease() {
    let lease = LeaseRow {
        owner: "other".into(),
        epoch: 3,
        ..LeaseRow::default()
    };
    let row: EarlierLease = decode("lease", &encode(&lease)).expect("a lease");
    assert_eq!((row.owner.as_str(), row.epoch), ("other", 3));
    let row: LeaseRow = decode("lease", &encode(&row)).expect("a lease");
    assert_eq!((row.owner.as_str(), row.epoch), ("other", 3));
}

/// The row of a job as versions before the policy write and read it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierJob {
    id: JobId,
    queue: Arc<str>,
    accepted: u64,
    spec: Spec,
}

fn job_row() -> JobRow {
    let step = Step {
        count: 3,
        cpu: 500,
        ..Step::default()
    };
    let spec = Spec {
        payload: "text".into(),
        steps: vec![step],
        ..Spec::default()
    };
    JobRow {
        job: Job {
            id: JobId(7),
            queue: "q".into(),
            accepted: 1,
            spec: Arc::new(spec),
        },
        policy: Some(QueuePolicy {
            version: 4,
            queue: "q".into(),
            service: "s".into(),
            priority: 1,
            attempts: 3,
            stretch: 1.5,
            latency: 250,
        }),
    }
}

#[test]
fn a_job_and_its_policy_are_read_as_written() {
    let row = job_row();
    assert_eq!(JobRow::decode(&row.encode()), Some(row));
}

/// Guards against jobs that are lost beside instances of the earlier version: these can't read a
/// job with a field more.
#[test]
fn an_earlier_version_reads_a_job_with_a_policy() {
    let row = job_row();
    let earlier: EarlierJob = decode("job", &row.encode()).expect("a job");
    assert_eq!((earlier.id, &*earlier.queue), (row.job.id, "q"));
    assert_eq!(earlier.spec, *row.job.spec);
}

#[test]
fn a_job_of_an_earlier_version_has_no_policy() {
    let row = job_row();
    let earlier = EarlierJob {
        id: row.job.id,
        queue: row.job.queue.clone(),
        accepted: row.job.accepted,
        spec: (*row.job.spec).clone(),
    };
    let expected = JobRow {
        policy: None,
        ..row
    };
    assert_eq!(JobRow::decode(&encode(&earlier)), Some(expected));
}

/// A job is carried out under its configured queue whatever follows it in its row.
#[test_case(b"\xc1"; "not readable")]
#[test_case(b"\x92\x01\xa1q"; "of another form")]
fn a_job_with_an_unreadable_policy_is_read(rest: &[u8]) {
    let row = JobRow {
        policy: None,
        ..job_row()
    };
    let mut value = row.encode();
    value.extend(rest);
    assert_eq!(JobRow::decode(&value), Some(row));
}

#[test]
fn a_policy_of_another_queue_is_not_used() {
    let mut row = job_row();
    row.policy = row.policy.map(|p| QueuePolicy {
        queue: "other".into(),
        ..p
    });
    let decoded = JobRow::decode(&row.encode()).expect("a job");
    assert_eq!(decoded.policy, None);
}

/// Stack of a thread that reads rows, in bytes.
const READER_STACK_BYTES: usize = 512 << 10;

/// Levels of the nested values: more than any decoder follows.
const LEVELS: usize = 20_000;

/// Returns nested arrays, or nested maps with one key each.
fn nested(head: &[u8]) -> Vec<u8> {
    let mut bytes = head.repeat(LEVELS);
    bytes.push(0xc0);
    bytes
}

/// Returns a map with an unknown field, whose value is nested.
fn unknown_field(value: &[u8]) -> Vec<u8> {
    [&[0x81, 0xa3, b'o', b'd', b'd'], value].concat()
}

/// Guards against readers that end at a row of another writer whose values are nested deeply.
#[test]
fn deeply_nested_rows_end_no_reader() {
    let read_all = || {
        let values = [nested(&[0x91]), nested(&[0x81, 0xa1, b'a'])];
        for value in values.iter().flat_map(|v| [v.clone(), unknown_field(v)]) {
            assert!(decode::<LeaseRow>("lease", &value).is_none());
            assert!(decode::<FiguresRow>("figures", &value).is_none());
            assert!(decode::<HeadRow>("head", &value).is_none());
            assert!(decode::<CancelRow>("cancel", &value).is_none());
            assert!(decode::<InstanceRow>("instance", &value).is_none());
            assert!(decode::<QueuePolicy>("policy", &value).is_none());
            assert!(decode::<Learned>("learned", &value).is_none());
            assert!(Record::decode(&value).is_err());
            assert!(JobRow::decode(&value).is_none());
        }
    };
    let reader = thread::Builder::new().stack_size(READER_STACK_BYTES);
    let reader = reader.spawn(read_all).expect("thread");
    reader.join().expect("rows are skipped");
}
