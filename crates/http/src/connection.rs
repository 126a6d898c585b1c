//! A connection that never blocks, for an event loop.

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

/// Bytes that one read takes at most.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// What an event loop tells of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Readiness {
    /// Something has arrived, the end or a failure included.
    pub readable: bool,
    /// More can be sent.
    pub writable: bool,
    /// The peer sends nothing more.
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

/// One connection with at most one request under way.
///
/// Limits on time are the event loop's: it drops connections that are late.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    host: String,
    output: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    connected: bool,
    /// Whether a request is under way.
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

    /// Tells whether nothing has arrived since the last answer, nor the end: else that would
    /// be read as the answer to the next request.
    pub fn is_reusable(&self) -> bool {
        let is_empty = match self.stream.peek(&mut [0; 1]) {
            Ok(_) => false,
            Err(err) => matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected),
        };
        is_empty && self.input.is_empty()
    }

    /// Queues a request and sends what the socket takes at once.
    pub fn send(&mut self, request: &Request) -> Result<(), HttpError> {
        self.output.clear();
        self.sent = 0;
        self.in_flight = true;
        request.encode(&self.host, &mut self.output);
        self.flush()
    }

    /// Goes on sending after the socket became writable.
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

    /// Does what the event loop tells that can be done; returns the answer once it is whole.
    pub fn on_ready(&mut self, readiness: Readiness) -> Result<Option<Response>, HttpError> {
        if readiness.writable {
            self.on_writable()?;
        }
        match readiness.readable {
            true => self.on_readable(readiness.closed),
            false => Ok(None),
        }
    }

    /// Reads after the socket became readable; returns the answer once it is whole. `ended`
    /// tells that the peer sends nothing more.
    ///
    /// What comes without having been asked for is a failure. An answer with more behind it, or
    /// to a request that is not sent whole, is the last one: on a kept connection the rest would
    /// be taken for the answer to the next request.
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

    /// Reads what has arrived; returns how the connection ended if it did.
    ///
    /// A short read usually means that nothing is left, but an end that came with the last bytes
    /// has to be read as well: the event loop tells of both only once.
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

    /// Takes the connection out of its event loop.
    pub fn close(mut self, registry: &Registry) {
        if let Err(err) = registry.deregister(&mut self.stream) {
            log::debug!("http: deregister: {err}");
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

    /// Before the connection stands nothing can have been sent.
    fn io_error(&self, err: std::io::Error) -> HttpError {
        if !self.connected {
            return connect_error(&err);
        }
        HttpError::Lost {
            message: err.to_string(),
        }
    }
}
