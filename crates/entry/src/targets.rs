//! Follows the targets that the owners of shards announce.

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

use crate::{owners::Owners, router_thread::ToRouter};

/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(200);

/// Time limit of asking an owner.
const ASK: Duration = Duration::from_millis(500);

/// What the router was told.
#[derive(Default)]
struct Told {
    /// Epoch and version by index of the shard.
    lists: Vec<Option<(u64, u64)>>,
    leaving: Vec<Name>,
    share: Option<Share>,
}

/// Starts the thread; it ends with `cancel`.
pub(crate) fn start(
    shared: &Arc<AgentState>,
    owners: &Arc<Owners>,
    router: &Sender<ToRouter>,
    cancel: &CancelToken,
) -> std::io::Result<()> {
    let (shared, owners) = (shared.clone(), owners.clone());
    let (router, cancel) = (router.clone(), cancel.clone());
    thread::Builder::new()
        .name("targets".into())
        .spawn(move || {
            let mut told = Told::default();
            told.lists
                .resize(shared.settings.layout.shards().len(), None);
            while !cancel.wait(PAUSE) {
                follow(&shared, &owners, &router, &mut told);
            }
        })?;
    Ok(())
}

fn follow(shared: &AgentState, owners: &Owners, router: &Sender<ToRouter>, told: &mut Told) {
    for (i, at) in shared.settings.layout.shards().iter().enumerate() {
        let Some((addr, epoch, version)) = claim(shared, at.place.index) else {
            continue;
        };
        if told.lists[i].is_some_and(|t| t >= (epoch, version)) {
            continue;
        }
        let request = TargetsRequest {
            shard: at.place.index,
        };
        let answer: Result<TargetsAnswer, _> = post(addr, PEER_TARGETS, &request, ASK);
        let Ok(answer) = answer else { continue };
        told.lists[i] = Some((answer.epoch, answer.version));
        owners.set_largest(i, answer.largest);
        let list = TargetList {
            shard: answer.shard,
            epoch: answer.epoch,
            version: answer.version,
            same_zone: at.zone == shared.settings.zone,
            targets: answer.targets,
        };
        let _ = router.send(ToRouter::Event(RouteEvent::Targets(list)));
    }
    tell_members(shared, router, told);
}

/// Returns the live owner of a shard, its epoch and the version of its list.
fn claim(shared: &AgentState, shard: u32) -> Option<(std::net::SocketAddr, u64, u64)> {
    let now = shared.clock.now();
    let peers = shared.peers();
    let owner = peers.owner_of(now, shard)?;
    let claim = owner.heartbeat.shards.iter().find(|c| c.shard == shard)?;
    Some((owner.addr, claim.epoch, claim.targets_version))
}

fn tell_members(shared: &AgentState, router: &Sender<ToRouter>, told: &mut Told) {
    let mut leaving = Vec::new();
    for w in &shared.member_list().workers {
        if w.leaving {
            leaving.push(w.name.clone());
        }
    }
    leaving.sort();
    if leaving != told.leaving {
        told.leaving = leaving.clone();
        let _ = router.send(ToRouter::Event(RouteEvent::Leaving(leaving)));
    }
    let s = &shared.settings;
    let now = shared.clock.now();
    let mut ids: Vec<Name> = Vec::new();
    for p in shared.peers().available(now, Role::Entry, &s.zone) {
        ids.push(p.heartbeat.id.clone());
    }
    let share = Share {
        entries: ids.len() as u32 + 1,
        rank: ids.iter().filter(|id| **id < s.id).count() as u32,
    };
    if told.share != Some(share) {
        told.share = Some(share);
        let _ = router.send(ToRouter::Event(RouteEvent::Entries(share)));
    }
}
