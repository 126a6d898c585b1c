//! An entry's view of a target.

use std::net::SocketAddr;

use super::{RouteSettings, Share};
use crate::{Millis, hashing::stable_hash, name::Name, shard::TargetInfo};

/// Share of a new time in the running mean.
const LATENCY_SMOOTHING: f64 = 0.2;

/// Time taken for a target that has not answered yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 5.0;

/// Turns that targets are spread over.
const SHARE_OFFSETS: u64 = 1_024;

/// Factor by which a returning target looks slower at first.
const SLOW_START_PENALTY: f64 = 4.0;

/// A target and what this entry knows of it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Worker that it is on.
    pub worker: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Shard that announced it.
    pub shard: u32,
    /// Whether it is in this entry's zone.
    pub same_zone: bool,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Shifts which entries may use one slot more than others.
    pub share_offset: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Requests that this entry has under way there.
    pub in_flight: u32,
    /// Slots that others used at the last report.
    pub others_in_flight: u32,
    /// When that was; 0 for never.
    pub reported_at: Millis,
    /// Running mean of its times.
    pub mean_latency: f64,
    /// Failures in a row.
    pub failures: u32,
    /// Ejections in a row.
    pub ejections: u32,
    /// End of the ejection.
    pub ejected_until: Millis,
    /// When it came back or was first seen.
    pub active_since: Millis,
}

impl Target {
    /// Returns a target that has not been used.
    pub fn new(info: &TargetInfo, shard: u32, same_zone: bool, now: Millis) -> Target {
        Target {
            worker: info.worker.clone(),
            addr: info.addr,
            shard,
            same_zone,
            slots: info.slots,
            connections: info.connections,
            share_offset: (stable_hash(&[&info.worker]) % SHARE_OFFSETS) as u32,
            leaving: info.leaving,
            in_flight: 0,
            others_in_flight: 0,
            reported_at: 0,
            mean_latency: INITIAL_LATENCY_MS,
            failures: 0,
            ejections: 0,
            ejected_until: 0,
            active_since: now,
        }
    }

    /// Returns how many requests this entry may have there now.
    ///
    /// The fair shares of all entries sum to the slots. Which entries have one
    /// more than others differs from target to target.
    pub fn request_limit(&self, now: Millis, share: Share, settings: &RouteSettings) -> u32 {
        let entries = share.entries.max(1);
        let max_requests = (self.connections / entries).max(1);
        let offset = (share.rank + self.share_offset) % entries;
        let fair = match self.same_zone {
            true => self.slots / entries + u32::from(offset < self.slots % entries),
            false => 1,
        };
        let fresh =
            self.reported_at > 0 && now.saturating_sub(self.reported_at) <= settings.report_ttl;
        let free = if fresh {
            self.slots.saturating_sub(self.others_in_flight)
        } else {
            0
        };
        fair.max(free).min(max_requests)
    }

    /// Tells whether it can take one more request.
    pub fn is_usable(&self, now: Millis, share: Share, settings: &RouteSettings) -> bool {
        let readmitted = self.ejected_until <= now;
        let probing = self.ejections > 0 && self.in_flight > 0;
        readmitted
            && !probing
            && !self.leaving
            && self.in_flight < self.request_limit(now, share, settings)
    }

    /// Returns the expected time of one more request; lower is better.
    pub fn expected_latency(&self, now: Millis, settings: &RouteSettings) -> f64 {
        let fresh = now.saturating_sub(self.reported_at) <= settings.report_ttl;
        let others = if fresh { self.others_in_flight } else { 0 };
        let load = f64::from(self.in_flight + others + 1) / f64::from(self.slots.max(1));
        let age = now.saturating_sub(self.active_since) as f64;
        let warm = (age / settings.slow_start.max(1) as f64).min(1.0);
        let penalty = if self.ejections > 0 {
            SLOW_START_PENALTY - (SLOW_START_PENALTY - 1.0) * warm
        } else {
            1.0
        };
        self.mean_latency * (0.25 + load) * penalty
    }

    /// Takes note of a whole answer.
    pub fn record_answer(&mut self, now: Millis, took: Millis, busy: Option<u32>) {
        self.failures = 0;
        if self.ejections > 0 {
            self.active_since = now;
        }
        self.ejections = 0;
        let took = (took as f64).max(0.5);
        self.mean_latency += LATENCY_SMOOTHING * (took - self.mean_latency);
        self.update_load(now, busy.map(|b| b.saturating_sub(1)));
    }

    /// Takes note of the slots that the target reported in use by requests
    /// other than the one that just ended.
    pub fn update_load(&mut self, now: Millis, busy: Option<u32>) {
        let Some(busy) = busy else { return };
        self.others_in_flight = busy.saturating_sub(self.in_flight);
        self.reported_at = now;
    }

    /// Takes note of a failure; ejects after enough in a row if `may`.
    pub fn record_failure(&mut self, now: Millis, settings: &RouteSettings, can_eject: bool) {
        self.failures += 1;
        let probing = self.ejections > 0;
        if !can_eject || (self.failures < settings.ejection_threshold && !probing) {
            return;
        }
        let duration = (settings.ejection << self.ejections.min(16)).min(settings.max_ejection);
        self.ejected_until = now + duration;
        self.ejections += 1;
        self.failures = 0;
        self.active_since = self.ejected_until;
    }
}
