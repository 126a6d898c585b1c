//! A server with one thread per connection.
//!
//! Clients are few and reuse their connections, so a thread each is cheap. The
//! number of threads is bounded nevertheless, and each read has a timeout.

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

/// Stack size of a connection's thread; handlers hold bodies on the heap.
const STACK_BYTES: usize = 256 << 10;

/// Maximum number of bytes read at once.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// Handles requests; called by several threads at once.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. Returns `None` to close the connection without a response.
    fn handle(&self, request: Request) -> Option<Response>;

    /// Returns the current limits on the size of requests.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerSettings {
    /// Maximum number of open connections; further ones are closed on arrival.
    pub max_connections: usize,
    /// Longest time from the first byte of a request to its last.
    pub request_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A listening server, which runs as long as its process.
#[derive(Debug)]
pub struct Server {
    state: Arc<ServerState>,
    addr: SocketAddr,
}

#[derive(Debug)]
struct ServerState {
    settings: ServerSettings,
    open_connections: AtomicUsize,
    active_requests: AtomicUsize,
    draining: AtomicBool,
}

impl Server {
    /// Binds `addr` and starts serving.
    ///
    /// Fails if the address can't be bound or no thread can be started.
    pub fn start<H: Handler>(
        addr: SocketAddr,
        settings: ServerSettings,
        handler: Arc<H>,
    ) -> std::io::Result<Server> {
        let listener = socket::listen(addr)?;
        let addr = listener.local_addr()?;
        let state = Arc::new(ServerState {
            settings,
            open_connections: AtomicUsize::new(0),
            active_requests: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
        });
        let accept_state = state.clone();
        thread::Builder::new()
            .name("accept".into())
            .stack_size(STACK_BYTES)
            .spawn(move || accept(&listener, &accept_state, &handler))?;
        Ok(Server { state, addr })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes each connection from now on after its next response.
    pub fn start_draining(&self) {
        self.state.draining.store(true, Ordering::Relaxed);
    }

    /// Waits up to `timeout` until no request is being handled; returns whether that is reached.
    pub fn wait_until_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.state.active_requests.load(Ordering::SeqCst) > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

/// A connection or request in a count, which it leaves when it is dropped.
struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn accept<H: Handler>(listener: &TcpListener, state: &Arc<ServerState>, handler: &Arc<H>) {
    for stream in listener.incoming() {
        let stream = match stream {
            Ok(stream) => stream,
            Err(err) => {
                log::warn!("http: accept failed: {err}");
                thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        if state.open_connections.fetch_add(1, Ordering::SeqCst) >= state.settings.max_connections {
            log::warn!("http: too many connections; closing a new one");
            state.open_connections.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        let (conn_state, handler) = (state.clone(), handler.clone());
        let spawned = thread::Builder::new()
            .name("conn".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                // Dropped after a panic as well.
                let _open = Counted(&conn_state.open_connections);
                if let Err(err) = serve(stream, &conn_state, &*handler) {
                    log::debug!("http: connection ended: {err}");
                }
            });
        if let Err(err) = spawned {
            log::warn!("http: can't start a thread for a connection: {err}");
            state.open_connections.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn serve<H: Handler>(
    mut stream: TcpStream,
    state: &ServerState,
    handler: &H,
) -> Result<(), HttpError> {
    socket::set_options(&stream);
    let mut buf = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buf, state, handler)? else {
            return Ok(());
        };
        state.active_requests.fetch_add(1, Ordering::SeqCst);
        let active = Counted(&state.active_requests);
        let result = respond(&mut stream, request, state, handler);
        drop(active);
        if !result? {
            return Ok(());
        }
    }
}

/// Handles a request and returns whether the connection stays open.
fn respond<H: Handler>(
    stream: &mut TcpStream,
    request: Request,
    state: &ServerState,
    handler: &H,
) -> Result<bool, HttpError> {
    let keep_alive = request.keep_alive;
    let Some(mut response) = handler.handle(request) else {
        return Ok(false);
    };
    response.keep_alive = keep_alive && !state.draining.load(Ordering::Relaxed);
    write_response(stream, &response)?;
    Ok(response.keep_alive)
}

fn write_response(stream: &mut TcpStream, response: &Response) -> Result<(), HttpError> {
    let mut out = Vec::with_capacity(256 + response.body.len());
    response.encode(&mut out);
    stream.write_all(&out).map_err(connection_lost)
}

/// Reads one request; returns `None` if the peer has closed the connection or the idle timeout
/// has passed.
fn read_request<H: Handler>(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    state: &ServerState,
    handler: &H,
) -> Result<Option<Request>, HttpError> {
    let mut started = Instant::now();
    let mut chunk = [0; READ_CHUNK_BYTES];
    loop {
        match parse_request(buf, handler.limits()) {
            Ok(Some((request, size))) => {
                buf.drain(..size);
                return Ok(Some(request));
            }
            Ok(None) => {}
            Err(err) => return reject(stream, err),
        }
        let timeout = match buf.is_empty() {
            true => state.settings.idle_timeout,
            false => state.settings.request_timeout,
        };
        let remaining = timeout.saturating_sub(started.elapsed());
        if remaining.is_zero() && !buf.is_empty() {
            return reject(stream, HttpError::Timeout);
        }
        if remaining.is_zero() {
            return Ok(None);
        }
        stream
            .set_read_timeout(Some(remaining))
            .map_err(connection_lost)?;
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(n) => {
                if buf.is_empty() {
                    started = Instant::now();
                }
                buf.extend_from_slice(&chunk[..n]);
            }
            Err(err) if is_retryable(&err) => continue,
            Err(err) => return Err(connection_lost(err)),
        }
    }
}

fn reject(stream: &mut TcpStream, err: HttpError) -> Result<Option<Request>, HttpError> {
    let status = match &err {
        HttpError::TooLarge { .. } => 413,
        HttpError::Timeout => 408,
        _ => 400,
    };
    let mut response = Response::new(status, Vec::new());
    response.keep_alive = false;
    write_response(stream, &response)?;
    Err(err)
}

fn is_retryable(err: &std::io::Error) -> bool {
    matches!(
        err.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

fn connection_lost(err: std::io::Error) -> HttpError {
    HttpError::Lost {
        message: err.to_string(),
    }
}
