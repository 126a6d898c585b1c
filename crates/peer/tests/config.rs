//! Configuration is read from the platform, or from a peer if the platform is unreachable.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use gorsespur_core::{
    member::{MemberSettings, Role},
    name::Name,
};
use gorsespur_ctl::{
    apply::{Change, apply},
    document::Document,
};
use gorsespur_peer::{Agent, AgentSettings, Layout, Zone};
use gorsespur_runtime::{
    cancel::CancelToken,
    server::{Limits, serve},
};
use gorsespur_services::{
    Members, MembersError, Table, TableError,
    fake::{FakePlatform, unique_addr},
};
use gorsespur_wire::{
    keys,
    members::{InstanceInfo, MemberList},
    table::{Row, Tx},
};

struct UnavailableMembers;

impl Members for UnavailableMembers {
    fn list(&self) -> Result<MemberList, MembersError> {
        Err(MembersError::Unavailable)
    }
}

/// A membership list that is unavailable until `shown` is set, and then lists one instance.
struct DelayedMembers {
    shown: Arc<AtomicBool>,
    instance: InstanceInfo,
}

impl Members for DelayedMembers {
    fn list(&self) -> Result<MemberList, MembersError> {
        if !self.shown.load(Ordering::Acquire) {
            return Err(MembersError::Unavailable);
        }
        Ok(MemberList {
            instances: vec![self.instance.clone()],
            workers: Vec::new(),
        })
    }
}

/// An unreachable table service.
struct UnavailableTable;

impl Table for UnavailableTable {
    fn tx(&self, _: &Tx) -> Result<u64, TableError> {
        Err(TableError::Unavailable)
    }

    fn get(&self, _: &[Name]) -> Result<Vec<Option<Row>>, TableError> {
        Err(TableError::Unavailable)
    }

    fn scan(&self, _: &Name, _: Option<Name>, _: u32) -> Result<(Vec<Row>, bool), TableError> {
        Err(TableError::Unavailable)
    }
}

fn free_addr() -> SocketAddr {
    unique_addr().expect("an address")
}

fn settings(id: &str, zone: &str, listen: SocketAddr, seed: SocketAddr) -> AgentSettings {
    let zones: Vec<Name> = vec!["east".into(), "west".into()];
    let shards = |name: &Name| Zone {
        name: name.clone(),
        shards: 1,
    };
    AgentSettings {
        id: id.into(),
        role: Role::Entry,
        zone: zone.into(),
        listen,
        seeds: vec![seed],
        layout: Layout::new(&zones.iter().map(shards).collect::<Vec<_>>()),
        zones,
        table: listen,
        objects: listen,
        members: listen,
        timeout: Duration::from_millis(500),
        membership: MemberSettings {
            heartbeat_interval: 50,
            dead_after: 500,
            ..MemberSettings::default()
        },
        log: Default::default(),
        metrics: Default::default(),
    }
}

/// Starts an agent that can reach the platform and serves requests of peers at `addr`.
fn serving_agent(
    platform: &Arc<FakePlatform>,
    addr: SocketAddr,
    seed: SocketAddr,
    cancel: &CancelToken,
) -> Agent {
    let table: Arc<dyn Table> = platform.clone();
    let settings = settings("a", "east", addr, seed);
    let agent =
        Agent::start(settings, table, Arc::new(UnavailableMembers), cancel).expect("an agent");
    let state = agent.state().clone();
    let answer = move |req| state.handle_request(&req).expect("a question of the agent");
    serve(addr, "peer", Limits::default(), cancel, answer).expect("served");
    agent
}

fn change(edited: u64, replicas: i64) -> Change {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../templates/weld.yaml");
    let mut document = Document::read(&PathBuf::from(path)).expect("a good template");
    document.raw.services[0].replicas = replicas;
    document.template = Arc::new(gorsespur_core::template::check(&document.raw).expect("good"));
    Change {
        document,
        base_version: edited,
        author: "test".to_owned(),
        reason: String::new(),
    }
}

