//! The state machine of the router.

use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use super::{
    AttemptOutcome, Budget, Outcome, Refusal, RouteAction, RouteEvent, RouteSettings, Share,
    Target, TargetList,
    request::{QueueEntry, Request},
};
use crate::{Millis, name::Name};

/// Time after which a caller may retry a refused request.
pub(super) const RETRY_AFTER_MS: Millis = 1_000;

/// Weight of a new value in the moving average of a service's latency.
const LATENCY_SMOOTHING: f64 = 0.05;

/// Targets and queued requests of a service.
#[derive(Debug)]
pub(super) struct Service {
    pub org: Name,
    pub name: Name,
    /// Sorted by worker.
    pub targets: Vec<Target>,
    /// Sorted in the order of service.
    pub queued: Vec<QueueEntry>,
    /// Moving average of the latency of answers, in milliseconds.
    pub mean_latency: f64,
    /// Index of the last target that the round-robin policy chose.
    pub last_target: usize,
}

/// Usage of this instance by an organisation.
#[derive(Debug)]
pub(super) struct OrgUsage {
    pub org: Name,
    pub open_requests: usize,
    pub queued: usize,
    pub retries: Budget,
    pub hedges: Budget,
}

/// Epoch and version of the target list that was last applied for a shard.
#[derive(Debug)]
struct ListVersion {
    shard: u32,
    epoch: u64,
    version: u64,
}

/// Counters since the start of the router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts that were sent.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Hedged attempts that were sent.
    pub hedges: u64,
    /// Ejections of targets.
    pub ejections: u64,
}

/// Routes the requests of one entry instance.
#[derive(Debug)]
pub struct Router {
    pub(super) settings: RouteSettings,
    pub(super) rng: SmallRng,
    pub(super) services: Vec<Service>,
    pub(super) orgs: Vec<OrgUsage>,
    pub(super) requests: Vec<Request>,
    pub(super) share: Share,
    pub(super) actions: Vec<RouteAction>,
    pub(super) counts: RouteCounts,
    list_versions: Vec<ListVersion>,
    leaving_workers: Vec<Name>,
}

