//! Single tries at targets.

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
    router_thread::{ToHandler, ToRouter},
};

/// Fields that concern one connection only.
const HOP: [&str; 9] = [
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

/// Tells whether a field is passed on.
pub(crate) fn passes(name: &str) -> bool {
    !HOP.contains(&name)
}

/// A try to be made.
pub(crate) struct Try {
    pub head: Arc<Head>,
    pub request: Arc<Incoming>,
    pub attempt: u32,
    pub addr: SocketAddr,
    pub end: Instant,
    pub max: usize,
    pub router: Sender<ToRouter>,
    pub reply: Sender<ToHandler>,
}

/// Starts the threads that make tries beside their handlers.
pub(crate) fn start(threads: usize) -> io::Result<Sender<Try>> {
    let (tx, rx): (Sender<Try>, Receiver<Try>) = flume::bounded(threads);
    for i in 0..threads {
        let rx = rx.clone();
        thread::Builder::new()
            .name(format!("try-{i}"))
            .spawn(move || {
                for t in rx.iter() {
                    t.run();
                }
            })?;
    }
    Ok(tx)
}

impl Try {
    /// Makes the try, tells the router how it ended, and the handler the answer.
    pub fn run(self) {
        let began = Instant::now();
        let (end, answer) = self.send(began);
        let event = RouteEvent::Ended {
            req: self.head.number,
            attempt: self.attempt,
            end,
        };
        let whole = matches!(end, AttemptOutcome::Answered { .. });
        let _ = self
            .reply
            .try_send(ToHandler::Tried(answer.filter(|_| whole)));
        let _ = self.router.send(ToRouter::Event(event));
    }

    fn send(&self, began: Instant) -> (AttemptOutcome, Option<Box<Response>>) {
        let left = self.end.saturating_duration_since(began);
        if left.is_zero() {
            return (AttemptOutcome::NotSent, None);
        }
        match self.call(left).send() {
            Ok(answer) => self.judge(began, answer),
            Err(CallError::NotSent) => (AttemptOutcome::NotSent, None),
            Err(CallError::Timeout | CallError::Broken | CallError::TooLong) => {
                (AttemptOutcome::Failed, None)
            }
        }
    }

    fn call(&self, left: Duration) -> Call {
        let r = &self.request;
        let path = match r.query.is_empty() {
            true => r.path.clone(),
            false => format!("{}?{}", r.path, r.query),
        };
        let mut call = Call::new(&r.method, self.addr, &path)
            .body(r.body.clone())
            .timeout(left)
            .max_body(self.max)
            .header(REQUEST_ID, self.head.id.clone())
            .header(DEADLINE, left.as_millis().max(1).to_string())
            .header(REPEATABLE, if self.head.repeatable { "yes" } else { "no" });
        for f in &r.headers {
            let own = [REQUEST_ID, DEADLINE, REPEATABLE].contains(&&*f.name);
            if own || !passes(&f.name) || f.name == PRIORITY {
                continue;
            }
            call = call.header(&f.name, f.value.clone());
        }
        call
    }

    /// Judges a whole answer: it must be the target's, and to this request.
    fn judge(&self, began: Instant, answer: Response) -> (AttemptOutcome, Option<Box<Response>>) {
        let busy = find_header(&answer.headers, BUSY).and_then(|b| b.parse().ok());
        let leaving = find_header(&answer.headers, LEAVING) == Some("yes");
        if find_header(&answer.headers, REQUEST_ID) != Some(&*self.head.id) {
            return (AttemptOutcome::Failed, None);
        }
        let outcome = find_header(&answer.headers, OUTCOME).and_then(Outcome::parse);
        if outcome == Some(Outcome::NotRun) {
            return (AttemptOutcome::Declined { busy, leaving }, None);
        }
        let took = began.elapsed().as_millis() as Millis;
        (
            AttemptOutcome::Answered { took, busy },
            Some(Box::new(answer)),
        )
    }
}
