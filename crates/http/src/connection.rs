//! A connection that never blocks, for an event loop.

use std::{
    io::{ErrorKind, Read, Write},
    net::SocketAddr,
};

use mio::{Interest, Registry, Token, event::Event, net::TcpStream};

use crate::{
    error::{HttpError, LostSnafu, not_connected},
    message::{Request, Response},
    parse::{Limits, parse_response},
    socket,
};

/// Bytes that one read takes at most.
const CHUNK: usize = 16 << 10;

/// What an event loop tells of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Readiness {
    /// Something has arrived, the end or a failure included.
    pub read: bool,
    /// More can be sent.
    pub write: bool,
    /// The peer sends nothing more.
    pub ended: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Readiness {
        let ended = event.is_read_closed() || event.is_error();
        Readiness {
            read: event.is_readable() || ended,
            write: event.is_writable(),
            ended,
        }
    }
}

/// One connection with at most one request under way.
///
/// Limits on time are the event loop's: it drops links that are late.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    host: String,
    out: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    connected: bool,
    /// Whether a request is under way.
    in_flight: bool,
}

impl Link {
    /// Starts connecting to `addr` and registers the connection under `token`.
    pub fn connect(addr: SocketAddr, registry: &Registry, token: Token) -> Result<Link, HttpError> {
        let mut stream = TcpStream::connect(addr).map_err(|err| not_connected(&err))?;
        socket::tune(&stream);
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry
            .register(&mut stream, token, interest)
            .map_err(|err| not_connected(&err))?;
        Ok(Link {
            stream,
            host: addr.to_string(),
            out: Vec::new(),
            sent: 0,
            input: Vec::new(),
            connected: false,
            in_flight: false,
        })
    }

    /// Tells whether nothing has arrived since the last answer, nor the end: else that would
    /// be read as the answer to the next request.
    pub fn is_quiet(&self) -> bool {
        let quiet = match self.stream.peek(&mut [0; 1]) {
            Ok(_) => false,
            Err(err) => matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected),
        };
        quiet && self.input.is_empty()
    }

    /// Queues a request and sends what the socket takes at once.
    pub fn send(&mut self, request: &Request) -> Result<(), HttpError> {
        self.out.clear();
        self.sent = 0;
        self.in_flight = true;
        request.encode(&self.host, &mut self.out);
        self.flush()
    }

    /// Goes on sending after the socket became writable.
    pub fn writable(&mut self) -> Result<(), HttpError> {
        if !self.connected {
            if let Ok(Some(err)) = self.stream.take_error() {
                return Err(not_connected(&err));
            }
            if self.stream.peer_addr().is_err() {
                return Ok(());
            }
            self.connected = true;
        }
        self.flush()
    }

    /// Does what the event loop tells that can be done; returns the answer once it is whole.
    pub fn ready(&mut self, readiness: Readiness) -> Result<Option<Response>, HttpError> {
        if readiness.write {
            self.writable()?;
        }
        match readiness.read {
            true => self.readable(readiness.ended),
            false => Ok(None),
        }
    }

    /// Reads after the socket became readable; returns the answer once it is whole. `ended`
    /// tells that the peer sends nothing more.
    ///
    /// What comes without having been asked for is a failure. An answer with more behind it, or
    /// to a request that is not sent whole, is the last one: on a kept connection the rest would
    /// be taken for the answer to the next request.
    pub fn readable(&mut self, ended: bool) -> Result<Option<Response>, HttpError> {
        let end = self.read_all(ended);
        if !self.in_flight && !self.input.is_empty() {
            return LostSnafu {
                message: "unsolicited bytes",
            }
            .fail();
        }
        let Some((mut response, size)) = parse_response(&self.input, Limits::default())? else {
            return end.map_or(Ok(None), Err);
        };
        let whole = size == self.input.len() && self.sent == self.out.len();
        response.keep &= whole && end.is_none();
        self.input.clear();
        self.in_flight = false;
        Ok(Some(response))
    }

    /// Reads what has arrived; returns how the connection ended if it did.
    ///
    /// A short read usually means that nothing is left, but an end that came with the last bytes
    /// has to be read as well: the event loop tells of both only once.
    fn read_all(&mut self, ended: bool) -> Option<HttpError> {
        let mut chunk = [0; CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    return Some(HttpError::Lost {
                        message: "closed".into(),
                    });
                }
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < CHUNK && !ended {
                        return None;
                    }
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => return None,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => return Some(self.failed(err)),
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
        while self.connected && self.sent < self.out.len() {
            match self.stream.write(&self.out[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => return Err(self.failed(err)),
            }
        }
        Ok(())
    }

    /// Before the connection stands nothing can have been sent.
    fn failed(&self, err: std::io::Error) -> HttpError {
        if !self.connected {
            return not_connected(&err);
        }
        HttpError::Lost {
            message: err.to_string(),
        }
    }
}
