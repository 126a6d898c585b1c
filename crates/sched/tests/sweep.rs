//! Tests that a sweep deletes expired jobs and claims, and nothing else.

use std::sync::Arc;

use gorsespur_core::{
    name::Name,
    shard::{JobKey, checkpoint_key},
};
use gorsespur_sched::sweep::Sweep;
use gorsespur_services::{Objects, Table, fake::FakePlatform};
use gorsespur_wire::{
    codec::encode,
    keys,
    stored::{Claim, ClaimedKey, EndedJob},
    table::Tx,
};

const RETENTION_HOURS: u64 = 24;

fn sweep(platform: &Arc<FakePlatform>, include_claims: bool) -> Sweep {
    Sweep {
        table: platform.clone(),
        objects: platform.clone(),
        shard: "zone.0".into(),
        include_claims,
        retention_hours: RETENTION_HOURS,
    }
}

fn end_job(platform: &FakePlatform, id: &str, hour: u64) {
    let key = JobKey {
        org: "weld".into(),
        id: id.into(),
    };
    let ended = EndedJob {
        key: key.clone(),
        hour,
        no: 7,
        attempts: vec![2],
    };
    let tx = Tx::new().put(keys::job(&key), Vec::new()).put(
        keys::ended("zone.0", hour, &key),
        encode(&ended).expect("encodes"),
    );
    platform.tx(&tx).expect("written");
}

fn claim(platform: &FakePlatform, key: &str, claimed: u64, listed: u64) {
    let entry = ClaimedKey {
        org: "weld".into(),
        key: Name::from(key),
        hour: listed,
    };
    let claim = Claim {
        token: 1,
        hour: claimed,
        request: 1,
        ended: None,
    };
    let tx = Tx::new()
        .put(keys::claim("weld", key), encode(&claim).expect("encodes"))
        .put(
            keys::claimed(listed, "weld", key),
            encode(&entry).expect("encodes"),
        );
    platform.tx(&tx).expect("written");
}

#[test]
fn old_jobs_are_deleted_with_their_checkpoints() {
    let platform = Arc::new(FakePlatform::new());
    end_job(&platform, "old", 100);
    end_job(&platform, "new", 120);
    for attempt in 1..=2 {
        let key = checkpoint_key("zone.0", 7, 0, attempt);
        platform.put(&key, b"1").expect("written");
    }
    assert_eq!(sweep(&platform, true).sweep(125), Ok(1));
    assert_eq!((platform.count("job/"), platform.count("ended/")), (1, 1));
    assert_eq!(platform.count("job/weld/new"), 1);
    assert!(Objects::get(platform.as_ref(), &checkpoint_key("zone.0", 7, 0, 2)).is_err());
    assert_eq!(sweep(&platform, true).sweep(125), Ok(0), "again");
}

#[test]
fn old_claims_are_deleted_and_later_claims_of_the_same_key_stay() {
    let platform = Arc::new(FakePlatform::new());
    claim(&platform, "old", 100, 100);
    claim(&platform, "again", 124, 100);
    claim(&platform, "new", 124, 124);
    assert_eq!(
        sweep(&platform, false).sweep(125),
        Ok(0),
        "another shard sweeps claims"
    );
    assert_eq!(sweep(&platform, true).sweep(125), Ok(2));
    assert_eq!(platform.count("claim/weld/old"), 0);
    assert_eq!(platform.count("claim/weld/again"), 1);
    assert_eq!(platform.count("claim/weld/new"), 1);
    assert_eq!(platform.count("claimed/"), 1);
}
