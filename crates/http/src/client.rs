//! A client that blocks, for one address.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    error::{HttpError, LostSnafu, not_connected},
    message::{Request, Response},
    parse::{Limits, parse_response},
    socket,
    traffic::Traffic,
};

/// Connections that are kept while nobody uses them.
const KEPT: usize = 8;

/// Bytes that one read takes at most.
const CHUNK: usize = 16 << 10;

/// Time that a read waits at least: what has arrived is read also after the limit.
const LEAST: Duration = Duration::from_millis(1);

/// An answer that has begun to arrive is no silence: each further part of it is waited for as long
/// as this ...
const PART: Duration = Duration::from_secs(1);

/// ... and all of it for no longer than this beyond its limit.
const WHOLE: Duration = Duration::from_secs(15);

/// Reads after the limit at most: an answer of 1 MB that had arrived, and no peer that
/// goes on sending a little for ever.
const LATE_READS: usize = 64;

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
    pub fn call(&self, request: &Request, limit: Duration) -> Result<Response, HttpError> {
        self.call_counted(request, limit, &Traffic::default())
    }

    /// As [`Client::call`]; counts the call and the bytes of its messages.
    pub fn call_counted(
        &self,
        request: &Request,
        limit: Duration,
        traffic: &Traffic,
    ) -> Result<Response, HttpError> {
        let end = Instant::now() + limit;
        let mut stream = match self.take_idle() {
            Some(stream) => stream,
            None => self.connect(limit)?,
        };
        let mut out = Vec::with_capacity(256 + request.body.len());
        request.encode(&self.host, &mut out);
        traffic.asked(out.len());
        let response = exchange(&mut stream, &out, end, traffic).inspect_err(|err| {
            if matches!(err, HttpError::Timeout) {
                self.lock().clear();
            }
        })?;
        if response.keep {
            self.keep(stream);
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

    fn keep(&self, stream: TcpStream) {
        let mut idle = self.lock();
        if idle.len() < KEPT {
            idle.push(stream);
        }
    }

    pub(crate) fn connect(&self, limit: Duration) -> Result<TcpStream, HttpError> {
        let stream = TcpStream::connect_timeout(&self.addr, limit);
        let stream = stream.map_err(|err| not_connected(&err))?;
        socket::tune(&stream);
        socket::probe(&stream);
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
    let quiet = match stream.peek(&mut byte) {
        Ok(_) => false,
        Err(err) => err.kind() == ErrorKind::WouldBlock,
    };
    quiet && stream.set_nonblocking(false).is_ok()
}

fn exchange(
    stream: &mut TcpStream,
    out: &[u8],
    end: Instant,
    traffic: &Traffic,
) -> Result<Response, HttpError> {
    if Instant::now() >= end {
        return Err(HttpError::Timeout);
    }
    limit_io(stream, end)?;
    stream.write_all(out).map_err(lost)?;
    read_response(stream, end, traffic)
}

/// Reads an answer that has to have begun to arrive by `end`, and then to go on: a large one
/// takes seconds on a narrow link, and asked for anew it would take the link from others.
///
/// A process that was paused meanwhile finds it later: what has arrived is read, and only
/// then is the call given up.
pub(crate) fn read_response(
    stream: &mut TcpStream,
    mut end: Instant,
    traffic: &Traffic,
) -> Result<Response, HttpError> {
    let last = end + WHOLE;
    let mut buf = Vec::new();
    let mut chunk = vec![0; CHUNK];
    let mut late = 0;
    loop {
        let is_late = Instant::now() >= end;
        late += usize::from(is_late);
        if late > LATE_READS {
            return Err(HttpError::Timeout);
        }
        limit_io(stream, end)?;
        let n = stream.read(&mut chunk).map_err(lost)?;
        if n == 0 {
            return LostSnafu { message: "closed" }.fail();
        }
        traffic.received(n);
        buf.extend_from_slice(&chunk[..n]);
        if let Some((mut response, size)) = parse_response(&buf, Limits::default())? {
            // What lies behind it would be taken for the answer to the next request.
            response.keep &= size == buf.len();
            return Ok(response);
        }
        if !is_late {
            end = end.max(Instant::now() + PART).min(last);
        }
    }
}

fn limit_io(stream: &TcpStream, end: Instant) -> Result<(), HttpError> {
    let left = end.saturating_duration_since(Instant::now()).max(LEAST);
    stream.set_read_timeout(Some(left)).map_err(lost)?;
    stream.set_write_timeout(Some(left)).map_err(lost)
}

fn lost(err: std::io::Error) -> HttpError {
    match err.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => HttpError::Timeout,
        _ => HttpError::Lost {
            message: err.to_string(),
        },
    }
}
