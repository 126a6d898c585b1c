//! An HTTP server with limits, based on `tiny_http`.
//!
//! `rouille`, which also builds on `tiny_http`, gives no access to its listener
//! and has no timeouts, so slow clients could hold its threads for ever. Here the
//! listening socket has a read and a write timeout, which accepted sockets
//! inherit. `accept` would time out as well and end the `tiny_http` server, so
//! the acceptor connects to its own listener from time to time. If the server
//! ends nevertheless, a new one is built on the same listener while the old one
//! is drained.
//!
//! The `idle` module closes the connections of clients that send a byte within
//! every read timeout, and connections above the limit.

use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use flume::{Receiver, Sender, TrySendError};
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tiny_http::{Header, Response, Server};

use crate::{
    cancel::CancelToken,
    client::{HeaderField, find_header},
    exit::{EXIT_FAILURE, HasExitCode},
    idle::ConnectionTracker,
};

/// Name of the header field that states whether the request was run.
pub const OUTCOME: &str = "x-outcome";

/// Delay before a new server is built after `accept` has failed.
const REBUILD_DELAY: Duration = Duration::from_millis(20);

/// Read timeouts without a request after which a server that no longer accepts
/// is dropped. Its connections may wait for one of the library's threads.
const DRAIN_PERIODS: u32 = 8;

/// Connections to the own listener per read timeout, which keep `accept` from timing out.
const WAKEUPS_PER_PERIOD: u32 = 3;

/// Read timeouts without a whole request after which a connection is closed.
const IDLE_PERIODS: u32 = 2;

/// Longest interval between two sweeps for idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval between two checks for cancellation.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest head, that is the path and the header fields.
    pub head_bytes: usize,
    /// Largest body.
    pub body_bytes: usize,
    /// Timeout of one read or write on a connection.
    pub io_timeout: Duration,
    /// Timeout of reading a whole body.
    pub body_timeout: Duration,
    /// Threads that run the handler.
    pub handlers: usize,
    /// Maximum number of requests that wait for a thread; further ones are rejected as not run.
    pub max_queued: usize,
    /// Maximum number of connections; the longest idle ones above this number are closed.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            io_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            handlers: 8,
            max_queued: 64,
            max_connections: 1_000,
        }
    }
}

/// A whole request.
#[derive(Debug, Clone)]
pub struct Incoming {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if absent.
    pub query: String,
    /// Header fields, names in lower case.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Incoming {
    /// Returns the value of the first header field with this name (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }
}

/// A handler's response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Header fields except `Content-Length`.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a reply with a body and no header fields.
    pub fn new(status: u16, body: Vec<u8>) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body,
        }
    }

    /// Creates a plain text reply.
    pub fn text(status: u16, text: impl Into<String>) -> Reply {
        Reply::new(status, text.into().into_bytes()).header("content-type", "text/plain")
    }

    /// Adds a header field.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Reply {
        self.headers.push(HeaderField::new(name, value));
        self
    }
}

/// An error of starting a server.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The address can't be bound.
    #[snafu(display("can't listen on {addr}"))]
    Bind {
        /// Address to listen on.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// An option of the listening socket can't be set.
    #[snafu(display("can't set socket options"))]
    Option {
        /// The system's error.
        source: io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("can't start a thread"))]
    Spawn {
        /// The system's error.
        source: io::Error,
    },
}

impl HasExitCode for ServeError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}

/// Handle of a running server.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    active: Arc<AtomicUsize>,
}

