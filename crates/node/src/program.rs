//! Starts and stops a node.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use gorsespur_http::{Handler, Limits, Request, Response, Server, ServerSettings};
use gorsespur_runtime::cancel::Cancel;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use snafu::ResultExt;

use crate::{
    error::{ListenSnafu, NodeError, SignalsSnafu, ThreadSnafu},
    follow::follow,
    front::Front,
    lease::watch,
    protocol::Protocol,
    settings::NodeSettings,
    shared::Shared,
    store::Store,
};

/// Stack of a thread in bytes.
const STACK: usize = 512 << 10;

/// Time for a caller's whole request after its first byte.
const HEAD: Duration = Duration::from_secs(3);

/// Time that a caller's connection may be idle.
const IDLE: Duration = Duration::from_secs(30);

/// Connections of the balancer and of those who read metrics.
const FEW: usize = 16;

/// Time for answers under way when the process ends.
const LAST_ANSWERS: Duration = Duration::from_millis(800);

/// Store silence beyond which an instance takes no new connections, in milliseconds:
/// it would refuse what others can take.
const READY_SILENCE: u64 = 2500;

/// Tells the balancer whether the instance takes requests.
struct Ready {
    shared: Arc<Shared>,
}

impl Handler for Ready {
    fn handle(&self, _request: Request) -> Option<Response> {
        let shared = &self.shared;
        let able = shared.config().is_some()
            && shared.silence() < READY_SILENCE
            && !shared.store_is_lost();
        let status = if able && !shared.is_leaving() {
            200
        } else {
            503
        };
        Some(Response::new(status, Vec::new()))
    }

    fn limits(&self) -> Limits {
        Limits {
            head: 4 << 10,
            body: 4 << 10,
        }
    }
}

/// Tells the metrics.
struct Figures {
    shared: Arc<Shared>,
}

impl Handler for Figures {
    fn handle(&self, _request: Request) -> Option<Response> {
        let text = self.shared.metrics.text();
        Some(Response::new(200, text.into_bytes()))
    }
}

/// Runs a node until SIGTERM; `reload` is called at SIGHUP.
///
/// Errors: an address can't be bound, a thread can't be started.
pub fn run(
    settings: NodeSettings,
    store: Box<dyn Store>,
    protocol: Box<dyn Protocol>,
    reload: impl Fn(),
) -> Result<(), NodeError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalsSnafu)?;
    let shared = Arc::new(Shared::new(settings, store, protocol));
    let cancel = Cancel::new();
    log::info!(name = &*shared.settings.name, share = shared.settings.share; "node: starts");
    let few = ServerSettings {
        connections: FEW,
        head: HEAD,
        idle: IDLE,
    };
    let mut servers = Vec::new();
    if let Some(addr) = shared.settings.ready {
        let handler = Arc::new(Ready {
            shared: shared.clone(),
        });
        servers.push(Server::start(addr, few, handler).context(ListenSnafu { addr })?);
    }
    if let Some(addr) = shared.settings.metrics {
        let handler = Arc::new(Figures {
            shared: shared.clone(),
        });
        servers.push(Server::start(addr, few, handler).context(ListenSnafu { addr })?);
    }
    // The configuration is followed to the very end: a stopping instance answers.
    spawn("config", &shared, &Cancel::new(), follow)?;
    let mut front = None;
    if let Some(addr) = shared.settings.front {
        let handler = Arc::new(Front {
            shared: shared.clone(),
        });
        let settings = ServerSettings {
            connections: shared.settings.connections,
            ..few
        };
        front = Some(Server::start(addr, settings, handler).context(ListenSnafu { addr })?);
    }
    let watcher = spawn("lease", &shared, &cancel, watch)?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            log::info!(signal; "node: stops");
            break;
        }
        log::info!("node: reloads");
        reload();
    }
    stop(&shared, &cancel, front.as_ref());
    // The others end with the process; the lease must be given back first.
    if watcher.join().is_err() {
        log::error!("node: the lease's thread has failed");
    }
    log::info!("node: stopped");
    thread::sleep(Duration::from_millis(60));
    Ok(())
}

/// Gives the lease back, goes on answering for a while, then lets answers finish.
fn stop(shared: &Shared, cancel: &Cancel, front: Option<&Server>) {
    shared.leaving.store(true, Ordering::Relaxed);
    cancel.cancel();
    let Some(front) = front else {
        return;
    };
    front.drain();
    thread::sleep(shared.settings.linger);
    if !front.quiesce(LAST_ANSWERS) {
        log::warn!("node: answers were cut by the stop");
    }
}

fn spawn(
    name: &'static str,
    shared: &Arc<Shared>,
    cancel: &Cancel,
    duty: fn(&Arc<Shared>, &Cancel),
) -> Result<thread::JoinHandle<()>, NodeError> {
    let (shared, cancel) = (shared.clone(), cancel.clone());
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(move || duty(&shared, &cancel))
        .context(ThreadSnafu { name })
}
