//! The set of known instances and their liveness.

use serde::{Deserialize, Serialize};

use super::{Heartbeat, Peer, Role};
use crate::{Millis, name::Name};

/// Settings of the membership; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Time between heartbeats.
    #[serde(rename = "beat")]
    pub heartbeat_interval: Millis,
    /// Time without a heartbeat after which an instance of the own zone is dead.
    #[serde(rename = "dead")]
    pub dead_after: Millis,
    /// Time without a heartbeat after which an instance is removed.
    #[serde(rename = "forget")]
    pub forget_after: Millis,
    /// Number of instances in each other zone that receive heartbeats.
    #[serde(rename = "contacts")]
    pub contacts_per_zone: usize,
}

impl Default for MemberSettings {
    fn default() -> MemberSettings {
        MemberSettings {
            heartbeat_interval: 500,
            dead_after: 2_500,
            forget_after: 600_000,
            contacts_per_zone: 2,
        }
    }
}

/// Factor on [`MemberSettings::dead_after`] for instances of other zones, which send heartbeats
/// to only some instances of this zone.
const OTHER_ZONE_FACTOR: Millis = 4;

/// The known instances, sorted by id.
#[derive(Debug, Clone)]
pub struct Peers {
    settings: MemberSettings,
    zone: Name,
    peers: Vec<Peer>,
}

impl Peers {
    /// Creates an empty set for an instance in `zone`.
    pub fn new(settings: MemberSettings, zone: Name) -> Peers {
        Peers {
            settings,
            zone,
            peers: Vec::new(),
        }
    }

    /// Records a heartbeat, ignoring it if it is not newer than the last one of its sender.
    ///
    /// Returns whether the heartbeat was recorded.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let dead_after = self.dead_after(&heartbeat.zone);
        let addr = heartbeat.addr;
        let peer = Peer {
            heartbeat,
            addr,
            heartbeat_at: now,
            steady_since: now,
        };
        match self
            .peers
            .binary_search_by(|p| p.heartbeat.id.cmp(&peer.heartbeat.id))
        {
            Err(i) => {
                self.peers.insert(i, peer);
                true
            }
            Ok(i) => {
                let old = &mut self.peers[i];
                let order = |b: &Heartbeat| (b.incarnation, b.seq);
                if order(&peer.heartbeat) <= order(&old.heartbeat) {
                    return false;
                }
                let gap = now.saturating_sub(old.heartbeat_at) > dead_after;
                let restarted = peer.heartbeat.incarnation != old.heartbeat.incarnation;
                let steady_since = if gap || restarted {
                    now
                } else {
                    old.steady_since
                };
                *old = Peer {
                    steady_since,
                    ..peer
                };
                true
            }
        }
    }

    /// Returns the time without a heartbeat after which an instance of `zone` is dead.
    fn dead_after(&self, zone: &str) -> Millis {
        if *zone == *self.zone {
            self.settings.dead_after
        } else {
            self.settings.dead_after * OTHER_ZONE_FACTOR
        }
    }

    /// Removes instances without a heartbeat for [`MemberSettings::forget_after`].
    pub fn remove_dead(&mut self, now: Millis) {
        let forget_after = self.settings.forget_after;
        self.peers
            .retain(|p| now.saturating_sub(p.heartbeat_at) < forget_after);
    }

    /// Returns the live instances, including those that are leaving.
    pub fn live(&self, now: Millis) -> Vec<&Peer> {
        let mut out = Vec::new();
        for p in &self.peers {
            if now.saturating_sub(p.heartbeat_at) <= self.dead_after(&p.heartbeat.zone) {
                out.push(p);
            }
        }
        out
    }

    /// Returns the live instances with `role` in `zone` that are not leaving.
    pub fn available(&self, now: Millis, role: Role, zone: &str) -> Vec<&Peer> {
        let mut out = self.live(now);
        out.retain(|p| {
            p.heartbeat.role == role && *p.heartbeat.zone == *zone && !p.heartbeat.leaving
        });
        out
    }

    /// Returns all known instances, sorted by id.
    pub fn all(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the known instance with this id, dead or alive.
    pub fn get(&self, id: &str) -> Option<&Peer> {
        let i = self
            .peers
            .binary_search_by(|p| (*p.heartbeat.id).cmp(id))
            .ok()?;
        Some(&self.peers[i])
    }

    /// Returns the live instance that claims `shard` with the newest epoch.
    pub fn owner_of(&self, now: Millis, shard: u32) -> Option<&Peer> {
        let mut best: Option<(u64, &Peer)> = None;
        for p in self.live(now) {
            for s in &p.heartbeat.shards {
                if s.shard == shard && best.is_none_or(|b| s.epoch > b.0) {
                    best = Some((s.epoch, p));
                }
            }
        }
        best.map(|b| b.1)
    }
}
