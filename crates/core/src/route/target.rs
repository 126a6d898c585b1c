//! An entry instance's view of a target.

use std::net::SocketAddr;

use super::{RouteSettings, Share};
use crate::{Millis, hashing::stable_hash, name::Name, shard::TargetInfo};

/// Weight of a new value in the moving average of a target's latency.
const LATENCY_SMOOTHING: f64 = 0.2;

/// Assumed latency of a target that has not answered yet.
const INITIAL_LATENCY_MS: f64 = 5.0;

/// Number of different share offsets of targets.
const SHARE_OFFSETS: u64 = 1_024;

/// Factor on the expected latency of a target right after its ejection.
const SLOW_START_PENALTY: f64 = 4.0;

/// A target and its load and health as this entry instance observes them.
#[derive(Debug, Clone)]
pub struct Target {
    /// Worker that runs the target.
    pub worker: Name,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Index of the shard that announced the target.
    pub shard: u32,
    /// Whether the target is in the zone of this entry instance.
    pub same_zone: bool,
    /// Maximum number of requests that the target handles at one time.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    /// Shifts which entry instances may use one slot more than others.
    pub share_offset: u32,
    /// Whether the target is about to leave.
    pub leaving: bool,
    /// Number of requests of this entry instance in flight at the target.
    pub in_flight: u32,
    /// Slots that other entry instances used at the last report.
    pub others_in_flight: u32,
    /// Time of the last report; 0 without one.
    pub reported_at: Millis,
    /// Moving average of the latency, in milliseconds.
    pub mean_latency: f64,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Number of consecutive ejections.
    pub ejections: u32,
    /// Time at which the last ejection ends; 0 without one.
    pub ejected_until: Millis,
    /// Time at which the target was first announced or returned from an ejection.
    pub active_since: Millis,
}

impl Target {
    /// Creates a target that has not been used yet.
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

    /// Returns the maximum number of requests that this entry instance may have
    /// in flight at the target.
    ///
    /// The fair shares of all entry instances of the zone sum to the slots of
    /// the target. Which of them get one slot more differs between targets.
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

    /// Returns whether the target can take one more request.
    ///
    /// After an ejection it takes one request at a time until one is answered.
    pub fn is_usable(&self, now: Millis, share: Share, settings: &RouteSettings) -> bool {
        let readmitted = self.ejected_until <= now;
        let probing = self.ejections > 0 && self.in_flight > 0;
        readmitted
            && !probing
            && !self.leaving
            && self.in_flight < self.request_limit(now, share, settings)
    }

    /// Returns a score for the expected latency of one more request; lower is better.
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

    /// Records a complete answer.
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

    /// Records the slots that the target reported as used by requests other
    /// than the one that just ended.
    pub fn update_load(&mut self, now: Millis, busy: Option<u32>) {
        let Some(busy) = busy else { return };
        self.others_in_flight = busy.saturating_sub(self.in_flight);
        self.reported_at = now;
    }

    /// Records a failure, and ejects the target after enough consecutive ones if `can_eject`.
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
