//! The thread that decides on routing.

use std::{sync::Arc, time::Duration};

use flume::{Receiver, Sender};
use gorsespur_core::{
    Millis,
    route::{Arrival, AttemptOutcome, RouteAction, RouteCounts, RouteEvent, RouteSettings, Router},
};
use gorsespur_peer::AgentState;
use gorsespur_runtime::{cancel::CancelToken, client::Response, metrics::Metrics};

/// Time between two ticks while no request waits.
const IDLE: Duration = Duration::from_millis(100);

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// Messages that are handled before a tick.
const BURST: usize = 256;

/// Messages that may wait for the router.
const WAITING: usize = 8_192;

/// A message for the router thread.
pub(crate) enum ToRouter {
    /// A request came; commands for it go to `reply`.
    Arrive {
        arrival: Arrival,
        reply: Sender<ToHandler>,
    },
    /// An event of the router.
    Event(RouteEvent),
    /// Tell the counts.
    Counts(Sender<RouteCounts>),
}

/// A message for the thread that handles a request.
pub(crate) enum ToHandler {
    /// What the router decided.
    Command(RouteAction),
    /// How a try ended.
    Tried(Option<Box<Response>>),
}

/// A request that a handler waits for.
pub(crate) struct Open {
    pub req: u64,
    pub reply: Sender<ToHandler>,
}

/// Starts the thread; it ends with `cancel`.
pub(crate) fn start(
    settings: RouteSettings,
    shared: &Arc<AgentState>,
    metrics: &Metrics,
    cancel: &CancelToken,
) -> std::io::Result<Sender<ToRouter>> {
    let (tx, rx) = flume::bounded(WAITING);
    let router = Router::new(settings, shared.incarnation);
    let (shared, metrics, cancel) = (shared.clone(), metrics.clone(), cancel.clone());
    std::thread::Builder::new()
        .name("router".into())
        .spawn(move || run(router, &rx, &shared, &metrics, &cancel))?;
    Ok(tx)
}

fn run(
    mut router: Router,
    rx: &Receiver<ToRouter>,
    shared: &AgentState,
    metrics: &Metrics,
    cancel: &CancelToken,
) {
    let mut open: Vec<Open> = Vec::new();
    let mut ticked = 0;
    while !cancel.is_cancelled() {
        let pause = if router.waiting_requests() > 0 {
            TICK
        } else {
            IDLE
        };
        let first = rx.recv_timeout(pause);
        let now = shared.clock.now();
        if let Ok(message) = first {
            handle(&mut router, now, message, &mut open, metrics);
        }
        for _ in 0..BURST {
            let Ok(message) = rx.try_recv() else { break };
            handle(&mut router, now, message, &mut open, metrics);
        }
        if now >= ticked + TICK.as_millis() as Millis {
            ticked = now;
            let actions = router.step(now, &RouteEvent::Tick);
            hand_out(&mut router, now, actions, &mut open, metrics);
            metrics.gauge("waiting", router.waiting_requests() as u64);
            open.retain(|o| !o.reply.is_disconnected());
        }
    }
}

pub(crate) fn handle(
    router: &mut Router,
    now: Millis,
    message: ToRouter,
    open: &mut Vec<Open>,
    metrics: &Metrics,
) {
    let event = match message {
        ToRouter::Arrive { arrival, reply } => {
            let req = arrival.req;
            if let Err(i) = open.binary_search_by_key(&req, |o| o.req) {
                open.insert(i, Open { req, reply });
            }
            RouteEvent::Arrive(arrival)
        }
        ToRouter::Event(event) => event,
        ToRouter::Counts(reply) => {
            let _ = reply.send(router.counts());
            return;
        }
    };
    let actions = router.step(now, &event);
    hand_out(router, now, actions, open, metrics);
}

/// Hands the router's decisions to the handlers that wait for them.
///
/// A try whose handler has left is told to the router as not sent, or its place
/// at the target would stay taken.
fn hand_out(
    router: &mut Router,
    now: Millis,
    mut actions: Vec<RouteAction>,
    open: &mut Vec<Open>,
    metrics: &Metrics,
) {
    while !actions.is_empty() {
        let mut next = Vec::new();
        for action in actions {
            let Some(event) = deliver(action, open, metrics) else {
                continue;
            };
            next.extend(router.step(now, &event));
        }
        actions = next;
    }
}

/// Delivers one decision; returns what the router has to know if it can't.
fn deliver(action: RouteAction, open: &mut Vec<Open>, metrics: &Metrics) -> Option<RouteEvent> {
    match action {
        RouteAction::Refuse { req, .. } => {
            metrics.count("refused", 1);
            let i = open.binary_search_by_key(&req, |o| o.req).ok()?;
            let _ = open.remove(i).reply.try_send(ToHandler::Command(action));
            None
        }
        RouteAction::Send { req, attempt, .. } => {
            let found = open.binary_search_by_key(&req, |o| o.req);
            let sent =
                found.is_ok_and(|i| open[i].reply.try_send(ToHandler::Command(action)).is_ok());
            let end = AttemptOutcome::NotSent;
            (!sent).then_some(RouteEvent::Ended { req, attempt, end })
        }
    }
}
