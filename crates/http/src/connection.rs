//! A non-blocking client connection for an event loop.

use std::{
    io::{ErrorKind, Read, Write},
    net::SocketAddr,
};

use mio::{Interest, Registry, Token, event::Event, net::TcpStream};

use crate::{
    error::{HttpError, LostSnafu, connect_error},
    message::{Request, Response},
    parse::{Limits, parse_response},
    socket,
};

/// Maximum number of bytes read at once.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Readiness of a connection as reported by an event loop.
#[derive(Debug, Clone, Copy)]
pub struct Readiness {
    /// Bytes, the end of the stream or an error can be read.
    pub readable: bool,
    /// Bytes can be written.
    pub writable: bool,
    /// The peer sends no more bytes.
    pub closed: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Readiness {
        let closed = event.is_read_closed() || event.is_error();
        Readiness {
            readable: event.is_readable() || closed,
            writable: event.is_writable(),
            closed,
        }
    }
}

/// A connection with at most one request in flight.
///
/// It has no timeouts: the event loop drops connections whose response is overdue.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    host: String,
    output: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    connected: bool,
    in_flight: bool,
}

impl Connection {
    /// Starts connecting to `addr` and registers the connection under `token`.
    pub fn connect(
        addr: SocketAddr,
        registry: &Registry,
        token: Token,
    ) -> Result<Connection, HttpError> {
        let mut stream = TcpStream::connect(addr).map_err(|err| connect_error(&err))?;
        socket::set_options(&stream);
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry
            .register(&mut stream, token, interest)
            .map_err(|err| connect_error(&err))?;
        Ok(Connection {
            stream,
            host: addr.to_string(),
            output: Vec::new(),
            sent: 0,
            input: Vec::new(),
            connected: false,
            in_flight: false,
        })
    }

    /// Returns whether neither bytes nor the end of the stream have arrived since the last
    /// response. Such bytes would be taken for the response to the next request.
    pub fn is_reusable(&self) -> bool {
        let is_empty = match self.stream.peek(&mut [0; 1]) {
            Ok(_) => false,
            Err(err) => matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected),
        };
        is_empty && self.input.is_empty()
    }

    /// Starts sending a request, as far as the socket takes it without blocking.
    pub fn send(&mut self, request: &Request) -> Result<(), HttpError> {
        self.output.clear();
        self.sent = 0;
        self.in_flight = true;
        request.encode(&self.host, &mut self.output);
        self.flush()
    }

    /// Continues sending after the socket has become writable.
    pub fn on_writable(&mut self) -> Result<(), HttpError> {
        if !self.connected {
            if let Ok(Some(err)) = self.stream.take_error() {
                return Err(connect_error(&err));
            }
            if self.stream.peer_addr().is_err() {
                return Ok(());
            }
            self.connected = true;
        }
        self.flush()
    }

    /// Writes and reads as far as the socket is ready; returns the response once it is whole.
    pub fn on_ready(&mut self, readiness: Readiness) -> Result<Option<Response>, HttpError> {
        if readiness.writable {
            self.on_writable()?;
        }
        match readiness.readable {
            true => self.on_readable(readiness.closed),
            false => Ok(None),
        }
    }

    /// Reads after the socket has become readable; returns the response once it is whole.
    /// `closed` states that the peer sends no more bytes.
    ///
    /// Bytes that arrive while no request is in flight are an error. A response that is followed
    /// by more bytes, or that arrives before its request is sent completely, ends the
    /// connection: the surplus bytes would be taken for the next response, or the next request
    /// for the rest of the previous one.
    pub fn on_readable(&mut self, closed: bool) -> Result<Option<Response>, HttpError> {
        let failure = self.read_available(closed);
        if !self.in_flight && !self.input.is_empty() {
            return LostSnafu {
                message: "unsolicited bytes",
            }
            .fail();
        }
        let Some((mut response, size)) = parse_response(&self.input, Limits::default())? else {
            return failure.map_or(Ok(None), Err);
        };
        let whole = size == self.input.len() && self.sent == self.output.len();
        response.keep_alive &= whole && failure.is_none();
        self.input.clear();
        self.in_flight = false;
        Ok(Some(response))
    }

    /// Reads all available bytes; returns an error if the connection has ended.
    ///
    /// A short read usually means that no more bytes are available. If the stream has ended, its
    /// end has to be read as well, because the event loop reports it only once, together with
    /// the last bytes.
    fn read_available(&mut self, closed: bool) -> Option<HttpError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    return Some(HttpError::Lost {
                        message: "closed".into(),
                    });
                }
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < READ_CHUNK_BYTES && !closed {
                        return None;
                    }
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => return None,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => return Some(self.io_error(err)),
            }
        }
    }

    /// Closes the connection and removes it from its event loop.
    pub fn close(mut self, registry: &Registry) {
        if let Err(err) = registry.deregister(&mut self.stream) {
            log::debug!("http: can't deregister a connection: {err}");
        }
    }

    fn flush(&mut self) -> Result<(), HttpError> {
        while self.connected && self.sent < self.output.len() {
            match self.stream.write(&self.output[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => return Err(self.io_error(err)),
            }
        }
        Ok(())
    }

    /// Converts an error of the socket; nothing was sent before the connection was established.
    fn io_error(&self, err: std::io::Error) -> HttpError {
        if !self.connected {
            return connect_error(&err);
        }
        HttpError::Lost {
            message: err.to_string(),
        }
    }
}
