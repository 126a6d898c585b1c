//! Requests to services.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use flume::{RecvTimeoutError, Sender};
use gorsespur_core::route::{Arrival, Outcome, RouteAction, RouteEvent};
use gorsespur_peer::AgentState;
use gorsespur_runtime::{
    client::Response,
    metrics::Metrics,
    server::{Incoming, Reply},
};
use gorsespur_wire::fields::{BUSY, LEAVING, OUTCOME, REQUEST_ID, TRIES};

use crate::{
    claims::{Claimed, Claims},
    head::Head,
    ids::Ids,
    reply::{bad, later, plain, with_id},
    router_thread::{ToHandler, ToRouter},
    tries::{Try, passes},
};

/// Messages that may wait for one handler.
const MESSAGES: usize = 16;

/// Time by which a handler waits longer than the deadline for the last word.
const GRACE: Duration = Duration::from_millis(50);

/// When a caller may come again, in milliseconds.
const COME_AGAIN: u64 = 1_000;

/// Forwards requests to targets.
pub(crate) struct Forward {
    pub shared: Arc<AgentState>,
    pub ids: Ids,
    pub router: Sender<ToRouter>,
    pub tries: Sender<Try>,
    pub claims: Claims,
    pub metrics: Metrics,
    pub max: usize,
}

/// What became of a request.
struct Served {
    reply: Reply,
    outcome: Outcome,
}

impl Forward {
    /// Serves a request to `/s/ORGANISATION/SERVICE/...`.
    pub fn serve(&self, req: Incoming, org: &str, service: &str) -> Reply {
        let entry = self.shared.configs().get(org).cloned();
        let Some(entry) = entry else {
            return plain(
                404,
                Outcome::NotRun,
                "no-organisation",
                "no such organisation",
            );
        };
        let Some(found) = entry.template.service(service) else {
            return plain(404, Outcome::NotRun, "no-service", "no such service");
        };
        let head = match Head::check(&req, &entry.template, found, &self.ids) {
            Ok(head) => head,
            Err(reply) => return *reply,
        };
        let limits = &entry.template.limits;
        let arrival = Arrival {
            req: head.number,
            org: head.org.clone(),
            service: head.service.clone(),
            priority: head.priority,
            deadline: self.shared.clock.now() + head.limit.as_millis() as u64,
            repeatable: head.repeatable,
            max_queued: limits.queued_requests,
            retry_percent: limits.retry_percent,
        };
        let id = head.id.clone();
        let began = Instant::now();
        let reply = self.serve_checked(req, head, arrival);
        self.metrics.count("requests", 1);
        self.metrics
            .time("request", began.elapsed().as_millis() as u64);
        with_id(reply, &id)
    }

    fn serve_checked(&self, req: Incoming, head: Head, arrival: Arrival) -> Reply {
        let Some(key) = head.key.clone().filter(|_| !head.repeatable) else {
            return self.run(req, head, arrival).reply;
        };
        let org = head.org.clone();
        let end = Instant::now() + head.limit;
        let claim = match self.claims.claim(&org, &key, &req, end) {
            Claimed::Mine(claim) => claim,
            Claimed::Done(reply) => return reply,
            Claimed::Open => return later(409, Outcome::Unknown, "in-progress", COME_AGAIN),
            Claimed::Other => {
                return bad(422, "idempotency-key", "was used for another request");
            }
            Claimed::Unavailable => {
                return later(503, Outcome::NotRun, "claim-unavailable", COME_AGAIN);
            }
        };
        let served = self.run(req, head, arrival);
        match served.outcome {
            Outcome::Ran => self.claims.finish(&org, &key, &claim, &served.reply),
            Outcome::NotRun => self.claims.release(&org, &key, &claim),
            Outcome::Unknown => {}
        }
        served.reply
    }

    /// Runs a request: does what the router says until there is an answer.
    fn run(&self, req: Incoming, head: Head, arrival: Arrival) -> Served {
        let (tx, rx) = flume::bounded(MESSAGES);
        let end = Instant::now() + head.limit;
        let (head, req) = (Arc::new(head), Arc::new(req));
        let arrive = ToRouter::Arrive {
            arrival,
            reply: tx.clone(),
        };
        if self.router.try_send(arrive).is_err() {
            return refused(503, Outcome::NotRun, "router-busy", COME_AGAIN);
        }
        let mut tries = 0;
        let mut hedge = None;
        loop {
            let last = end + GRACE;
            let wake = hedge.unwrap_or(last).min(last);
            let left = wake.saturating_duration_since(Instant::now());
            match rx.recv_timeout(left) {
                Ok(ToHandler::Command(RouteAction::Send {
                    attempt,
                    addr,
                    hedge_after: after,
                    ..
                })) => {
                    tries = attempt;
                    let one = Try {
                        head: head.clone(),
                        request: req.clone(),
                        attempt,
                        addr,
                        end,
                        max: self.max,
                        router: self.router.clone(),
                        reply: tx.clone(),
                    };
                    hedge = None;
                    if after == 0 {
                        one.run();
                        continue;
                    }
                    if attempt == 1 {
                        hedge = Some(Instant::now() + Duration::from_millis(after));
                    }
                    if let Err(err) = self.tries.try_send(one) {
                        let (flume::TrySendError::Full(one)
                        | flume::TrySendError::Disconnected(one)) = err;
                        one.run();
                    }
                }
                Ok(ToHandler::Command(RouteAction::Refuse {
                    outcome,
                    why,
                    retry_after: after,
                    ..
                })) => {
                    let status = if outcome == Outcome::Unknown {
                        502
                    } else {
                        503
                    };
                    return refused(status, outcome, why.as_str(), after);
                }
                Ok(ToHandler::Tried(Some(answer))) => return answered(*answer, tries),
                Ok(ToHandler::Tried(None)) => {}
                Err(RecvTimeoutError::Timeout) if hedge.take().is_some() => {
                    let event = RouteEvent::Hedge { req: head.number };
                    let _ = self.router.try_send(ToRouter::Event(event));
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    let outcome = if tries > 0 {
                        Outcome::Unknown
                    } else {
                        Outcome::NotRun
                    };
                    return refused(504, outcome, "deadline", COME_AGAIN);
                }
            }
        }
    }
}

fn refused(status: u16, outcome: Outcome, why: &str, after: u64) -> Served {
    Served {
        reply: later(status, outcome, why, after),
        outcome,
    }
}

/// Passes a target's answer on.
fn answered(answer: Response, tries: u32) -> Served {
    let mut reply = Reply::new(answer.status, answer.body);
    for f in answer.headers {
        let own = [OUTCOME, BUSY, LEAVING, TRIES, REQUEST_ID].contains(&&*f.name);
        if own || !passes(&f.name) || f.name == "date" || f.name == "server" {
            continue;
        }
        reply.headers.push(f);
    }
    let reply = reply
        .header(OUTCOME, Outcome::Ran.as_str())
        .header(TRIES, tries.to_string());
    Served {
        reply,
        outcome: Outcome::Ran,
    }
}
