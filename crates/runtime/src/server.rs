//! An HTTP server on `tiny_http`, the base of `rouille`, with bounds.
//!
//! `rouille` gives no access to its listener and has no time limits, so slow
//! callers could hold its threads for ever. Here the listening socket has a
//! read and a write timeout, which accepted sockets inherit. `accept` would
//! time out too and end that server, so a connection of our own keeps it awake;
//! should it end all the same, the next one is built on the same listener while
//! the earlier one is drained.
//!
//! A caller that sends a byte within every read timeout, and connections above
//! the limit, are closed from outside, see the module for idle connections.

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
    cancel::Cancel,
    client::{Field, field},
    exit::{EXIT_FAILURE, HasExitCode},
    idle::Callers,
};

/// Field that tells a caller whether the request ran.
pub const OUTCOME: &str = "x-outcome";

/// Pause before the next server after `accept` failed.
const REBUILD: Duration = Duration::from_millis(20);

/// Read timeouts without a request after which a server that no longer accepts
/// is dropped; connections may wait a while for a thread of the library.
const QUIET: u32 = 8;

/// Connections of our own in each read timeout.
const AWAKE: u32 = 3;

/// Read timeouts without a whole request after which a connection is closed.
const PATIENCE: u32 = 2;

/// Longest time between two looks for connections to close.
const SWEEP: Duration = Duration::from_secs(1);

/// Longest time between two looks whether the program stops.
const LOOK: Duration = Duration::from_millis(100);

/// Bounds of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Most bytes of request line and header fields together.
    pub head: usize,
    /// Most bytes of a body.
    pub body: usize,
    /// Time limit of one read or write on a connection.
    pub io_time: Duration,
    /// Time limit of reading a whole body.
    pub body_time: Duration,
    /// Threads that run the handler.
    pub handlers: usize,
    /// Requests that may wait for a thread; more are refused as not run.
    pub waiting: usize,
    /// Connections; the longest idle ones above are closed.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            body: 1 << 20,
            io_time: Duration::from_secs(5),
            body_time: Duration::from_secs(5),
            handlers: 8,
            waiting: 64,
            connections: 1_000,
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
    pub fields: Vec<Field>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Incoming {
    /// Returns the value of the first field called `name` (lower case).
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.fields, name)
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }
}

/// What a handler answers.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Header fields besides the length.
    pub fields: Vec<Field>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns a reply with a body and no fields.
    pub fn new(status: u16, body: Vec<u8>) -> Reply {
        Reply {
            status,
            fields: Vec::new(),
            body,
        }
    }

    /// Returns a plain text reply.
    pub fn text(status: u16, text: impl Into<String>) -> Reply {
        Reply::new(status, text.into().into_bytes()).field("content-type", "text/plain")
    }

    /// Adds a header field.
    pub fn field(mut self, name: &str, value: impl Into<String>) -> Reply {
        self.fields.push(Field::new(name, value));
        self
    }
}

/// Why a server can't start.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The address can't be bound.
    #[snafu(display("can't listen on {addr}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The system's answer.
        source: io::Error,
    },
    /// The socket refuses its time limits.
    #[snafu(display("can't set time limits"))]
    Option {
        /// The system's answer.
        source: io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("can't start a thread"))]
    Spawn {
        /// The system's answer.
        source: io::Error,
    },
}

impl HasExitCode for ServeError {
    fn exit_code(&self) -> u8 {
        EXIT_FAILURE
    }
}

/// A running server.
#[derive(Debug)]
pub struct Serving {
    /// The address that was bound.
    pub addr: SocketAddr,
    active: Arc<AtomicUsize>,
}

