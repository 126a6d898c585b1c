//! Single attempts of a request at a target.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use flume::{Receiver, Sender};
use gorsespur_core::{
    Millis,
    route::{AttemptOutcome, Outcome, RouteEvent},
};
use gorsespur_runtime::{
    client::{Call, CallError, Response, find_header},
    server::Incoming,
};
use gorsespur_wire::fields::{BUSY, DEADLINE, LEAVING, OUTCOME, PRIORITY, REPEATABLE, REQUEST_ID};

use crate::{
    head::Head,
    router_thread::{HandlerMessage, RouterMessage},
};

/// Hop-by-hop header fields, which concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "proxy-authorization",
    "host",
];

/// Returns whether a header field is forwarded.
pub(crate) fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name)
}

/// An attempt to send a request to the target at `addr`.
pub(crate) struct Attempt {
    pub head: Arc<Head>,
    pub request: Arc<Incoming>,
    pub attempt: u32,
    pub addr: SocketAddr,
    pub deadline: Instant,
    pub max_answer_bytes: usize,
    pub router: Sender<RouterMessage>,
    pub reply: Sender<HandlerMessage>,
}

/// Starts the threads that make attempts while their handlers wait.
pub(crate) fn start(threads: usize) -> io::Result<Sender<Attempt>> {
    let (tx, rx): (Sender<Attempt>, Receiver<Attempt>) = flume::bounded(threads);
    for i in 0..threads {
        let rx = rx.clone();
        thread::Builder::new()
            .name(format!("try-{i}"))
            .spawn(move || {
                for attempt in rx.iter() {
                    attempt.run();
                }
            })?;
    }
    Ok(tx)
}

impl Attempt {
    /// Makes the attempt, then sends the answer to the handler and the outcome to
    /// the router.
    pub fn run(self) {
        let started = Instant::now();
        let (end, answer) = self.send(started);
        let event = RouteEvent::Ended {
            req: self.head.number,
            attempt: self.attempt,
            end,
        };
        let is_answered = matches!(end, AttemptOutcome::Answered { .. });
        let _ = self
            .reply
            .try_send(HandlerMessage::AttemptEnded(answer.filter(|_| is_answered)));
        let _ = self.router.send(RouterMessage::Event(event));
    }

    fn send(&self, started: Instant) -> (AttemptOutcome, Option<Box<Response>>) {
        let left = self.deadline.saturating_duration_since(started);
        if left.is_zero() {
            return (AttemptOutcome::NotSent, None);
        }
        match self.call(left).send() {
            Ok(answer) => self.classify(started, answer),
            Err(CallError::NotSent) => (AttemptOutcome::NotSent, None),
            Err(CallError::Timeout | CallError::Broken | CallError::TooLong) => {
                (AttemptOutcome::Failed, None)
            }
        }
    }

    fn call(&self, left: Duration) -> Call {
        let request = &self.request;
        let path = match request.query.is_empty() {
            true => request.path.clone(),
            false => format!("{}?{}", request.path, request.query),
        };
        let mut call = Call::new(&request.method, self.addr, &path)
            .body(request.body.clone())
            .timeout(left)
            .max_body(self.max_answer_bytes)
            .header(REQUEST_ID, self.head.id.clone())
            .header(DEADLINE, left.as_millis().max(1).to_string())
            .header(REPEATABLE, if self.head.repeatable { "yes" } else { "no" });
        for field in &request.headers {
            let is_own = [REQUEST_ID, DEADLINE, REPEATABLE].contains(&&*field.name);
            if is_own || !is_forwarded(&field.name) || field.name == PRIORITY {
                continue;
            }
            call = call.header(&field.name, field.value.clone());
        }
        call
    }

    /// Classifies a complete answer.
    ///
    /// An answer without this request's id counts as a failure, since it belongs
    /// to another request or does not come from a target.
    fn classify(
        &self,
        started: Instant,
        answer: Response,
    ) -> (AttemptOutcome, Option<Box<Response>>) {
        let busy = find_header(&answer.headers, BUSY).and_then(|b| b.parse().ok());
        let leaving = find_header(&answer.headers, LEAVING) == Some("yes");
        if find_header(&answer.headers, REQUEST_ID) != Some(&*self.head.id) {
            return (AttemptOutcome::Failed, None);
        }
        let outcome = find_header(&answer.headers, OUTCOME).and_then(Outcome::parse);
        if outcome == Some(Outcome::NotRun) {
            return (AttemptOutcome::Declined { busy, leaving }, None);
        }
        let took = started.elapsed().as_millis() as Millis;
        (
            AttemptOutcome::Answered { took, busy },
            Some(Box::new(answer)),
        )
    }
}
