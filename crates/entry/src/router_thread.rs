//! The thread that decides on routing.

use std::{sync::Arc, time::Duration};

use flume::{Receiver, Sender};
use gorsespur_core::{
    Millis,
    route::{Arrival, AttemptOutcome, RouteAction, RouteCounts, RouteEvent, RouteSettings, Router},
};
use gorsespur_peer::AgentState;
use gorsespur_runtime::{cancel::CancelToken, client::Response, metrics::Metrics};

/// Longest time between two ticks while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two ticks while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of queued messages that are handled before a tick.
const MAX_BURST: usize = 256;

/// Maximum number of messages that wait for the router.
const QUEUE_CAPACITY: usize = 8_192;

/// A message for the router thread.
pub(crate) enum RouterMessage {
    /// A request arrived; `reply` receives the commands for it.
    Arrive {
        arrival: Arrival,
        reply: Sender<HandlerMessage>,
    },
    /// An event for the router.
    Event(RouteEvent),
    /// Send the router's counts.
    Counts(Sender<RouteCounts>),
}

/// A message for the thread that handles a request.
pub(crate) enum HandlerMessage {
    /// A command of the router.
    Command(RouteAction),
    /// An attempt ended, with the target's answer if there is one.
    AttemptEnded(Option<Box<Response>>),
}

/// A request whose handler waits for commands.
pub(crate) struct PendingRequest {
    pub req: u64,
    pub reply: Sender<HandlerMessage>,
}

/// Starts the thread, which ends on `cancel`.
pub(crate) fn start(
    settings: RouteSettings,
    shared: &Arc<AgentState>,
    metrics: &Metrics,
    cancel: &CancelToken,
) -> std::io::Result<Sender<RouterMessage>> {
    let (tx, rx) = flume::bounded(QUEUE_CAPACITY);
    let router = Router::new(settings, shared.incarnation);
    let (shared, metrics, cancel) = (shared.clone(), metrics.clone(), cancel.clone());
    std::thread::Builder::new()
        .name("router".into())
        .spawn(move || run(router, &rx, &shared, &metrics, &cancel))?;
    Ok(tx)
}

fn run(
    mut router: Router,
    rx: &Receiver<RouterMessage>,
    shared: &AgentState,
    metrics: &Metrics,
    cancel: &CancelToken,
) {
    let mut pending: Vec<PendingRequest> = Vec::new();
    let mut last_tick = 0;
    while !cancel.is_cancelled() {
        let timeout = if router.waiting_requests() > 0 {
            TICK_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        let first = rx.recv_timeout(timeout);
        let now = shared.clock.now();
        if let Ok(message) = first {
            handle(&mut router, now, message, &mut pending, metrics);
        }
        for _ in 0..MAX_BURST {
            let Ok(message) = rx.try_recv() else { break };
            handle(&mut router, now, message, &mut pending, metrics);
        }
        if now >= last_tick + TICK_INTERVAL.as_millis() as Millis {
            last_tick = now;
            let actions = router.step(now, &RouteEvent::Tick);
            dispatch(&mut router, now, actions, &mut pending, metrics);
            metrics.gauge("waiting", router.waiting_requests() as u64);
            pending.retain(|p| !p.reply.is_disconnected());
        }
    }
}

pub(crate) fn handle(
    router: &mut Router,
    now: Millis,
    message: RouterMessage,
    pending: &mut Vec<PendingRequest>,
    metrics: &Metrics,
) {
    let event = match message {
        RouterMessage::Arrive { arrival, reply } => {
            let req = arrival.req;
            if let Err(i) = pending.binary_search_by_key(&req, |p| p.req) {
                pending.insert(i, PendingRequest { req, reply });
            }
            RouteEvent::Arrive(arrival)
        }
        RouterMessage::Event(event) => event,
        RouterMessage::Counts(reply) => {
            let _ = reply.send(router.counts());
            return;
        }
    };
    let actions = router.step(now, &event);
    dispatch(router, now, actions, pending, metrics);
}

/// Delivers the router's commands to the handlers that wait for them.
///
/// An attempt whose handler has given up is reported to the router as not sent.
/// Otherwise its slot at the target would stay occupied.
fn dispatch(
    router: &mut Router,
    now: Millis,
    mut actions: Vec<RouteAction>,
    pending: &mut Vec<PendingRequest>,
    metrics: &Metrics,
) {
    while !actions.is_empty() {
        let mut next = Vec::new();
        for action in actions {
            let Some(event) = deliver(action, pending, metrics) else {
                continue;
            };
            next.extend(router.step(now, &event));
        }
        actions = next;
    }
}

/// Delivers one command. Returns an event for the router if an attempt could not
/// be delivered.
fn deliver(
    action: RouteAction,
    pending: &mut Vec<PendingRequest>,
    metrics: &Metrics,
) -> Option<RouteEvent> {
    match action {
        RouteAction::Refuse { req, .. } => {
            metrics.count("refused", 1);
            let i = pending.binary_search_by_key(&req, |p| p.req).ok()?;
            let _ = pending
                .remove(i)
                .reply
                .try_send(HandlerMessage::Command(action));
            None
        }
        RouteAction::Send { req, attempt, .. } => {
            let found = pending.binary_search_by_key(&req, |p| p.req);
            let sent = found.is_ok_and(|i| {
                pending[i]
                    .reply
                    .try_send(HandlerMessage::Command(action))
                    .is_ok()
            });
            let end = AttemptOutcome::NotSent;
            (!sent).then_some(RouteEvent::Ended { req, attempt, end })
        }
    }
}
