//! Sending and receiving of heartbeats.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use gorsespur_core::member::Heartbeat;
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_wire::codec::{decode, encode};
use rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::AgentState;

/// Interval between two checks whether this instance is leaving.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Largest heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 8 * 1024;

/// Receives heartbeats until `cancel` is cancelled.
pub(crate) fn receive_all(state: &AgentState, socket: &UdpSocket, cancel: &CancelToken) {
    let mut buf = vec![0; MAX_HEARTBEAT_BYTES];
    while !cancel.is_cancelled() {
        let Ok((n, _)) = socket.recv_from(&mut buf) else {
            continue;
        };
        let Ok(beat) = decode::<Heartbeat>(&buf[..n]) else {
            log::debug!("beats: malformed heartbeat");
            continue;
        };
        if beat.id == state.settings.id {
            continue;
        }
        state.peers().record_heartbeat(state.clock.now(), beat);
    }
}

/// Sends heartbeats until `cancel` is cancelled, and one at once when the instance starts to leave.
pub(crate) fn send_all(state: &AgentState, socket: &UdpSocket, cancel: &CancelToken) {
    let mut rng = SmallRng::seed_from_u64(state.incarnation);
    let interval = Duration::from_millis(state.settings.membership.heartbeat_interval);
    let mut seq = 0;
    loop {
        seq += 1;
        let recipients = recipients(state, &mut rng);
        if let Ok(bytes) = encode(&beat(state, seq)) {
            for addr in recipients {
                let _ = socket.send_to(&bytes, addr);
            }
        }
        state.peers().remove_dead(state.clock.now());
        if wait_for_next_heartbeat(state, interval, cancel) {
            return;
        }
    }
}

/// Waits until the next heartbeat is due, which is at once when this instance starts
/// to leave; returns whether `cancel` is cancelled.
fn wait_for_next_heartbeat(state: &AgentState, interval: Duration, cancel: &CancelToken) -> bool {
    let was_staying = !state.is_leaving();
    let deadline = Instant::now() + interval;
    while Instant::now() < deadline && was_staying != state.is_leaving() {
        if cancel.wait(POLL_INTERVAL.min(interval)) {
            return true;
        }
    }
    cancel.is_cancelled()
}

fn beat(state: &AgentState, seq: u64) -> Heartbeat {
    let s = &state.settings;
    Heartbeat {
        id: s.id.clone(),
        role: s.role,
        zone: s.zone.clone(),
        incarnation: state.incarnation,
        seq,
        addr: s.listen,
        leaving: state.is_leaving(),
        config_head: state.configs().head(),
        shards: state.claims().clone(),
    }
}

/// Returns the addresses of all instances in the zone and of a few in each other zone.
fn recipients(state: &AgentState, rng: &mut SmallRng) -> BTreeSet<SocketAddr> {
    let s = &state.settings;
    let mut recipients = BTreeSet::new();
    let mut by_zone: Vec<Vec<SocketAddr>> = vec![Vec::new(); s.zones.len()];
    let mut add = |zone: &str, addr: SocketAddr| {
        if *zone == *s.zone {
            recipients.insert(addr);
        } else if let Ok(i) = s.zones.binary_search_by(|z| (**z).cmp(zone)) {
            by_zone[i].push(addr);
        }
    };
    for p in state.peers().all() {
        add(&p.heartbeat.zone, p.addr);
    }
    for i in &state.member_list().instances {
        add(&i.zone, i.addr);
    }
    recipients.extend(s.seeds.iter().copied());
    for zone in &mut by_zone {
        zone.sort();
        zone.dedup();
        recipients.extend(zone.choose_multiple(rng, s.membership.contacts_per_zone));
    }
    recipients.remove(&s.listen);
    recipients
}
