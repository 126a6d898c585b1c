//! Admission control: whether a request is sent, queued, retried or refused.

use super::{
    Arrival, AttemptOutcome, Refusal, RoutePolicy, Router,
    request::{QueueEntry, Request},
    router::RETRY_AFTER_MS,
};
use crate::{
    Millis,
    route::{Outcome, RouteAction},
};

/// Factor on the mean latency of a service; a request with less time left before its deadline is
/// neither kept in the queue nor retried.
const MIN_TIME_FACTOR: f64 = 1.0;

/// Converts retry percentages of templates to the thousandths that budgets use.
const PERMILLE_PER_PERCENT: u32 = 10;

impl Router {
    pub(super) fn admit(&mut self, now: Millis, a: &Arrival) {
        self.counts.requests += 1;
        let max_requests = self.settings.max_org_requests;
        let hedge_permille = self.settings.hedge_permille;
        let org = self.org_usage(&a.org);
        org.retries.deposit(a.retry_percent * PERMILLE_PER_PERCENT);
        org.hedges.deposit(hedge_permille);
        let (open, queued) = (org.open_requests, org.queued);
        let Some(service) = self.service_index(&a.org, &a.service) else {
            return self.refuse_arrival(a.req, Refusal::NoTarget);
        };
        if self.services[service].targets.iter().all(|t| t.leaving) {
            return self.refuse_arrival(a.req, Refusal::NoTarget);
        }
        if open >= max_requests {
            return self.refuse_arrival(a.req, Refusal::OverShare);
        }
        let request = Request {
            req: a.req,
            service,
            priority: a.priority,
            deadline: a.deadline,
            repeatable: a.repeatable,
            attempts: 0,
            in_flight: Vec::new(),
            failed_on: Vec::new(),
            may_have_run: false,
        };
        let Err(i) = self.requests.binary_search_by_key(&a.req, |r| r.req) else {
            return self.refuse_arrival(a.req, Refusal::QueueFull);
        };
        self.requests.insert(i, request);
        self.org_usage(&a.org).open_requests += 1;
        let queue_is_empty = self.services[service].queued.is_empty();
        let ahead = self.queued_ahead(service, a.priority);
        if (queue_is_empty || ahead == 0) && self.send(now, i) {
            return;
        }
        if queued >= a.max_queued as usize && !self.displace(service, a) {
            return self.refuse(i, Refusal::QueueFull);
        }
        let Ok(i) = self.requests.binary_search_by_key(&a.req, |r| r.req) else {
            return;
        };
        let wait = self.expected_wait(now, service, ahead);
        if now as f64 + wait > a.deadline as f64 {
            return self.refuse(i, Refusal::TooLate);
        }
        self.enqueue(i);
    }

    /// Refuses a request that is not recorded as open.
    fn refuse_arrival(&mut self, req: u64, why: Refusal) {
        self.counts.refused += 1;
        self.actions.push(RouteAction::Refuse {
            req,
            outcome: Outcome::NotRun,
            why,
            retry_after: RETRY_AFTER_MS,
        });
    }

    /// Returns the number of queued requests that precede a new one of `priority`.
    fn queued_ahead(&self, service: usize, priority: crate::template::Priority) -> usize {
        let queued = &self.services[service].queued;
        queued.partition_point(|e| e.priority <= priority)
    }

    /// Refuses the last queued request if its priority is lower than that of `a`.
    fn displace(&mut self, service: usize, a: &Arrival) -> bool {
        let Some(last) = self.services[service].queued.last().copied() else {
            return false;
        };
        if last.priority <= a.priority {
            return false;
        }
        self.dequeue(service, last);
        let Ok(i) = self.requests.binary_search_by_key(&last.req, |r| r.req) else {
            return false;
        };
        self.refuse(i, Refusal::QueueFull);
        true
    }

    /// Returns the expected time until a request behind `ahead` others is answered.
    fn expected_wait(&self, now: Millis, service: usize, ahead: usize) -> f64 {
        let s = &self.services[service];
        let mut capacity = 0;
        for t in &s.targets {
            if t.ejected_until <= now && !t.leaving {
                capacity += t.request_limit(now, self.share, &self.settings);
            }
        }
        let rounds = (ahead + 1) as f64 / f64::from(capacity.max(1));
        s.mean_latency * (1.0 + rounds)
    }