impl Serving {
    /// Returns the number of requests that were taken and not yet answered.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight, at most `limit`.
    pub fn drain(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.active() > 0 {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

/// Binds `addr` and serves until `cancel`.
pub fn serve<H>(
    addr: SocketAddr,
    name: &'static str,
    limits: Limits,
    cancel: &Cancel,
    handler: H,
) -> Result<Serving, ServeError>
where
    H: Fn(Incoming) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    let sock = SockRef::from(&listener);
    sock.set_read_timeout(Some(limits.io_time))
        .context(OptionSnafu)?;
    sock.set_write_timeout(Some(limits.io_time))
        .context(OptionSnafu)?;
    sock.set_tcp_nodelay(true).context(OptionSnafu)?;
    let (tx, rx) = flume::bounded(limits.waiting);
    let active = Arc::new(AtomicUsize::new(0));
    let handler = Arc::new(handler);
    let callers = Callers::new();
    let limits = Arc::new(limits);
    for i in 0..limits.handlers {
        let (rx, handler, limits) = (rx.clone(), handler.clone(), limits.clone());
        let (active, callers) = (active.clone(), callers.clone());
        thread::Builder::new()
            .name(format!("{name}-{i}"))
            .spawn(move || handle_all(&rx, &limits, &active, &callers, handler.as_ref()))
            .context(SpawnSnafu)?;
    }
    let acceptor = Acceptor {
        listener,
        addr,
        io_time: limits.io_time,
        tx,
        active: active.clone(),
        callers,
        connections: limits.connections,
        cancel: cancel.clone(),
    };
    thread::Builder::new()
        .name(format!("{name}-accept"))
        .spawn(move || acceptor.run())
        .context(SpawnSnafu)?;
    Ok(Serving { addr, active })
}

/// Accepts connections and passes their requests on.
struct Acceptor {
    listener: TcpListener,
    addr: SocketAddr,
    io_time: Duration,
    tx: Sender<tiny_http::Request>,
    active: Arc<AtomicUsize>,
    callers: Callers,
    connections: usize,
    cancel: Cancel,
}

impl Acceptor {
    fn run(self) {
        while !self.cancel.is_cancelled() {
            let built = self
                .listener
                .try_clone()
                .map(|l| Server::from_listener(l, None));
            let Ok(Ok(server)) = built else {
                self.cancel.wait(REBUILD);
                continue;
            };
            self.pump(&server);
            if self.cancel.is_cancelled() {
                return;
            }
            let (tx, active) = (self.tx.clone(), self.active.clone());
            let quiet = self.io_time * QUIET;
            thread::spawn(move || drain_server(&server, quiet, &tx, &active));
        }
    }

    /// Passes requests on until the server ends or the program stops.
    fn pump(&self, server: &Server) {
        let step = self.io_time / AWAKE;
        let mut woken = Instant::now();
        let mut swept = Instant::now();
        loop {
            if woken.elapsed() >= step {
                woken = Instant::now();
                let _ = TcpStream::connect_timeout(&self.addr, step);
            }
            if swept.elapsed() >= step.min(SWEEP) {
                swept = Instant::now();
                let limit = self.io_time * PATIENCE;
                self.callers.sweep(self.addr, limit, self.connections);
            }
            match server.recv_timeout(step.min(LOOK)) {
                Ok(Some(req)) => pass_on(req, &self.tx, &self.active),
                Ok(None) if self.cancel.is_cancelled() => return,
                Ok(None) => {}
                Err(_) => return,
            }
        }
    }
}

/// Serves the connections of a server that no longer accepts.
///
/// A connection that is idle for the read timeout closes, so that after some
/// such times without a request none is left.
fn drain_server(
    server: &Server,
    quiet: Duration,
    tx: &Sender<tiny_http::Request>,
    active: &AtomicUsize,
) {
    while let Ok(Some(req)) = server.recv_timeout(quiet) {
        pass_on(req, tx, active);
    }
}

fn pass_on(req: tiny_http::Request, tx: &Sender<tiny_http::Request>, active: &AtomicUsize) {
    active.fetch_add(1, Ordering::AcqRel);
    let Err(TrySendError::Full(req) | TrySendError::Disconnected(req)) = tx.try_send(req) else {
        return;
    };
    let reply = refuse(503, "no thread is free").field("retry-after", "1");
    respond(req, reply);
    active.fetch_sub(1, Ordering::AcqRel);
}

fn handle_all<H>(
    rx: &Receiver<tiny_http::Request>,
    limits: &Limits,
    active: &AtomicUsize,
    callers: &Callers,
    handler: &H,
) where
    H: Fn(Incoming) -> Reply,
{
    for mut req in rx.iter() {
        let peer = req.remote_addr().copied();
        callers.note(peer, true);
        let reply = match read_request(&mut req, limits) {
            Ok(incoming) => handler(incoming),
            Err(reply) => reply,
        };
        respond(req, reply);
        callers.note(peer, false);
        active.fetch_sub(1, Ordering::AcqRel);
    }
}

fn refuse(status: u16, text: &str) -> Reply {
    Reply::text(status, text).field(OUTCOME, "not-run")
}

fn read_request(req: &mut tiny_http::Request, limits: &Limits) -> Result<Incoming, Reply> {
    let mut head = req.url().len();
    let mut fields = Vec::with_capacity(req.headers().len());
    for h in req.headers() {
        let (name, value) = (h.field.as_str().as_str(), h.value.as_str());
        head += name.len() + value.len();
        fields.push(Field::new(name, value));
    }
    if head > limits.head {
        return Err(refuse(431, "head is too long"));
    }
    let announced = req.body_length();
    if announced.is_some_and(|n| n > limits.body) {
        return Err(refuse(413, "body is too long"));
    }
    let body = read_body(req, announced, limits)?;
    let (path, query) = match req.url().split_once('?') {
        Some((path, query)) => (path, query),
        None => (req.url(), ""),
    };
    Ok(Incoming {
        method: req.method().to_string(),
        path: path.to_owned(),
        query: query.to_owned(),
        fields,
        body,
    })
}

fn read_body(
    req: &mut tiny_http::Request,
    announced: Option<usize>,
    limits: &Limits,
) -> Result<Vec<u8>, Reply> {
    let end = Instant::now() + limits.body_time;
    let mut body = Vec::with_capacity(announced.unwrap_or(0));
    if announced == Some(0) {
        return Ok(body);
    }
    let mut chunk = [0u8; 8 * 1024];
    loop {
        if Instant::now() >= end {
            return Err(refuse(408, "body took too long"));
        }
        let n = match req.as_reader().read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(refuse(408, "body took too long"));
            }
            Err(_) => return Err(refuse(400, "body is cut short")),
        };
        body.extend_from_slice(&chunk[..n]);
        if body.len() > limits.body {
            return Err(refuse(413, "body is too long"));
        }
        if announced == Some(body.len()) {
            break;
        }
    }
    if announced.is_some_and(|n| n != body.len()) {
        return Err(refuse(400, "body is cut short"));
    }
    Ok(body)
}

fn respond(req: tiny_http::Request, reply: Reply) {
    let len = reply.body.len();
    let mut out = Response::new(
        reply.status.into(),
        Vec::with_capacity(reply.fields.len()),
        io::Cursor::new(reply.body),
        Some(len),
        None,
    )
    .with_chunked_threshold(usize::MAX);
    for f in &reply.fields {
        if let Ok(header) = Header::from_bytes(f.name.as_bytes(), f.value.as_bytes()) {
            out.add_header(header);
        }
    }
    if let Err(err) = req.respond(out) {
        log::debug!("server: caller left before its answer: {err}");
    }
}
