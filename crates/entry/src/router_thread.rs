//! The thread that decides on routing.

use std::{sync::Arc, time::Duration};

use flume::{Receiver, Sender};
use gorsespur_core::{
    Millis,
    route::{Arrival, RouteAction, RouteCounts, RouteEvent, RouteSettings, Router},
};
use gorsespur_peer::Shared;
use gorsespur_runtime::{cancel::Cancel, client::Answer, metrics::Metrics};

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
    Tried(Option<Box<Answer>>),
}

/// A request that a handler waits for.
struct Open {
    req: u64,
    reply: Sender<ToHandler>,
}

/// Starts the thread; it ends with `cancel`.
pub(crate) fn start(
    settings: RouteSettings,
    shared: &Arc<Shared>,
    metrics: &Metrics,
    cancel: &Cancel,
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
    shared: &Shared,
    metrics: &Metrics,
    cancel: &Cancel,
) {
    let mut open: Vec<Open> = Vec::new();
    let mut ticked = 0;
    while !cancel.is_cancelled() {
        let pause = if router.waiting() > 0 { TICK } else { IDLE };
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
            hand_out(actions, &mut open, metrics);
            metrics.gauge("waiting", router.waiting() as u64);
            open.retain(|o| !o.reply.is_disconnected());
        }
    }
}

fn handle(
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
    hand_out(actions, open, metrics);
}

fn hand_out(actions: Vec<RouteAction>, open: &mut Vec<Open>, metrics: &Metrics) {
    for action in actions {
        let req = match &action {
            RouteAction::Send { req, .. } => *req,
            RouteAction::Refuse { req, .. } => {
                metrics.count("refused", 1);
                *req
            }
        };
        let last = matches!(action, RouteAction::Refuse { .. });
        let Ok(i) = open.binary_search_by_key(&req, |o| o.req) else {
            continue;
        };
        let _ = open[i].reply.try_send(ToHandler::Command(action));
        if last {
            open.remove(i);
        }
    }
}