impl ServerHandle {
    /// Returns the number of requests that were received and not yet answered.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Waits up to `timeout` until no request is in flight; returns whether that is reached.
    pub fn wait_until_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.active() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

/// Binds `addr` and serves requests until `cancel` is cancelled; `name` prefixes thread names.
pub fn serve<H>(
    addr: SocketAddr,
    name: &'static str,
    limits: Limits,
    cancel: &CancelToken,
    handler: H,
) -> Result<ServerHandle, ServeError>
where
    H: Fn(Incoming) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    let sock = SockRef::from(&listener);
    sock.set_read_timeout(Some(limits.io_timeout))
        .context(OptionSnafu)?;
    sock.set_write_timeout(Some(limits.io_timeout))
        .context(OptionSnafu)?;
    sock.set_tcp_nodelay(true).context(OptionSnafu)?;
    let (tx, rx) = flume::bounded(limits.max_queued);
    let active = Arc::new(AtomicUsize::new(0));
    let handler = Arc::new(handler);
    let connections = ConnectionTracker::new();
    let limits = Arc::new(limits);
    for i in 0..limits.handlers {
        let (rx, handler, limits) = (rx.clone(), handler.clone(), limits.clone());
        let (active, connections) = (active.clone(), connections.clone());
        thread::Builder::new()
            .name(format!("{name}-{i}"))
            .spawn(move || run_handler(&rx, &limits, &active, &connections, handler.as_ref()))
            .context(SpawnSnafu)?;
    }
    let acceptor = Acceptor {
        listener,
        addr,
        io_timeout: limits.io_timeout,
        tx,
        active: active.clone(),
        connections,
        max_connections: limits.max_connections,
        cancel: cancel.clone(),
    };
    thread::Builder::new()
        .name(format!("{name}-accept"))
        .spawn(move || acceptor.run())
        .context(SpawnSnafu)?;
    Ok(ServerHandle { addr, active })
}

/// Accepts connections and forwards their requests to the handler threads.
struct Acceptor {
    listener: TcpListener,
    addr: SocketAddr,
    io_timeout: Duration,
    tx: Sender<tiny_http::Request>,
    active: Arc<AtomicUsize>,
    connections: ConnectionTracker,
    max_connections: usize,
    cancel: CancelToken,
}

impl Acceptor {
    fn run(self) {
        while !self.cancel.is_cancelled() {
            let built = self
                .listener
                .try_clone()
                .map(|l| Server::from_listener(l, None));
            let Ok(Ok(server)) = built else {
                self.cancel.wait(REBUILD_DELAY);
                continue;
            };
            self.forward_requests(&server);
            if self.cancel.is_cancelled() {
                return;
            }
            let (tx, active) = (self.tx.clone(), self.active.clone());
            let timeout = self.io_timeout * DRAIN_PERIODS;
            thread::spawn(move || drain_server(&server, timeout, &tx, &active));
        }
    }

    /// Forwards requests until the server ends or is cancelled.
    fn forward_requests(&self, server: &Server) {
        let wake_interval = self.io_timeout / WAKEUPS_PER_PERIOD;
        let mut last_wakeup = Instant::now();
        let mut last_sweep = Instant::now();
        loop {
            if last_wakeup.elapsed() >= wake_interval {
                last_wakeup = Instant::now();
                let _ = TcpStream::connect_timeout(&self.addr, wake_interval);
            }
            if last_sweep.elapsed() >= wake_interval.min(SWEEP_INTERVAL) {
                last_sweep = Instant::now();
                let timeout = self.io_timeout * IDLE_PERIODS;
                self.connections
                    .close_idle(self.addr, timeout, self.max_connections);
            }
            match server.recv_timeout(wake_interval.min(POLL_INTERVAL)) {
                Ok(Some(req)) => enqueue(req, &self.tx, &self.active),
                Ok(None) if self.cancel.is_cancelled() => return,
                Ok(None) => {}
                Err(_) => return,
            }
        }
    }
}

/// Forwards the requests of a server that no longer accepts connections.
///
/// Connections that are idle for a read timeout are closed, so none is left after
/// several timeouts without a request.
fn drain_server(
    server: &Server,
    timeout: Duration,
    tx: &Sender<tiny_http::Request>,
    active: &AtomicUsize,
) {
    while let Ok(Some(req)) = server.recv_timeout(timeout) {
        enqueue(req, tx, active);
    }
}

