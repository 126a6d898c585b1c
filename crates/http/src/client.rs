//! A blocking client for one address.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    error::{HttpError, LostSnafu, NotSentSnafu, connect_error},
    message::{Request, Response},
    parse::{Limits, parse_response},
    socket,
    traffic::Traffic,
};

/// Maximum number of idle connections in the pool.
const MAX_IDLE: usize = 8;

/// Shortest timeout of a call that says something of the other connections. A peer that doesn't
/// respond sooner may be busy, and new connections would make it busier.
const MIN_CONCLUSIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of bytes read at once.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Shortest timeout of a read, so that bytes that have arrived are read even after the deadline.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest wait for each further part of a response that has begun to arrive.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time beyond the deadline for the whole of such a response.
const MAX_EXTENSION: Duration = Duration::from_secs(15);

/// Maximum number of reads after the deadline. They suffice for a response of 1 MB that has
/// arrived, and bound the time spent on a peer that keeps sending a little.
const MAX_LATE_READS: usize = 64;

/// A client for one address with a pool of connections; shared by threads.
///
/// A connection is dropped after any failure, since the response to the failed call may
/// still arrive on it. After a timeout, unless it is very short, all pooled connections are
/// dropped: open connections may stop working all at once while new ones work.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    host: String,
    idle: Mutex<Vec<TcpStream>>,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            host: addr.to_string(),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and returns the whole response, which has to begin to arrive within
    /// `timeout`.
    ///
    /// Pooled connections that the peer has closed are skipped before anything is
    /// sent; a request is never sent twice.
    pub fn call(&self, request: &Request, timeout: Duration) -> Result<Response, HttpError> {
        self.call_counted(request, timeout, &Traffic::default())
    }

    /// Like [`Client::call`], but counts the call and the bytes of its messages in `traffic`.
    pub fn call_counted(
        &self,
        request: &Request,
        timeout: Duration,
        traffic: &Traffic,
    ) -> Result<Response, HttpError> {
        let deadline = Instant::now() + timeout;
        let mut stream = match self.take_idle() {
            Some(stream) => stream,
            None => self.connect(timeout)?,
        };
        let mut out = Vec::with_capacity(256 + request.body.len());
        request.encode(&self.host, &mut out);
        traffic.record_request(out.len());
        let response = exchange(&mut stream, &out, deadline, traffic).inspect_err(|err| {
            let is_silent = matches!(err, HttpError::Timeout | HttpError::NotSent { .. });
            if is_silent && timeout >= MIN_CONCLUSIVE_TIMEOUT {
                self.lock().clear();
            }
        })?;
        if response.keep_alive {
            self.put_idle(stream);
        }
        Ok(response)
    }

    fn take_idle(&self) -> Option<TcpStream> {
        loop {
            let stream = self.lock().pop()?;
            if is_open(&stream) {
                return Some(stream);
            }
        }
    }

    pub(crate) fn put_idle(&self, stream: TcpStream) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE {
            idle.push(stream);
        }
    }

    pub(crate) fn connect(&self, timeout: Duration) -> Result<TcpStream, HttpError> {
        let stream = TcpStream::connect_timeout(&self.addr, timeout);
        let stream = stream.map_err(|err| connect_error(&err))?;
        socket::set_options(&stream);
        socket::enable_keepalive(&stream);
        Ok(stream)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether an idle connection is still open and has nothing to read.
fn is_open(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let mut byte = [0; 1];
    let is_idle = match stream.peek(&mut byte) {
        Ok(_) => false,
        Err(err) => err.kind() == ErrorKind::WouldBlock,
    };
    is_idle && stream.set_nonblocking(false).is_ok()
}

fn exchange(
    stream: &mut TcpStream,
    out: &[u8],
    deadline: Instant,
    traffic: &Traffic,
) -> Result<Response, HttpError> {
    if Instant::now() >= deadline {
        return NotSentSnafu {
            message: "no time left",
        }
        .fail();
    }
    set_timeouts(stream, deadline)?;
    send(stream, out)?;
    read_response(stream, deadline, traffic)
}

/// Sends a request. If the first write fails, the connection has taken nothing of it.
pub(crate) fn send(stream: &mut impl Write, out: &[u8]) -> Result<(), HttpError> {
    let sent = loop {
        match stream.write(out) {
            Ok(sent) => break sent,
            Err(err) if err.kind() == ErrorKind::Interrupted => continue,
            Err(err) => {
                return NotSentSnafu {
                    message: err.to_string(),
                }
                .fail();
            }
        }
    };
    stream.write_all(&out[sent..]).map_err(io_error)
}

/// Reads a response, which has to begin to arrive by `deadline` and then keep arriving. A large
/// response takes seconds on a narrow link, and repeating the request would take bandwidth from
/// other calls.
///
/// If the process was paused past the deadline, bytes that have already arrived are still read
/// before the call times out.
pub(crate) fn read_response(
    stream: &mut TcpStream,
    mut deadline: Instant,
    traffic: &Traffic,
) -> Result<Response, HttpError> {
    let max_deadline = deadline + MAX_EXTENSION;
    let mut buf = Vec::new();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let mut late_reads = 0;
    loop {
        let is_late = Instant::now() >= deadline;
        late_reads += usize::from(is_late);
        if late_reads > MAX_LATE_READS {
            return Err(HttpError::Timeout);
        }
        set_timeouts(stream, deadline)?;
        let n = stream.read(&mut chunk).map_err(io_error)?;
        if n == 0 {
            return LostSnafu { message: "closed" }.fail();
        }
        traffic.record_response(n);
        buf.extend_from_slice(&chunk[..n]);
        if let Some((mut response, size)) = parse_response(&buf, Limits::default())? {
            // Surplus bytes would be taken for the response to the next request.
            response.keep_alive &= size == buf.len();
            return Ok(response);
        }
        if !is_late {
            deadline = deadline
                .max(Instant::now() + PROGRESS_TIMEOUT)
                .min(max_deadline);
        }
    }
}

fn set_timeouts(stream: &TcpStream, deadline: Instant) -> Result<(), HttpError> {
    let remaining = deadline
        .saturating_duration_since(Instant::now())
        .max(MIN_TIMEOUT);
    stream.set_read_timeout(Some(remaining)).map_err(io_error)?;
    stream.set_write_timeout(Some(remaining)).map_err(io_error)
}

fn io_error(err: std::io::Error) -> HttpError {
    match err.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => HttpError::Timeout,
        _ => HttpError::Lost {
            message: err.to_string(),
        },
    }
}
