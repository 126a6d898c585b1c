//! Forwarding of requests to services.

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
    attempts::{Attempt, is_forwarded},
    claims::{Claimed, Claims},
    head::Head,
    ids::Ids,
    reply::{bad_request, error_reply, retry_later, with_id},
    router_thread::{HandlerMessage, RouterMessage},
};

/// Maximum number of messages that wait for one handler.
const QUEUE_CAPACITY: usize = 16;

/// Time after the deadline for which a handler still waits for the router's
/// decision or the target's answer.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Delay after which a caller may retry.
const RETRY_AFTER_MS: u64 = 1_000;

/// Forwards requests of callers to targets.
pub(crate) struct Forwarder {
    pub shared: Arc<AgentState>,
    pub ids: Ids,
    pub router: Sender<RouterMessage>,
    pub attempts: Sender<Attempt>,
    pub claims: Claims,
    pub metrics: Metrics,
    pub max_answer_bytes: usize,
}

/// The reply to a request and its outcome.
struct Served {
    reply: Reply,
    outcome: Outcome,
}

impl Forwarder {
    /// Serves a request to `/s/ORGANISATION/SERVICE/...`.
    pub fn serve(&self, req: Incoming, org: &str, service: &str) -> Reply {
        let entry = self.shared.configs().get(org).cloned();
        let Some(entry) = entry else {
            return error_reply(
                404,
                Outcome::NotRun,
                "no-organisation",
                "no such organisation",
            );
        };
        let Some(service) = entry.template.service(service) else {
            return error_reply(404, Outcome::NotRun, "no-service", "no such service");
        };
        let head = match Head::check(&req, &entry.template, service, &self.ids) {
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
        let started = Instant::now();
        let reply = self.serve_checked(req, head, arrival);
        self.metrics.count("requests", 1);
        self.metrics
            .time("request", started.elapsed().as_millis() as u64);
        with_id(reply, &id)
    }

    fn serve_checked(&self, req: Incoming, head: Head, arrival: Arrival) -> Reply {
        let Some(key) = head.key.clone().filter(|_| !head.repeatable) else {
            return self.run(req, head, arrival).reply;
        };
        let org = head.org.clone();
        let deadline = Instant::now() + head.limit;
        let claim = match self.claims.claim(&org, &key, &req, deadline) {
            Claimed::Own(claim) => claim,
            Claimed::Finished(reply) => return reply,
            Claimed::Unfinished => {
                return retry_later(409, Outcome::Unknown, "in-progress", RETRY_AFTER_MS);
            }
            Claimed::KeyReused => {
                return bad_request(422, "idempotency-key", "was used for another request");
            }
            Claimed::Unavailable => {
                return retry_later(503, Outcome::NotRun, "claim-unavailable", RETRY_AFTER_MS);
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

    /// Runs a request: carries out the router's commands until the request is
    /// answered, refused or past its deadline.
    ///
    /// An attempt that may be hedged runs on another thread, so that this handler
    /// can ask the router for a second attempt.
    fn run(&self, req: Incoming, head: Head, arrival: Arrival) -> Served {
        let (tx, rx) = flume::bounded(QUEUE_CAPACITY);
        let deadline = Instant::now() + head.limit;
        let (head, req) = (Arc::new(head), Arc::new(req));
        let arrive = RouterMessage::Arrive {
            arrival,
            reply: tx.clone(),
        };
        if self.router.try_send(arrive).is_err() {
            return refuse(503, Outcome::NotRun, "router-busy", RETRY_AFTER_MS);
        }
        let mut attempts = 0;
        let mut hedge_at = None;
        loop {
            let give_up_at = deadline + DEADLINE_GRACE;
            let wake_at = hedge_at.unwrap_or(give_up_at).min(give_up_at);
            let left = wake_at.saturating_duration_since(Instant::now());
            match rx.recv_timeout(left) {
                Ok(HandlerMessage::Command(RouteAction::Send {
                    attempt,
                    addr,
                    hedge_after,
                    ..
                })) => {
                    attempts = attempt;
                    let next_attempt = Attempt {
                        head: head.clone(),
                        request: req.clone(),
                        attempt,
                        addr,
                        deadline,
                        max_answer_bytes: self.max_answer_bytes,
                        router: self.router.clone(),
                        reply: tx.clone(),
                    };
                    hedge_at = None;
                    if hedge_after == 0 {
                        next_attempt.run();
                        continue;
                    }
                    if attempt == 1 {
                        hedge_at = Some(Instant::now() + Duration::from_millis(hedge_after));
                    }
                    if let Err(err) = self.attempts.try_send(next_attempt) {
                        let (flume::TrySendError::Full(next_attempt)
                        | flume::TrySendError::Disconnected(next_attempt)) = err;
                        next_attempt.run();
                    }
                }
                Ok(HandlerMessage::Command(RouteAction::Refuse {
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
                    return refuse(status, outcome, why.as_str(), after);
                }
                Ok(HandlerMessage::AttemptEnded(Some(answer))) => {
                    return pass_answer(*answer, attempts);
                }
                Ok(HandlerMessage::AttemptEnded(None)) => {}
                Err(RecvTimeoutError::Timeout) if hedge_at.take().is_some() => {
                    let event = RouteEvent::Hedge { req: head.number };
                    let _ = self.router.try_send(RouterMessage::Event(event));
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    let outcome = if attempts > 0 {
                        Outcome::Unknown
                    } else {
                        Outcome::NotRun
                    };
                    return refuse(504, outcome, "deadline", RETRY_AFTER_MS);
                }
            }
        }
    }
}

fn refuse(status: u16, outcome: Outcome, why: &str, after: u64) -> Served {
    Served {
        reply: retry_later(status, outcome, why, after),
        outcome,
    }
}

/// Returns the target's answer as the reply, without hop-by-hop header fields and
/// those that the entry sets itself.
fn pass_answer(answer: Response, attempts: u32) -> Served {
    let mut reply = Reply::new(answer.status, answer.body);
    for field in answer.headers {
        let is_own = [OUTCOME, BUSY, LEAVING, TRIES, REQUEST_ID].contains(&&*field.name);
        if is_own || !is_forwarded(&field.name) || field.name == "date" || field.name == "server" {
            continue;
        }
        reply.headers.push(field);
    }
    let reply = reply
        .header(OUTCOME, Outcome::Ran.as_str())
        .header(TRIES, attempts.to_string());
    Served {
        reply,
        outcome: Outcome::Ran,
    }
}