fn enqueue(req: tiny_http::Request, tx: &Sender<tiny_http::Request>, active: &AtomicUsize) {
    active.fetch_add(1, Ordering::AcqRel);
    let Err(TrySendError::Full(req) | TrySendError::Disconnected(req)) = tx.try_send(req) else {
        return;
    };
    let reply = reject(503, "no thread is free").header("retry-after", "1");
    respond(req, reply);
    active.fetch_sub(1, Ordering::AcqRel);
}

fn run_handler<H>(
    rx: &Receiver<tiny_http::Request>,
    limits: &Limits,
    active: &AtomicUsize,
    connections: &ConnectionTracker,
    handler: &H,
) where
    H: Fn(Incoming) -> Reply,
{
    for mut req in rx.iter() {
        let peer = req.remote_addr().copied();
        connections.record_request(peer, true);
        let reply = match read_request(&mut req, limits) {
            Ok(incoming) => handler(incoming),
            Err(reply) => reply,
        };
        respond(req, reply);
        connections.record_request(peer, false);
        active.fetch_sub(1, Ordering::AcqRel);
    }
}

fn reject(status: u16, text: &str) -> Reply {
    Reply::text(status, text).header(OUTCOME, "not-run")
}

fn read_request(req: &mut tiny_http::Request, limits: &Limits) -> Result<Incoming, Reply> {
    let mut head_bytes = req.url().len();
    let mut headers = Vec::with_capacity(req.headers().len());
    for h in req.headers() {
        let (name, value) = (h.field.as_str().as_str(), h.value.as_str());
        head_bytes += name.len() + value.len();
        headers.push(HeaderField::new(name, value));
    }
    if head_bytes > limits.head_bytes {
        return Err(reject(431, "head is too long"));
    }
    let content_length = req.body_length();
    if content_length.is_some_and(|n| n > limits.body_bytes) {
        return Err(reject(413, "body is too long"));
    }
    let body = read_body(req, content_length, limits)?;
    let (path, query) = match req.url().split_once('?') {
        Some((path, query)) => (path, query),
        None => (req.url(), ""),
    };
    Ok(Incoming {
        method: req.method().to_string(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

fn read_body(
    req: &mut tiny_http::Request,
    content_length: Option<usize>,
    limits: &Limits,
) -> Result<Vec<u8>, Reply> {
    let deadline = Instant::now() + limits.body_timeout;
    let mut body = Vec::with_capacity(content_length.unwrap_or(0));
    if content_length == Some(0) {
        return Ok(body);
    }
    let mut chunk = [0u8; 8 * 1024];
    loop {
        if Instant::now() >= deadline {
            return Err(reject(408, "body took too long"));
        }
        let n = match req.as_reader().read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(reject(408, "body took too long"));
            }
            Err(_) => return Err(reject(400, "body is cut short")),
        };
        body.extend_from_slice(&chunk[..n]);
        if body.len() > limits.body_bytes {
            return Err(reject(413, "body is too long"));
        }
        if content_length == Some(body.len()) {
            break;
        }
    }
    if content_length.is_some_and(|n| n != body.len()) {
        return Err(reject(400, "body is cut short"));
    }
    Ok(body)
}

fn respond(req: tiny_http::Request, reply: Reply) {
    let len = reply.body.len();
    let mut out = Response::new(
        reply.status.into(),
        Vec::with_capacity(reply.headers.len()),
        io::Cursor::new(reply.body),
        Some(len),
        None,
    )
    .with_chunked_threshold(usize::MAX);
    for f in &reply.headers {
        if let Ok(header) = Header::from_bytes(f.name.as_bytes(), f.value.as_bytes()) {
            out.add_header(header);
        }
    }
    if let Err(err) = req.respond(out) {
        log::debug!("server: can't send a response: {err}");
    }
}