    fn enqueue(&mut self, i: usize) {
        let r = &self.requests[i];
        let entry = QueueEntry {
            priority: r.priority,
            deadline: r.deadline,
            req: r.req,
        };
        let s = &mut self.services[r.service];
        let Err(k) = s.queued.binary_search(&entry) else {
            return;
        };
        s.queued.insert(k, entry);
        let org = s.org.clone();
        self.org_usage(&org).queued += 1;
    }

    pub(super) fn dequeue(&mut self, service: usize, entry: QueueEntry) {
        let s = &mut self.services[service];
        let Ok(k) = s.queued.binary_search(&entry) else {
            return;
        };
        s.queued.remove(k);
        let org = s.org.clone();
        let o = self.org_usage(&org);
        o.queued = o.queued.saturating_sub(1);
    }

    /// Sends queued requests while there are targets for them.
    pub(super) fn dispatch(&mut self, now: Millis, service: usize) {
        while let Some(entry) = self.services[service].queued.first().copied() {
            let Ok(i) = self.requests.binary_search_by_key(&entry.req, |r| r.req) else {
                self.dequeue(service, entry);
                continue;
            };
            if !self.send(now, i) {
                return;
            }
            self.dequeue(service, entry);
        }
    }

    /// Refuses queued requests that can no longer be answered before their deadline.
    pub(super) fn expire(&mut self, now: Millis, service: usize) {
        let mean = self.services[service].mean_latency;
        let late = |e: &QueueEntry| now as f64 + mean * MIN_TIME_FACTOR > e.deadline as f64;
        let mut expired = Vec::new();
        for entry in &self.services[service].queued {
            if late(entry) {
                expired.push(*entry);
            }
        }
        for entry in expired {
            self.dequeue(service, entry);
            if let Ok(i) = self.requests.binary_search_by_key(&entry.req, |r| r.req) {
                self.refuse(i, Refusal::TooLate);
            }
        }
    }

    /// Retries or refuses a request after an attempt that did not answer it.
    pub(super) fn retry(&mut self, now: Millis, i: usize, end: AttemptOutcome) {
        let r = &self.requests[i];
        if r.deadline == 0 || !r.in_flight.is_empty() {
            if r.deadline == 0 && r.in_flight.is_empty() {
                self.drop_request(i);
            }
            return;
        }
        let can_repeat = !r.may_have_run || r.repeatable;
        let late = now as f64 + self.services[r.service].mean_latency * MIN_TIME_FACTOR
            > r.deadline as f64;
        if !can_repeat || r.attempts >= self.settings.max_attempts || late {
            return self.refuse(i, Refusal::Failed);
        }
        let target_was_full = matches!(end, AttemptOutcome::Declined { busy: Some(_), .. });
        let skips_budget = target_was_full || self.settings.policy == RoutePolicy::RoundRobin;
        let org = self.services[r.service].org.clone();
        if !skips_budget && !self.org_usage(&org).retries.try_withdraw() {
            return self.refuse(i, Refusal::Failed);
        }
        if !self.send(now, i) {
            self.enqueue(i);
        }
    }

    /// Sends a hedged attempt beside the first one, within the hedging budget.
    pub(super) fn hedge(&mut self, now: Millis, req: u64) {
        let Ok(i) = self.requests.binary_search_by_key(&req, |r| r.req) else {
            return;
        };
        let r = &self.requests[i];
        let single_attempt = r.in_flight.len() == 1 && r.deadline > now;
        if !single_attempt || !r.repeatable || r.attempts >= self.settings.max_attempts {
            return;
        }
        let service = r.service;
        let org = self.services[service].org.clone();
        if !self.services[service].queued.is_empty() || !self.org_usage(&org).hedges.try_withdraw()
        {
            return;
        }
        if self.send(now, i) {
            self.counts.hedges += 1;
        }
    }
}
