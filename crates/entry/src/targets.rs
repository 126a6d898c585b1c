//! Polls the owners of shards for their targets and passes changes to the router.

use std::{sync::Arc, thread, time::Duration};

use flume::Sender;
use gorsespur_core::{
    member::Role,
    name::Name,
    route::{RouteEvent, Share, TargetList},
};
use gorsespur_peer::AgentState;
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_services::post;
use gorsespur_wire::{
    paths::PEER_TARGETS,
    peer::{TargetsAnswer, TargetsRequest},
};

use crate::{owners::Owners, router_thread::RouterMessage};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a request to an owner.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The state that was last sent to the router.
#[derive(Default)]
struct RouterView {
    /// Epoch and version of the target list, by shard index.
    versions: Vec<Option<(u64, u64)>>,
    leaving: Vec<Name>,
    share: Option<Share>,
}

/// Starts the thread, which ends on `cancel`.
pub(crate) fn start(
    shared: &Arc<AgentState>,
    owners: &Arc<Owners>,
    router: &Sender<RouterMessage>,
    cancel: &CancelToken,
) -> std::io::Result<()> {
    let (shared, owners) = (shared.clone(), owners.clone());
    let (router, cancel) = (router.clone(), cancel.clone());
    thread::Builder::new()
        .name("targets".into())
        .spawn(move || {
            let mut view = RouterView::default();
            view.versions
                .resize(shared.settings.layout.shards().len(), None);
            while !cancel.wait(POLL_INTERVAL) {
                poll_owners(&shared, &owners, &router, &mut view);
            }
        })?;
    Ok(())
}

fn poll_owners(
    shared: &AgentState,
    owners: &Owners,
    router: &Sender<RouterMessage>,
    view: &mut RouterView,
) {
    for (i, shard) in shared.settings.layout.shards().iter().enumerate() {
        let Some((addr, epoch, version)) = find_owner(shared, shard.place.index) else {
            continue;
        };
        if view.versions[i].is_some_and(|known| known >= (epoch, version)) {
            continue;
        }
        let request = TargetsRequest {
            shard: shard.place.index,
        };
        let answer: Result<TargetsAnswer, _> = post(addr, PEER_TARGETS, &request, REQUEST_TIMEOUT);
        let Ok(answer) = answer else { continue };
        view.versions[i] = Some((answer.epoch, answer.version));
        owners.set_largest_worker(i, answer.largest);
        let list = TargetList {
            shard: answer.shard,
            epoch: answer.epoch,
            version: answer.version,
            same_zone: shard.zone == shared.settings.zone,
            targets: answer.targets,
        };
        let _ = router.send(RouterMessage::Event(RouteEvent::Targets(list)));
    }
    send_members(shared, router, view);
}

/// Returns the address of a shard's live owner, its epoch and the version of its
/// target list.
fn find_owner(shared: &AgentState, shard: u32) -> Option<(std::net::SocketAddr, u64, u64)> {
    let now = shared.clock.now();
    let peers = shared.peers();
    let owner = peers.owner_of(now, shard)?;
    let claim = owner.heartbeat.shards.iter().find(|c| c.shard == shard)?;
    Some((owner.addr, claim.epoch, claim.targets_version))
}

fn send_members(shared: &AgentState, router: &Sender<RouterMessage>, view: &mut RouterView) {
    let mut leaving = Vec::new();
    for w in &shared.member_list().workers {
        if w.leaving {
            leaving.push(w.name.clone());
        }
    }
    leaving.sort();
    if leaving != view.leaving {
        view.leaving = leaving.clone();
        let _ = router.send(RouterMessage::Event(RouteEvent::Leaving(leaving)));
    }
    let settings = &shared.settings;
    let now = shared.clock.now();
    let mut ids: Vec<Name> = Vec::new();
    for peer in shared.peers().available(now, Role::Entry, &settings.zone) {
        ids.push(peer.heartbeat.id.clone());
    }
    let share = Share {
        entries: ids.len() as u32 + 1,
        rank: ids.iter().filter(|id| **id < settings.id).count() as u32,
    };
    if view.share != Some(share) {
        view.share = Some(share);
        let _ = router.send(RouterMessage::Event(RouteEvent::Entries(share)));
    }
}
