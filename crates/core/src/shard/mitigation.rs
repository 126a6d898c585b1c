//! Mitigation of interference: noisy tasks are throttled, then evicted.
//!
//! An eviction follows only after the throttle had time to take effect. It needs an expected gain
//! above its cost, and evictions are limited per task and per minute.

use super::{AttemptId, ShardScheduler, StopReason};
use crate::{Millis, placement::Band};

/// Time between two checks of the workers.
const CHECK_INTERVAL_MS: Millis = 500;

/// Slowdown of a service from which a neighbour is throttled or evicted.
const HIGH_SLOWDOWN: f32 = 1.25;

/// Slowdown of all services of a worker below which throttles are lifted.
const LOW_SLOWDOWN: f32 = 1.08;

/// Minimum weighted gain for a throttle.
const MIN_THROTTLE_GAIN: f32 = 0.08;

/// Minimum excess of the weighted gain over the weighted cost for an eviction.
const MIN_EVICTION_GAIN: f32 = 0.36;

/// Percentage of its CPU that a throttled task keeps.
const THROTTLED_CPU_PERCENT: u32 = 50;

/// Time that a throttle has to take effect before an eviction.
const THROTTLE_TRIAL_MS: Millis = 3_000;

/// Minimum duration of a throttle.
const MIN_THROTTLE_MS: Millis = 5_000;

/// Minimum run time of a task before an eviction.
const MIN_RUN_MS: Millis = 1_000;

const MINUTE_MS: Millis = 60_000;

impl ShardScheduler {
    /// Throttles or evicts the noisiest task of each worker whose services are slowed.
    pub(super) fn limit_interference(&mut self, now: Millis) {
        if now < self.interference_checked_at + CHECK_INTERVAL_MS {
            return;
        }
        self.interference_checked_at = now;
        while self
            .recent_evictions
            .front()
            .is_some_and(|t| t + MINUTE_MS <= now)
        {
            self.recent_evictions.pop_front();
        }
        if self.settings.policy != crate::placement::PlacementPolicy::Interference {
            return;
        }
        for i in 0..self.workers.len() {
            self.mitigate_worker(now, i);
        }
    }

    fn mitigate_worker(&mut self, now: Millis, i: usize) {
        let mut worst = 1.0f32;
        for r in &self.workers[i].allocations {
            if r.service && r.is_running {
                worst = worst.max(r.slowdown);
            }
        }
        if worst < LOW_SLOWDOWN {
            self.lift_throttles(now, i);
        }
        if worst < HIGH_SLOWDOWN {
            return;
        }
        let Some((id, gain)) = self.noisiest(i) else {
            return;
        };
        let Some(r) = self.workers[i].allocation(id) else {
            return;
        };
        let (class, cpu_percent, changed_at, since) =
            (r.class, r.cpu_percent, r.throttle_changed_at, r.since);
        if cpu_percent == 100 {
            if gain >= MIN_THROTTLE_GAIN {
                self.throttle(now, i, id, THROTTLED_CPU_PERCENT);
            }
            return;
        }
        let has_settled = now >= changed_at + THROTTLE_TRIAL_MS && now >= since + MIN_RUN_MS;
        if has_settled
            && gain >= MIN_EVICTION_GAIN + self.eviction_cost(class)
            && self.may_evict(id, class)
        {
            self.recent_evictions.push_back(now);
            let w = &mut self.workers[i];
            w.dirty = true;
            if let Some(r) = w.allocation_mut(id) {
                r.stop = Some(StopReason::Noisy);
            }
        }
    }

    /// Returns the task that slows the services on a worker most, and the sum of the slowdowns that
    /// it adds, weighted by the classes of the services.
    fn noisiest(&self, i: usize) -> Option<(AttemptId, f32)> {
        let w = &self.workers[i];
        let band = Band::of(w.reserved.load(&w.capacity));
        let mut best: Option<(AttemptId, f32)> = None;
        for r in &w.allocations {
            if r.service || !r.is_running || r.stop.is_some() {
                continue;
            }
            let mut gain = 0.0;
            for victim in &w.allocations {
                if !victim.service {
                    continue;
                }
                let estimate = self.interference.estimate(victim.class, r.class, band);
                if estimate.known {
                    gain += self.slowdown_weight(victim.class) * estimate.added_slowdown;
                }
            }
            if best.is_none_or(|b| gain > b.1) {
                best = Some((r.attempt, gain));
            }
        }
        best
    }

    fn eviction_cost(&self, class: u16) -> f32 {
        let w = &self.classes[usize::from(class)].weights;
        (1.5 * w.evictions + 0.25 * w.throughput) as f32
    }

    fn may_evict(&self, id: AttemptId, class: u16) -> bool {
        let limit = self.classes[usize::from(class)].max_evictions;
        let below_limit = self
            .state
            .active_task(id)
            .is_some_and(|(_, t, _)| t.evictions < limit);
        below_limit && self.recent_evictions.len() < self.settings.evictions_per_minute as usize
    }

    fn throttle(&mut self, now: Millis, i: usize, id: AttemptId, cpu_percent: u32) {
        let w = &mut self.workers[i];
        w.dirty = true;
        if let Some(r) = w.allocation_mut(id) {
            r.cpu_percent = cpu_percent;
            r.throttle_changed_at = now;
        }
    }

    fn lift_throttles(&mut self, now: Millis, i: usize) {
        let mut ids = Vec::new();
        for r in &self.workers[i].allocations {
            if r.cpu_percent < 100 && now >= r.throttle_changed_at + MIN_THROTTLE_MS {
                ids.push(r.attempt);
            }
        }
        for id in ids {
            self.throttle(now, i, id, 100);
        }
    }
}
