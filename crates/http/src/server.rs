//! A server with one thread a connection.
//!
//! Callers are few and keep their connections, so a thread each is cheap; the
//! number of threads is bounded all the same, and each read has a time limit.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    error::HttpError,
    message::{Request, Response},
    parse::{Limits, parse_request},
    socket,
};

/// Stack of a connection's thread in bytes; handlers hold bodies on the heap.
const STACK: usize = 256 << 10;

/// Bytes that one read takes at most.
const CHUNK: usize = 8 << 10;

/// Answers requests; called by many threads.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Returns nothing to close the connection unanswered.
    fn handle(&self, request: Request) -> Option<Response>;

    /// Returns the limits on size that hold now.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerSettings {
    /// Connections that are open at once; more are closed on arrival.
    pub connections: usize,
    /// Time for a whole request after its first byte.
    pub head: Duration,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

/// A listening server; it runs as long as its process.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    settings: ServerSettings,
    open: AtomicUsize,
    busy: AtomicUsize,
    last: AtomicBool,
}

impl Server {
    /// Binds `addr` and starts answering.
    ///
    /// Errors: the address can't be bound, or no thread can be started.
    pub fn start<H: Handler>(
        addr: SocketAddr,
        settings: ServerSettings,
        handler: Arc<H>,
    ) -> std::io::Result<Server> {
        let listener = socket::listen(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            last: AtomicBool::new(false),
        });
        let theirs = shared.clone();
        thread::Builder::new()
            .name("accept".into())
            .stack_size(STACK)
            .spawn(move || accept(&listener, &theirs, &handler))?;
        Ok(Server { shared, addr })
    }

    /// Returns the address that is listened on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// From now on each answer tells its caller to use another connection.
    pub fn drain(&self) {
        self.shared.last.store(true, Ordering::Relaxed);
    }

    /// Waits up to `limit` until no answer is under way; returns whether that came.
    pub fn quiesce(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.shared.busy.load(Ordering::SeqCst) > 0 {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

fn accept<H: Handler>(listener: &TcpListener, shared: &Arc<Shared>, handler: &Arc<H>) {
    for stream in listener.incoming() {
        let stream = match stream {
            Ok(stream) => stream,
            Err(err) => {
                log::warn!("http: accept failed: {err}");
                thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        if shared.open.fetch_add(1, Ordering::SeqCst) >= shared.settings.connections {
            log::warn!("http: too many connections, one is closed");
            shared.open.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        let (theirs, h) = (shared.clone(), handler.clone());
        let spawned = thread::Builder::new()
            .name("conn".into())
            .stack_size(STACK)
            .spawn(move || {
                if let Err(err) = serve(stream, &theirs, &*h) {
                    log::debug!("http: connection ended: {err}");
                }
                theirs.open.fetch_sub(1, Ordering::SeqCst);
            });
        if let Err(err) = spawned {
            log::warn!("http: no thread for a connection: {err}");
            shared.open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn serve<H: Handler>(mut stream: TcpStream, shared: &Shared, handler: &H) -> Result<(), HttpError> {
    socket::tune(&stream);
    let mut buf = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buf, shared, handler)? else {
            return Ok(());
        };
        shared.busy.fetch_add(1, Ordering::SeqCst);
        let result = answer(&mut stream, request, shared, handler);
        shared.busy.fetch_sub(1, Ordering::SeqCst);
        if !result? {
            return Ok(());
        }
    }
}

/// Answers a request and tells whether the connection stays open.
fn answer<H: Handler>(
    stream: &mut TcpStream,
    request: Request,
    shared: &Shared,
    handler: &H,
) -> Result<bool, HttpError> {
    let keep = request.keep;
    let Some(mut response) = handler.handle(request) else {
        return Ok(false);
    };
    response.keep = keep && !shared.last.load(Ordering::Relaxed);
    send(stream, &response)?;
    Ok(response.keep)
}

fn send(stream: &mut TcpStream, response: &Response) -> Result<(), HttpError> {
    let mut out = Vec::with_capacity(256 + response.body.len());
    response.encode(&mut out);
    stream.write_all(&out).map_err(lost)
}

/// Reads one request; nothing when the peer is gone, idle too long, or the server stops.
fn read_request<H: Handler>(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    shared: &Shared,
    handler: &H,
) -> Result<Option<Request>, HttpError> {
    let mut since = Instant::now();
    let mut chunk = [0; CHUNK];
    loop {
        match parse_request(buf, handler.limits()) {
            Ok(Some((request, size))) => {
                buf.drain(..size);
                return Ok(Some(request));
            }
            Ok(None) => {}
            Err(err) => return refuse(stream, err),
        }
        let limit = match buf.is_empty() {
            true => shared.settings.idle,
            false => shared.settings.head,
        };
        let left = limit.saturating_sub(since.elapsed());
        if left.is_zero() && !buf.is_empty() {
            return refuse(stream, HttpError::Timeout);
        }
        if left.is_zero() {
            return Ok(None);
        }
        stream.set_read_timeout(Some(left)).map_err(lost)?;
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(n) => {
                if buf.is_empty() {
                    since = Instant::now();
                }
                buf.extend_from_slice(&chunk[..n]);
            }
            Err(err) if is_wait(&err) => continue,
            Err(err) => return Err(lost(err)),
        }
    }
}

fn refuse(stream: &mut TcpStream, err: HttpError) -> Result<Option<Request>, HttpError> {
    let status = match &err {
        HttpError::TooLarge { .. } => 413,
        HttpError::Timeout => 408,
        _ => 400,
    };
    let mut response = Response::new(status, Vec::new());
    response.keep = false;
    send(stream, &response)?;
    Err(err)
}

fn is_wait(err: &std::io::Error) -> bool {
    matches!(
        err.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

fn lost(err: std::io::Error) -> HttpError {
    HttpError::Lost {
        message: err.to_string(),
    }
}
