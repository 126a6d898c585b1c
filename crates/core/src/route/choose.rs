//! Target selection.

use rand::Rng;

use super::{RouteAction, RoutePolicy, Router};
use crate::{Millis, name::Name};

/// Number of random targets that are probed before all targets are scanned.
const MAX_PROBES: usize = 6;

/// Factor on the mean latency of a service after which a hedged attempt is requested.
const HEDGE_FACTOR: f64 = 4.0;

/// Minimum time before a hedged attempt.
const MIN_HEDGE_MS: Millis = 20;

impl Router {
    /// Sends a request if a target can take it; returns whether it was sent.
    pub(super) fn send(&mut self, now: Millis, i: usize) -> bool {
        let service = self.requests[i].service;
        let chosen = match self.settings.policy {
            RoutePolicy::RoundRobin => self.next_round_robin(service),
            RoutePolicy::TwoChoices => self.better_of_two(now, i),
        };
        let Some(t) = chosen else { return false };
        let hedge_after = self.hedge_after(i);
        let target = &mut self.services[service].targets[t];
        target.in_flight += 1;
        let (worker, addr) = (target.worker.clone(), target.addr);
        let r = &mut self.requests[i];
        r.attempts += 1;
        r.in_flight.push((r.attempts, worker.clone()));
        self.counts.attempts += 1;
        self.actions.push(RouteAction::Send {
            req: r.req,
            attempt: r.attempts,
            worker,
            addr,
            hedge_after,
        });
        true
    }

    fn hedge_after(&self, i: usize) -> Millis {
        let r = &self.requests[i];
        if !r.repeatable || self.settings.hedge_permille == 0 {
            return 0;
        }
        let mean = self.services[r.service].mean_latency;
        ((mean * HEDGE_FACTOR) as Millis).max(MIN_HEDGE_MS)
    }

    fn next_round_robin(&mut self, service: usize) -> Option<usize> {
        let s = &mut self.services[service];
        let n = s.targets.len();
        for _ in 0..n {
            s.last_target = (s.last_target + 1) % n;
            if s.targets[s.last_target].same_zone && !s.targets[s.last_target].leaving {
                return Some(s.last_target);
            }
        }
        None
    }

    /// Returns the better of two usable targets; targets of other zones are used
    /// only when no target of this zone can take the request.
    fn better_of_two(&mut self, now: Millis, i: usize) -> Option<usize> {
        for same_zone in [true, false] {
            let mut picked = Vec::with_capacity(2);
            self.probe(now, i, same_zone, &mut picked);
            if picked.len() < 2 {
                picked = self.scan(now, i, same_zone);
            }
            let targets = &self.services[self.requests[i].service].targets;
            let score = |t: &usize| targets[*t].expected_latency(now, &self.settings);
            let best = picked
                .into_iter()
                .min_by(|a, b| score(a).total_cmp(&score(b)));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    fn can_take(&self, now: Millis, i: usize, t: usize, same_zone: bool) -> bool {
        let r = &self.requests[i];
        let target = &self.services[r.service].targets[t];
        let tried = |w: &Name| *w == target.worker;
        target.same_zone == same_zone
            && target.is_usable(now, self.share, &self.settings)
            && !r.failed_on.iter().any(tried)
            && !r.in_flight.iter().any(|o| tried(&o.1))
    }

    fn probe(&mut self, now: Millis, i: usize, same_zone: bool, picked: &mut Vec<usize>) {
        let n = self.services[self.requests[i].service].targets.len();
        if n == 0 {
            return;
        }
        for _ in 0..MAX_PROBES {
            let t = self.rng.random_range(0..n);
            if picked.contains(&t) || !self.can_take(now, i, t, same_zone) {
                continue;
            }
            picked.push(t);
            if picked.len() == 2 {
                return;
            }
        }
    }

    /// Returns two targets picked at random from all usable ones.
    fn scan(&mut self, now: Millis, i: usize, same_zone: bool) -> Vec<usize> {
        let n = self.services[self.requests[i].service].targets.len();
        let mut usable = Vec::new();
        for t in 0..n {
            if self.can_take(now, i, t, same_zone) {
                usable.push(t);
            }
        }
        if usable.len() <= 2 {
            return usable;
        }
        let a = self.rng.random_range(0..usable.len());
        let b = (a + self.rng.random_range(1..usable.len())) % usable.len();
        vec![usable[a], usable[b]]
    }
}
