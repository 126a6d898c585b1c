//! Configuration versions never decrease, and membership does not flap.

use std::sync::Arc;

use gorsespur_core::{
    config::{ConfigEntry, ConfigVersion, Configs},
    member::{Heartbeat, MemberSettings, Peers, Role, ShardOwnership},
    template::{OrgLimits, Organisation, Weights},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const NOW_MS: u64 = 1_000_000;

fn entry(org: &str, version: u64) -> ConfigEntry {
    ConfigEntry {
        version,
        template: Arc::new(Organisation {
            name: org.into(),
            weights: Weights::default(),
            limits: OrgLimits {
                open_jobs: version as u32,
                queued_requests: 1,
                retry_percent: 1,
                task_evictions: 1,
                hold: 1,
            },
            teams: Vec::new(),
            services: Vec::new(),
            jobs: Vec::new(),
        }),
    }
}

fn heartbeat(id: &str, incarnation: u64, seq: u64) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        role: Role::Sched,
        zone: "here".into(),
        incarnation,
        seq,
        addr: ([127, 0, 0, 1], 1).into(),
        leaving: false,
        config_head: 0,
        shards: Vec::new(),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    })]

    #[test]
    fn a_version_never_goes_back(offers in prop::collection::vec((0..3usize, 1..9u64), 1..60)) {
        let orgs = ["a", "b", "c"];
        let mut configs = Configs::default();
        let mut newest = [0; 3];
        for (org, version) in offers {
            let applied = configs.update(&entry(orgs[org], version));
            prop_assert_eq!(applied, version > newest[org]);
            newest[org] = newest[org].max(version);
            let found = configs.get(orgs[org]).expect("offered");
            prop_assert_eq!(found.version, newest[org]);
            prop_assert_eq!(u64::from(found.template.limits.open_jobs), newest[org]);
        }
    }

    #[test]
    fn two_instances_agree_after_one_exchange(
        a in prop::collection::vec((0..4usize, 1..9u64), 0..20),
        b in prop::collection::vec((0..4usize, 1..9u64), 0..20),
    ) {
        let orgs = ["a", "b", "c", "d"];
        let fill = |offers: &[(usize, u64)]| {
            let mut configs = Configs::default();
            for (org, version) in offers {
                configs.update(&entry(orgs[*org], *version));
            }
            configs
        };
        let (mut one, mut two) = (fill(&a), fill(&b));
        for e in two.newer_than(&one.versions()) {
            one.update(&e);
        }
        for e in one.newer_than(&two.versions()) {
            two.update(&e);
        }
        prop_assert_eq!(one.versions(), two.versions());
        prop_assert!(one.newer_than(&two.versions()).is_empty());
    }
}

#[test]
fn only_newer_entries_are_returned() {
    let mut configs = Configs::default();
    configs.update(&entry("a", 2));
    configs.update(&entry("b", 5));
    let known = [ConfigVersion {
        org: "a".into(),
        version: 2,
    }];
    let newer = configs.newer_than(&known);
    assert_eq!(newer.len(), 1);
    assert_eq!(&*newer[0].template.name, "b");
    configs.advance_head(9);
    configs.advance_head(4);
    assert_eq!(configs.head(), 9);
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut peers = Peers::new(MemberSettings::default(), "here".into());
    assert!(peers.record_heartbeat(NOW_MS, heartbeat("a", 1, 5)));
    assert!(!peers.record_heartbeat(NOW_MS + 10, heartbeat("a", 1, 4)));
    assert!(!peers.record_heartbeat(NOW_MS + 10, heartbeat("a", 1, 5)));
    assert!(
        peers.record_heartbeat(NOW_MS + 10, heartbeat("a", 2, 1)),
        "a new incarnation is recorded"
    );
    assert!(
        !peers.record_heartbeat(NOW_MS + 20, heartbeat("a", 1, 99)),
        "an earlier incarnation is not"
    );
}

#[test]
fn a_flapping_instance_is_not_steady() {
    let mut peers = Peers::new(MemberSettings::default(), "here".into());
    peers.record_heartbeat(NOW_MS, heartbeat("a", 1, 1));
    peers.record_heartbeat(NOW_MS + 1_000, heartbeat("a", 1, 2));
    assert_eq!(peers.get("a").expect("known").steady_since, NOW_MS);
    peers.record_heartbeat(NOW_MS + 9_000, heartbeat("a", 1, 3));
    assert_eq!(
        peers.get("a").expect("known").steady_since,
        NOW_MS + 9_000,
        "reset by a gap"
    );
    peers.record_heartbeat(NOW_MS + 9_500, heartbeat("a", 2, 1));
    assert_eq!(
        peers.get("a").expect("known").steady_since,
        NOW_MS + 9_500,
        "reset by a restart"
    );
}

#[test]
fn an_instance_of_another_zone_is_given_more_time() {
    let mut peers = Peers::new(MemberSettings::default(), "here".into());
    peers.record_heartbeat(NOW_MS, heartbeat("near", 1, 1));
    let mut far = heartbeat("far", 1, 1);
    far.zone = "there".into();
    peers.record_heartbeat(NOW_MS, far);
    let ids: Vec<&str> = peers
        .live(NOW_MS + 5_000)
        .iter()
        .map(|p| &*p.heartbeat.id)
        .collect();
    assert_eq!(ids, ["far"]);
    assert!(peers.live(NOW_MS + 11_000).is_empty());
}

#[test]
fn a_leaving_instance_does_not_stay() {
    let mut peers = Peers::new(MemberSettings::default(), "here".into());
    let mut leaving = heartbeat("a", 1, 1);
    leaving.leaving = true;
    peers.record_heartbeat(NOW_MS, leaving);
    assert_eq!(peers.live(NOW_MS).len(), 1);
    assert!(peers.available(NOW_MS, Role::Sched, "here").is_empty());
}

#[test]
fn of_two_that_claim_a_shard_the_newer_epoch_counts() {
    let mut peers = Peers::new(MemberSettings::default(), "here".into());
    for (id, epoch) in [("a", 4), ("b", 5)] {
        let mut b = heartbeat(id, 1, 1);
        b.shards.push(ShardOwnership {
            shard: 2,
            epoch,
            targets_version: 1,
        });
        peers.record_heartbeat(NOW_MS, b);
    }
    assert_eq!(
        &*peers.owner_of(NOW_MS, 2).expect("claimed").heartbeat.id,
        "b"
    );
    assert!(peers.owner_of(NOW_MS, 3).is_none());
}
