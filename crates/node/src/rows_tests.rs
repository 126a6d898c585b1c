//! Tests of the parts of the accepted jobs: how long callers wait for them while the store is slow.

use std::collections::BTreeMap;

use gorsespur_jobs::JobId;
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

use crate::rows::{job_part, job_parts};

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
