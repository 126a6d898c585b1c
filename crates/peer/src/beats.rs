//! Heartbeats.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use gorsespur_core::member::Heartbeat;
use gorsespur_runtime::cancel::Cancel;
use gorsespur_wire::codec::{decode, encode};
use rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::Shared;

/// Time between two looks whether this instance leaves.
const LOOK: Duration = Duration::from_millis(25);

/// Longest heartbeat in bytes.
const MAX_BEAT: usize = 8 * 1024;

/// Receives heartbeats until `cancel`.
pub(crate) fn receive_all(shared: &Shared, socket: &UdpSocket, cancel: &Cancel) {
    let mut buf = vec![0; MAX_BEAT];
    while !cancel.is_cancelled() {
        let Ok((n, _)) = socket.recv_from(&mut buf) else {
            continue;
        };
        let Ok(beat) = decode::<Heartbeat>(&buf[..n]) else {
            log::debug!("beats: malformed heartbeat");
            continue;
        };
        if beat.id == shared.settings.id {
            continue;
        }
        shared.peers().record_heartbeat(shared.clock.now(), beat);
    }
}

/// Sends heartbeats until `cancel`, and a last one that says goodbye.
pub(crate) fn send_all(shared: &Shared, socket: &UdpSocket, cancel: &Cancel) {
    let mut rng = SmallRng::seed_from_u64(shared.incarnation);
    let pause = Duration::from_millis(shared.settings.membership.heartbeat_interval);
    let mut seq = 0;
    loop {
        seq += 1;
        let targets = targets(shared, &mut rng);
        if let Ok(bytes) = encode(&beat(shared, seq)) {
            for addr in targets {
                let _ = socket.send_to(&bytes, addr);
            }
        }
        shared.peers().remove_dead(shared.clock.now());
        if rest(shared, pause, cancel) {
            return;
        }
    }
}

/// Waits for the next heartbeat, which comes at once when this instance starts
/// to leave; tells whether `cancel` came.
fn rest(shared: &Shared, pause: Duration, cancel: &Cancel) -> bool {
    let staying = !shared.is_leaving();
    let end = Instant::now() + pause;
    while Instant::now() < end && staying != shared.is_leaving() {
        if cancel.wait(LOOK.min(pause)) {
            return true;
        }
    }
    cancel.is_cancelled()
}

fn beat(shared: &Shared, seq: u64) -> Heartbeat {
    let s = &shared.settings;
    Heartbeat {
        id: s.id.clone(),
        role: s.role,
        zone: s.zone.clone(),
        incarnation: shared.incarnation,
        seq,
        addr: s.listen,
        leaving: shared.is_leaving(),
        config_head: shared.configs().head(),
        shards: shared.claims().clone(),
    }
}

/// Returns everyone in the zone and a few contacts in each other zone.
fn targets(shared: &Shared, rng: &mut SmallRng) -> BTreeSet<SocketAddr> {
    let s = &shared.settings;
    let mut near = BTreeSet::new();
    let mut far: Vec<Vec<SocketAddr>> = vec![Vec::new(); s.zones.len()];
    let mut add = |zone: &str, addr: SocketAddr| {
        if *zone == *s.zone {
            near.insert(addr);
        } else if let Ok(i) = s.zones.binary_search_by(|z| (**z).cmp(zone)) {
            far[i].push(addr);
        }
    };
    for p in shared.peers().all() {
        add(&p.heartbeat.zone, p.addr);
    }
    for i in &shared.list().instances {
        add(&i.zone, i.addr);
    }
    near.extend(s.seeds.iter().copied());
    for zone in &mut far {
        zone.sort();
        zone.dedup();
        near.extend(zone.choose_multiple(rng, s.membership.contacts_per_zone));
    }
    near.remove(&s.listen);
    near
}
