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
    fake::{FakePlatform, own_addr},
};
use gorsespur_wire::{
    keys,
    members::{InstanceInfo, MemberList},
    table::{Row, Tx},
};

struct NoMembers;

impl Members for NoMembers {
    fn list(&self) -> Result<MemberList, MembersError> {
        Err(MembersError::Unavailable)
    }
}

/// A membership list that is unavailable until `shown` is set, and then lists one instance.
struct LateMembers {
    shown: Arc<AtomicBool>,
    instance: InstanceInfo,
}

impl Members for LateMembers {
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
struct NoTable;

impl Table for NoTable {
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

fn own() -> SocketAddr {
    own_addr().expect("an address")
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
            beat: 50,
            dead: 500,
            ..MemberSettings::default()
        },
        log: Default::default(),
        metrics: Default::default(),
    }
}

/// Starts an agent that can reach the platform and serves requests of peers at `here`.
fn serving_agent(
    platform: &Arc<FakePlatform>,
    here: SocketAddr,
    seed: SocketAddr,
    cancel: &CancelToken,
) -> Agent {
    let table: Arc<dyn Table> = platform.clone();
    let settings = settings("a", "east", here, seed);
    let agent = Agent::start(settings, table, Arc::new(NoMembers), cancel).expect("an agent");
    let state = agent.state().clone();
    let answer = move |req| state.handle_request(&req).expect("a question of the agent");
    serve(here, "peer", Limits::default(), cancel, answer).expect("served");
    agent
}

fn change(edited: u64, replicas: i64) -> Change {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../templates/weld.yaml");
    let mut document = Document::read(&PathBuf::from(path)).expect("a good template");
    document.raw.services[0].replicas = replicas;
    document.template = Arc::new(gorsespur_core::template::check(&document.raw).expect("good"));
    Change {
        document,
        edited,
        who: "test".to_owned(),
        why: String::new(),
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
fn changes_come_into_force_by_the_log_and_without_it() {
    let platform = Arc::new(FakePlatform::new());
    let cancel = CancelToken::new();
    let here = own();
    let table: Arc<dyn Table> = platform.clone();
    let agent = Agent::start(
        settings("a", "east", here, here),
        table,
        Arc::new(NoMembers),
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
fn an_instance_without_the_platform_learns_from_a_peer_of_another_zone() {
    let platform = Arc::new(FakePlatform::new());
    apply(platform.as_ref(), &change(0, 10)).expect("accepted");
    let cancel = CancelToken::new();
    let (here, there) = (own(), own());
    serving_agent(&platform, here, there, &cancel);
    let far = settings("b", "west", there, here);
    let far = Agent::start(far, Arc::new(NoTable), Arc::new(NoMembers), &cancel);
    let far = far.expect("an agent");
    wait_until("the template comes from the peer", || {
        replicas(&far) == Some(10)
    });
    apply(platform.as_ref(), &change(1, 11)).expect("accepted");
    wait_until("its change too", || replicas(&far) == Some(11));
    assert!(far.state().is_loaded());
    cancel.cancel();
}

/// A zone that is cut off from the platform and from the other zones gets the
/// configuration as soon as it can reach a peer.
#[test]
fn a_zone_that_was_cut_off_from_everything_catches_up() {
    let platform = Arc::new(FakePlatform::new());
    apply(platform.as_ref(), &change(0, 10)).expect("accepted");
    let cancel = CancelToken::new();
    let (here, there) = (own(), own());
    let near = serving_agent(&platform, here, here, &cancel);
    let shown = Arc::new(AtomicBool::new(false));
    let members = LateMembers {
        shown: shown.clone(),
        instance: InstanceInfo {
            id: "a".into(),
            role: Role::Entry,
            zone: "east".into(),
            addr: here,
            leaving: false,
        },
    };
    let far = settings("b", "west", there, there);
    let far = Agent::start(far, Arc::new(NoTable), Arc::new(members), &cancel);
    let far = far.expect("an agent");
    wait_until("the zone that is not cut off has the template", || {
        replicas(&near) == Some(10)
    });
    assert!(
        !far.state().is_loaded(),
        "the cut-off zone has loaded a configuration"
    );
    assert!(near.state().peers().all().is_empty());
    shown.store(true, Ordering::Release);
    wait_until("the template comes from the peer", || {
        replicas(&far) == Some(10)
    });
    assert_eq!(far.state().configs().head(), near.state().configs().head());
    cancel.cancel();
}
