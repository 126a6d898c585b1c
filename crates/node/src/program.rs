//! Starts and stops the servers and threads of a node.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use gorsespur_http::{Handler, Limits, Request, Response, Server, ServerSettings};
use gorsespur_runtime::cancel::CancelToken;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use snafu::ResultExt;

use crate::{
    census::announce,
    duty::{self, LOG_FLUSH_TIME},
    error::{ListenSnafu, NodeError, SignalsSnafu, ThreadSnafu},
    follow::follow,
    front::Front,
    heartbeat,
    lease::watch,
    protocol::Protocol,
    settings::NodeSettings,
    shared::Shared,
    store::Store,
};

/// Stack size of a thread.
const STACK_BYTES: usize = 512 << 10;

/// Time limit of a request, from its first byte to its last.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limit on connections to each of the readiness and metrics servers.
const MAX_PROBE_CONNECTIONS: usize = 16;

/// Time that requests in progress have to finish when the process stops.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers the load balancer's readiness checks.
struct ReadinessHandler {
    shared: Arc<Shared>,
}

impl Handler for ReadinessHandler {
    fn handle(&self, _request: Request) -> Option<Response> {
        let shared = &self.shared;
        // Without the store, this instance would refuse requests that others can accept.
        let can_serve = shared.config().is_some() && !shared.is_store_lost();
        let status = if can_serve && !shared.is_leaving() {
            200
        } else {
            503
        };
        Some(Response::new(status, Vec::new()))
    }

    fn limits(&self) -> Limits {
        Limits {
            head_bytes: 4 << 10,
            body_bytes: 4 << 10,
        }
    }
}

/// Serves the metrics as text.
struct MetricsHandler {
    shared: Arc<Shared>,
}

impl Handler for MetricsHandler {
    fn handle(&self, _request: Request) -> Option<Response> {
        let text = self.shared.metrics.text();
        Some(Response::new(200, text.into_bytes()))
    }
}

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    cancel: CancelToken,
    watcher: thread::JoinHandle<()>,
    front: Option<Server>,
    ready: Option<Server>,
    metrics: Option<Server>,
}

impl Node {
    /// Starts a node.
    ///
    /// Errors: an address can't be bound, or a thread can't be started.
    pub fn start(
        settings: NodeSettings,
        store: Box<dyn Store>,
        protocol: Box<dyn Protocol>,
    ) -> Result<Node, NodeError> {
        let shared = Arc::new(Shared::new(settings, store, protocol));
        let cancel = CancelToken::new();
        log::info!(name = &*shared.settings.name, share = shared.settings.share; "node: starts");
        let handler = ReadinessHandler {
            shared: shared.clone(),
        };
        let ready = serve(shared.settings.ready, MAX_PROBE_CONNECTIONS, handler)?;
        let handler = MetricsHandler {
            shared: shared.clone(),
        };
        let metrics = serve(shared.settings.metrics, MAX_PROBE_CONNECTIONS, handler)?;
        // Never cancelled: a stopping instance still answers requests, which needs the
        // configuration.
        spawn("config", &shared, &CancelToken::new(), follow)?;
        let handler = Front {
            shared: shared.clone(),
        };
        let front = serve(shared.settings.front, shared.settings.connections, handler)?;
        spawn("census", &shared, &cancel, announce)?;
        if let Some(socket) = bind_peer(shared.settings.peer) {
            spawn("heartbeat", &shared, &cancel, move |shared, _| {
                heartbeat::listen(shared, &socket);
            })?;
        }
        let watcher = spawn("lease", &shared, &cancel, watch)?;
        Ok(Node {
            shared,
            cancel,
            watcher,
            front,
            ready,
            metrics,
        })
    }

    /// Returns the address of the job API, if it is served.
    pub fn front(&self) -> Option<SocketAddr> {
        self.front.as_ref().map(Server::addr)
    }

    /// Returns the address of the readiness check, if it is served.
    pub fn ready(&self) -> Option<SocketAddr> {
        self.ready.as_ref().map(Server::addr)
    }

    /// Returns the address of the metrics, if they are served.
    pub fn metrics(&self) -> Option<SocketAddr> {
        self.metrics.as_ref().map(Server::addr)
    }

    /// Releases the lease, keeps answering for [`NodeSettings::linger`], then drains requests in
    /// progress.
    pub fn stop(self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.cancel.cancel();
        if let Some(front) = &self.front {
            front.start_draining();
            thread::sleep(self.shared.settings.linger);
            if !front.wait_until_idle(DRAIN_TIMEOUT) {
                log::warn!("node: requests in progress were cut off by the stop");
            }
        }
        if self.watcher.join().is_err() {
            log::error!("node: lease thread panicked");
        }
        log::info!("node: stopped");
    }
}

/// Binds the socket for signs of life of the owner. Without it, the instance asks the store.
fn bind_peer(addr: Option<SocketAddr>) -> Option<UdpSocket> {
    let addr = addr?;
    match UdpSocket::bind(addr) {
        Ok(socket) => Some(socket),
        Err(err) => {
            log::warn!(addr = addr.to_string().as_str(), err = err.to_string().as_str(); "heartbeat: can't listen");
            None
        }
    }
}

/// Runs a node until SIGTERM or SIGINT; calls `reload` on SIGHUP.
///
/// Errors: as [`Node::start`], and signal handlers that can't be installed.
pub fn run(
    settings: NodeSettings,
    store: Box<dyn Store>,
    protocol: Box<dyn Protocol>,
    reload: impl Fn(),
) -> Result<(), NodeError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalsSnafu)?;
    let node = Node::start(settings, store, protocol)?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            log::info!(signal; "node: stops");
            break;
        }
        log::info!("node: reloads");
        reload();
    }
    node.stop();
    thread::sleep(LOG_FLUSH_TIME);
    Ok(())
}

fn serve<H: Handler>(
    addr: Option<SocketAddr>,
    connections: usize,
    handler: H,
) -> Result<Option<Server>, NodeError> {
    let Some(addr) = addr else {
        return Ok(None);
    };
    let settings = ServerSettings {
        max_connections: connections,
        request_timeout: REQUEST_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
    };
    let server = Server::start(addr, settings, Arc::new(handler));
    server.map(Some).context(ListenSnafu { addr })
}

fn spawn(
    name: &'static str,
    shared: &Arc<Shared>,
    cancel: &CancelToken,
    thread_main: impl FnOnce(&Arc<Shared>, &CancelToken) + Send + 'static,
) -> Result<thread::JoinHandle<()>, NodeError> {
    let (shared, cancel) = (shared.clone(), cancel.clone());
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(move || duty::run(name, || thread_main(&shared, &cancel)))
        .context(ThreadSnafu { name })
}
