//! A client that blocks, for one address.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    error::{HttpError, LostSnafu, connect_error},
    message::{Request, Response},
    parse::{Limits, parse_response},
    socket,
    traffic::Traffic,
};

/// Connections that are kept while nobody uses them.
const MAX_IDLE: usize = 8;

/// Bytes that one read takes at most.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Time that a read waits at least: what has arrived is read also after the limit.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// An answer that has begun to arrive is no silence: each further part of it is waited for as long
/// as this ...
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// ... and all of it for no longer than this beyond its limit.
const MAX_EXTENSION: Duration = Duration::from_secs(15);

/// Reads after the limit at most: an answer of 1 MB that had arrived, and no peer that
/// goes on sending a little for ever.
const MAX_LATE_READS: usize = 64;

/// Calls one address over kept connections; threads share it.
///
/// A connection is dropped after any failure, since an answer that was lost may
/// still arrive on it. After silence all kept connections are: open ones may have
/// gone silent for good, all at once, while new ones work.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    host: String,
    idle: Mutex<Vec<TcpStream>>,
}

impl Client {
    /// Makes a client; connections are opened when they are needed.
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            host: addr.to_string(),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and returns the whole answer, which begins within `limit`.
    ///
    /// Kept connections that the peer has closed are passed over before anything is
    /// sent; a request is never sent twice.
    pub fn call(&self, request: &Request, timeout: Duration) -> Result<Response, HttpError> {
        self.call_counted(request, timeout, &Traffic::default())
    }

    /// As [`Client::call`]; counts the call and the bytes of its messages.
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
            if matches!(err, HttpError::Timeout) {
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

    fn put_idle(&self, stream: TcpStream) {
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

/// Tells whether an idle connection is still open: nothing to read, no end.
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
        return Err(HttpError::Timeout);
    }
    set_timeouts(stream, deadline)?;
    stream.write_all(out).map_err(io_error)?;
    read_response(stream, deadline, traffic)
}

/// Reads an answer that has to have begun to arrive by `end`, and then to go on: a large one
/// takes seconds on a narrow link, and asked for anew it would take the link from others.
///
/// A process that was paused meanwhile finds it later: what has arrived is read, and only
/// then is the call given up.
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
            // What lies behind it would be taken for the answer to the next request.
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