fn wait_until(what: &str, ok: impl Fn() -> bool) {
    for _ in 0..400 {
        if ok() {
            return;
        }
        thread::sleep(Duration::from_millis(25));
    }
    panic!("not reached: {what}");
}

fn replicas(agent: &Agent) -> Option<u32> {
    let configs = agent.state().configs();
    Some(configs.get("weld")?.template.services[0].replicas)
}

#[test]
fn changes_are_applied_with_and_without_the_log() {
    let platform = Arc::new(FakePlatform::new());
    let cancel = CancelToken::new();
    let addr = free_addr();
    let table: Arc<dyn Table> = platform.clone();
    let agent = Agent::start(
        settings("a", "east", addr, addr),
        table,
        Arc::new(UnavailableMembers),
        &cancel,
    );
    let agent = agent.expect("an agent");
    apply(platform.as_ref(), &change(0, 10)).expect("accepted");
    wait_until("first change", || replicas(&agent) == Some(10));
    apply(platform.as_ref(), &change(1, 11)).expect("accepted");
    wait_until("change by the log", || replicas(&agent) == Some(11));
    apply(platform.as_ref(), &change(2, 12)).expect("accepted");
    platform
        .tx(&Tx::new().delete(keys::change(3)))
        .expect("deleted");
    wait_until("change without its log entry", || {
        replicas(&agent) == Some(12)
    });
    assert_eq!(agent.state().configs().head(), 3);
    cancel.cancel();
}

#[test]
fn an_instance_without_the_platform_is_configured_by_a_peer_of_another_zone() {
    let platform = Arc::new(FakePlatform::new());
    apply(platform.as_ref(), &change(0, 10)).expect("accepted");
    let cancel = CancelToken::new();
    let (addr, remote_addr) = (free_addr(), free_addr());
    serving_agent(&platform, addr, remote_addr, &cancel);
    let remote = settings("b", "west", remote_addr, addr);
    let remote = Agent::start(
        remote,
        Arc::new(UnavailableTable),
        Arc::new(UnavailableMembers),
        &cancel,
    );
    let remote = remote.expect("an agent");
    wait_until("the template comes from the peer", || {
        replicas(&remote) == Some(10)
    });
    apply(platform.as_ref(), &change(1, 11)).expect("accepted");
    wait_until("its change too", || replicas(&remote) == Some(11));
    assert!(remote.state().is_loaded());
    cancel.cancel();
}

/// A zone that is cut off from the platform and from the other zones keeps the configuration in
/// force, never returns to an older one, and catches up when it can reach either again.
#[test]
fn a_zone_that_was_cut_off_from_everything_catches_up() {
    let platform = Arc::new(FakePlatform::new());
    apply(platform.as_ref(), &change(0, 10)).expect("accepted");
    let cancel = CancelToken::new();
    let (addr, remote_addr) = (free_addr(), free_addr());
    let local = serving_agent(&platform, addr, addr, &cancel);
    let shown = Arc::new(AtomicBool::new(false));
    let members = DelayedMembers {
        shown: shown.clone(),
        instance: InstanceInfo {
            id: "a".into(),
            role: Role::Entry,
            zone: "east".into(),
            addr,
            leaving: false,
        },
    };
    let remote = settings("b", "west", remote_addr, remote_addr);
    let remote = Agent::start(
        remote,
        Arc::new(UnavailableTable),
        Arc::new(members),
        &cancel,
    );
    let remote = remote.expect("an agent");
    wait_until("the zone that is not cut off has the template", || {
        replicas(&local) == Some(10)
    });
    assert!(
        !remote.state().is_loaded(),
        "the cut-off zone has loaded a configuration"
    );
    assert!(local.state().peers().all().is_empty());
    shown.store(true, Ordering::Release);
    wait_until("the template comes from the peer", || {
        replicas(&remote) == Some(10)
    });
    assert_eq!(
        remote.state().configs().head(),
        local.state().configs().head()
    );
    cancel.cancel();
}