impl Router {
    /// Creates a router without targets; `seed` seeds its random choices.
    pub fn new(settings: RouteSettings, seed: u64) -> Router {
        Router {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            services: Vec::new(),
            orgs: Vec::new(),
            requests: Vec::new(),
            share: Share {
                entries: 1,
                rank: 0,
            },
            actions: Vec::new(),
            counts: RouteCounts::default(),
            list_versions: Vec::new(),
            leaving_workers: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, now: Millis, event: &RouteEvent) -> Vec<RouteAction> {
        match event {
            RouteEvent::Arrive(a) => self.admit(now, a),
            RouteEvent::Ended { req, attempt, end } => self.end_attempt(now, *req, *attempt, *end),
            RouteEvent::Hedge { req } => self.hedge(now, *req),
            RouteEvent::Targets(list) => self.update_targets(now, list),
            RouteEvent::Leaving(names) => self.set_leaving(names),
            RouteEvent::Entries(share) => self.share = *share,
            RouteEvent::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the counters since the start of the router.
    pub fn counts(&self) -> RouteCounts {
        self.counts
    }

    /// Returns the number of queued requests.
    pub fn waiting_requests(&self) -> usize {
        self.services.iter().map(|s| s.queued.len()).sum()
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the epoch and version of the target list applied for a shard.
    pub fn list_version(&self, shard: u32) -> Option<(u64, u64)> {
        let i = self
            .list_versions
            .binary_search_by_key(&shard, |k| k.shard)
            .ok()?;
        Some((self.list_versions[i].epoch, self.list_versions[i].version))
    }

    /// Returns the targets of a service, sorted by worker.
    pub fn targets(&self, org: &str, service: &str) -> &[Target] {
        let found = self
            .services
            .iter()
            .find(|s| *s.org == *org && *s.name == *service);
        found.map_or(&[], |s| &s.targets)
    }

    pub(super) fn service_index(&self, org: &str, name: &str) -> Option<usize> {
        self.services
            .binary_search_by(|s| (&*s.org, &*s.name).cmp(&(org, name)))
            .ok()
    }

    fn find_or_add_service(&mut self, org: &Name, name: &Name) -> usize {
        let found = self
            .services
            .binary_search_by(|s| (&*s.org, &*s.name).cmp(&(&**org, &**name)));
        let Err(i) = found else {
            return found.unwrap_or(0);
        };
        let service = Service {
            org: org.clone(),
            name: name.clone(),
            targets: Vec::new(),
            queued: Vec::new(),
            mean_latency: 5.0,
            last_target: 0,
        };
        self.services.insert(i, service);
        for r in &mut self.requests {
            r.service += usize::from(r.service >= i);
        }
        i
    }

    pub(super) fn org_usage(&mut self, org: &Name) -> &mut OrgUsage {
        let i = match self.orgs.binary_search_by(|o| o.org.cmp(org)) {
            Ok(i) => i,
            Err(i) => {
                let new = OrgUsage {
                    org: org.clone(),
                    open_requests: 0,
                    queued: 0,
                    retries: Budget::default(),
                    hedges: Budget::default(),
                };
                self.orgs.insert(i, new);
                i
            }
        };
        &mut self.orgs[i]
    }

    fn update_targets(&mut self, now: Millis, list: &TargetList) {
        let new = ListVersion {
            shard: list.shard,
            epoch: list.epoch,
            version: list.version,
        };
        match self
            .list_versions
            .binary_search_by_key(&list.shard, |k| k.shard)
        {
            Ok(i) => {
                let old = &self.list_versions[i];
                if (old.epoch, old.version) >= (new.epoch, new.version) {
                    return;
                }
                self.list_versions[i] = new;
            }
            Err(i) => self.list_versions.insert(i, new),
        }
        for s in &mut self.services {
            s.targets.retain(|t| {
                t.shard != list.shard
                    || list.targets.iter().any(|n| {
                        n.worker == t.worker
                            && n.addr == t.addr
                            && n.org == s.org
                            && n.service == s.name
                    })
            });
        }
        for info in &list.targets {
            let s = self.find_or_add_service(&info.org, &info.service);
            let leaving = self.leaving_workers.binary_search(&info.worker).is_ok();
            let targets = &mut self.services[s].targets;
            match targets.binary_search_by(|t| t.worker.cmp(&info.worker)) {
                Ok(i) => {
                    targets[i].slots = info.slots;
                    targets[i].connections = info.connections;
                    targets[i].leaving = info.leaving || leaving;
                }
                Err(i) => {
                    let mut target = Target::new(info, list.shard, list.same_zone, now);
                    target.leaving |= leaving;
                    targets.insert(i, target);
                }
            }
        }
        self.dispatch_all(now);
    }

    fn set_leaving(&mut self, names: &[Name]) {
        self.leaving_workers = names.to_vec();
        self.leaving_workers.sort();
        for s in &mut self.services {
            for t in &mut s.targets {
                t.leaving |= self.leaving_workers.binary_search(&t.worker).is_ok();
            }
        }
    }

    fn end_attempt(&mut self, now: Millis, req: u64, attempt: u32, end: AttemptOutcome) {
        let Ok(i) = self.requests.binary_search_by_key(&req, |r| r.req) else {
            return;
        };
        let r = &mut self.requests[i];
        let Some(k) = r.in_flight.iter().position(|o| o.0 == attempt) else {
            return;
        };
        let (_, worker) = r.in_flight.swap_remove(k);
        let service = r.service;
        self.record_attempt_end(now, service, &worker, end);
        match end {
            AttemptOutcome::Answered { .. } => self.close_request(i),
            AttemptOutcome::NotSent | AttemptOutcome::Declined { .. } => {
                self.requests[i].failed_on.push(worker);
                self.retry(now, i, end);
            }
            AttemptOutcome::Failed => {
                self.requests[i].failed_on.push(worker);
                self.requests[i].may_have_run = true;
                self.retry(now, i, end);
            }
        }
        self.dispatch(now, service);
    }

    fn record_attempt_end(
        &mut self,
        now: Millis,
        service: usize,
        worker: &Name,
        end: AttemptOutcome,
    ) {
        let can_eject = self.can_eject(now, service);
        let settings = &self.settings;
        let s = &mut self.services[service];
        let Ok(t) = s.targets.binary_search_by(|t| t.worker.cmp(worker)) else {
            return;
        };
        let t = &mut s.targets[t];
        t.in_flight = t.in_flight.saturating_sub(1);
        match end {
            AttemptOutcome::Answered { took, busy } => {
                t.record_answer(now, took, busy);
                s.mean_latency += LATENCY_SMOOTHING * (took as f64 - s.mean_latency);
            }
            AttemptOutcome::Declined { busy, leaving } => {
                t.update_load(now, busy);
                t.leaving |= leaving;
                if busy.is_none() && !leaving {
                    t.record_failure(now, settings, can_eject);
                }
            }
            AttemptOutcome::NotSent | AttemptOutcome::Failed => {
                let before = t.ejections;
                t.record_failure(now, settings, can_eject);
                self.counts.ejections += u64::from(t.ejections > before);
            }
        }
    }

    /// Returns whether one more target of a service may be ejected.
    fn can_eject(&self, now: Millis, service: usize) -> bool {
        let targets = &self.services[service].targets;
        let in_zone = targets.iter().filter(|t| t.same_zone).count();
        let ejected = targets
            .iter()
            .filter(|t| t.same_zone && t.ejected_until > now)
            .count();
        (ejected + 1) * 100 <= in_zone * self.settings.max_ejected_percent as usize
    }

    /// Closes a request; it is dropped once no attempt is in flight.
    fn close_request(&mut self, i: usize) {
        let r = &mut self.requests[i];
        r.deadline = 0;
        if r.in_flight.is_empty() {
            self.drop_request(i);
        }
    }

    pub(super) fn drop_request(&mut self, i: usize) {
        let r = self.requests.remove(i);
        let org = self.services[r.service].org.clone();
        let o = self.org_usage(&org);
        o.open_requests = o.open_requests.saturating_sub(1);
    }

    /// Refuses an open request immediately.
    pub(super) fn refuse(&mut self, i: usize, why: Refusal) {
        let r = &self.requests[i];
        let outcome = if r.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.counts.refused += 1;
        self.actions.push(RouteAction::Refuse {
            req: r.req,
            outcome,
            why,
            retry_after: RETRY_AFTER_MS,
        });
        self.close_request(i);
    }

    fn tick(&mut self, now: Millis) {
        for s in 0..self.services.len() {
            self.expire(now, s);
            self.dispatch(now, s);
        }
    }

    fn dispatch_all(&mut self, now: Millis) {
        for s in 0..self.services.len() {
            self.dispatch(now, s);
        }
    }
}
