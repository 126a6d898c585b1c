//! Non-blocking connections: each response belongs to its call, and requests are sent whole.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use gorsespur_http::{Connection, HttpError, Limits, Method, Request, Response, parse_request};
use mio::{Events, Poll, Token};
use test_case::test_case;

/// A response with the body "own".
const OWN_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";

/// A response with the body "surplus".
const SURPLUS_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nsurplus";

/// Size of a request that exceeds every socket buffer.
const LARGE_BYTES: usize = 8 << 20;

/// Time without received bytes after which a peer stops waiting.
const QUIET_PERIOD: Duration = Duration::from_millis(1000);

/// Size limits of requests.
const LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 2 * LARGE_BYTES,
};

/// A client that drops its connection after a failure and after a response that closes it.
struct Caller {
    poll: Poll,
    addr: SocketAddr,
    connection: Option<Connection>,
}

impl Caller {
    fn new(addr: SocketAddr) -> Caller {
        Caller {
            poll: Poll::new().expect("descriptors"),
            addr,
            connection: None,
        }
    }

    fn send(&mut self, request: &Request) -> Result<(), HttpError> {
        if self.connection.as_ref().is_some_and(|c| !c.is_reusable()) {
            self.drop_connection();
        }
        if self.connection.is_none() {
            let connection = Connection::connect(self.addr, self.poll.registry(), Token(0));
            self.connection = Some(connection?);
        }
        self.connection.as_mut().expect("connected").send(request)
    }

    /// Reads until a response is whole or the connection has failed; times out without events.
    fn read_response(&mut self) -> Result<Response, HttpError> {
        let mut events = Events::with_capacity(16);
        let wait = Some(QUIET_PERIOD * 2);
        loop {
            self.poll.poll(&mut events, wait).expect("an event loop");
            if events.is_empty() {
                self.drop_connection();
                return Err(HttpError::Timeout);
            }
            for event in &events {
                let connection = self.connection.as_mut().expect("connected");
                let Some(result) = connection.on_ready(event.into()).transpose() else {
                    continue;
                };
                if !result.as_ref().is_ok_and(|r| r.keep_alive) {
                    self.drop_connection();
                }
                return result;
            }
        }
    }

    fn drop_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close(self.poll.registry());
        }
    }

    fn call(&mut self, request: &Request) -> Result<Response, HttpError> {
        self.send(request)?;
        self.read_response()
    }
}

fn request(body: &[u8]) -> Request {
    Request::new(Method::Post, "/", body.to_vec())
}

/// Reads one whole request; returns `None` at the end of the connection.
fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = vec![0; 64 << 10];
    loop {
        if let Some((request, size)) = parse_request(buf, LIMITS).expect("a request") {
            buf.drain(..size);
            return Some(request);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buf.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Starts a peer that answers the first request with these bytes, each piece in its own packet,
/// and all others with [`OWN_RESPONSE`].
fn spawn_peer(first: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let mut first = Some(first);
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            stream.set_nodelay(true).expect("an option");
            let mut buf = Vec::new();
            while read_request(&mut stream, &mut buf).is_some() {
                for piece in first.take().unwrap_or_else(|| vec![OWN_RESPONSE.to_vec()]) {
                    if stream.write_all(&piece).is_err() {
                        break;
                    }
                    thread::sleep(Duration::from_millis(2));
                }
            }
        }
    });
    addr
}

/// Splits the bytes into single ones.
fn split_bytes(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.iter().map(|&b| vec![b]).collect()
}

/// Guards against a response that is returned for another call: a poll of a worker that got the
/// previous poll's response would report runs that have ended and miss those that have started. A
/// call may fail instead.
#[test_case(vec![OWN_RESPONSE.to_vec()]; "whole")]
#[test_case(split_bytes(OWN_RESPONSE); "in pieces")]
#[test_case(vec![[OWN_RESPONSE, SURPLUS_RESPONSE].concat()]; "two at once")]
#[test_case(vec![[OWN_RESPONSE, &SURPLUS_RESPONSE[..SURPLUS_RESPONSE.len() - 3]].concat()]; "one and a half at once")]
#[test_case(vec![[OWN_RESPONSE, b"surplus"].concat()]; "a body longer than its length")]
#[test_case(vec![[OWN_RESPONSE, b"\r\n"].concat()]; "an empty line after it")]
#[test_case(vec![[b"HTTP/1.1 100 Continue\r\n\r\n", OWN_RESPONSE].concat()]; "an interim response before it")]
#[test_case(vec![[b"HTTP/1.1 102 Processing\r\ncontent-length: 0\r\n\r\n", OWN_RESPONSE].concat()]; "an interim response with a length before it")]
#[test_case(vec![b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()]; "no body")]
#[test_case(vec![[b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nown", SURPLUS_RESPONSE].concat()]; "the last one on its connection")]
#[test_case(vec![b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n".to_vec()]; "chunked")]
fn each_answer_is_that_of_its_call(first: Vec<Vec<u8>>) {
    let mut caller = Caller::new(spawn_peer(first));
    for at in 0..3 {
        let Ok(response) = caller.call(&request(b"")) else {
            continue;
        };
        let own = response.body == b"own" || response.status == 204;
        assert!(own && response.status >= 200, "call {at}: {response:?}");
    }
    assert_eq!(caller.call(&request(b"")).expect("own").body, b"own");
}

/// Returns a client that has got one response, and the peer's end of its connection.
fn answered_once() -> (Caller, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut caller = Caller::new(listener.local_addr().expect("bound"));
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = Vec::new();
        read_request(&mut stream, &mut buf).expect("a request");
        stream.write_all(OWN_RESPONSE).expect("sent");
        stream
    });
    assert_eq!(caller.call(&request(b"")).expect("a response").body, b"own");
    (caller, peer.join().expect("a peer"))
}

/// Bytes that arrive while no request is in flight are not returned for a later call.
#[test_case(SURPLUS_RESPONSE; "a whole response")]
#[test_case(&SURPLUS_RESPONSE[..SURPLUS_RESPONSE.len() - 3]; "half a response")]
fn bytes_between_two_calls_answer_neither(between: &'static [u8]) {
    let (mut caller, mut stream) = answered_once();
    stream.write_all(between).expect("sent");
    // The event loop reports the bytes before the next call.
    let mut events = Events::with_capacity(16);
    while !events.iter().any(|e| e.is_readable()) {
        caller.poll.poll(&mut events, None).expect("an event loop");
    }
    let connection = caller.connection.as_mut().expect("connected");
    let read = connection.on_readable(false);
    if !matches!(&read, Ok(found) if found.as_ref().is_none_or(|r| r.keep_alive)) {
        return;
    }
    caller.send(&request(b"")).expect("sent");
    stream.write_all(OWN_RESPONSE).expect("sent");
    if let Ok(response) = caller.read_response() {
        assert_eq!(response.body, b"own");
    }
}

/// The same if the next request is sent before the event loop reports the bytes: an owner reads
/// all responses of a turn and then sends the next orders.
#[test_case(SURPLUS_RESPONSE; "a whole response")]
#[test_case(b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"; "a farewell")]
fn bytes_that_arrived_before_a_call_do_not_answer_it(before: &'static [u8]) {
    let (mut caller, mut stream) = answered_once();
    stream.write_all(before).expect("sent");
    thread::sleep(Duration::from_millis(20));
    if caller.send(&request(b"")).is_err() {
        return;
    }
    if let Ok(response) = caller.read_response() {
        assert_eq!(response.body, b"own", "{response:?}");
    }
}

/// A peer's end of a connection, which reads only on request.
struct Peer {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Peer {
    fn read_request(&mut self) -> Option<Request> {
        read_request(&mut self.stream, &mut self.buf)
    }
}

/// Accepts connections and sends each to `peers`.
fn accept(listener: TcpListener, peers: Sender<Peer>) {
    for stream in listener.incoming() {
        let stream = stream.expect("a connection");
        let buf = Vec::new();
        if peers.send(Peer { stream, buf }).is_err() {
            return;
        }
    }
}

fn spawn_listener() -> (SocketAddr, Receiver<Peer>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (sender, peers) = channel();
    thread::spawn(move || accept(listener, sender));
    (addr, peers)
}

/// Sends until the socket's buffer is full.
fn fill_socket(caller: &mut Caller) {
    let mut events = Events::with_capacity(16);
    let wait = Some(Duration::from_millis(200));
    loop {
        caller.poll.poll(&mut events, wait).expect("an event loop");
        if events.is_empty() {
            return;
        }
        let connection = caller.connection.as_mut().expect("connected");
        connection.on_writable().expect("sent");
    }
}

/// A request that exceeds the socket's buffer arrives whole, and so does the next one.
#[test]
fn a_request_that_is_sent_in_parts_is_whole() {
    let (addr, peers) = spawn_listener();
    let mut caller = Caller::new(addr);
    let bodies = [vec![b'a'; LARGE_BYTES], b"next".to_vec()];
    let reader = thread::spawn(move || {
        let mut peer = peers.recv().expect("a connection");
        // The socket's buffer becomes full meanwhile.
        thread::sleep(Duration::from_millis(300));
        let mut read = Vec::new();
        for _ in 0..2 {
            read.push(peer.read_request().expect("a request").body);
            peer.stream.write_all(OWN_RESPONSE).expect("sent");
        }
        read
    });
    for body in &bodies {
        assert_eq!(caller.call(&request(body)).expect("own").body, b"own");
    }
    assert!(reader.join().expect("a peer") == bodies);
}

/// After a call that timed out while its request was sent in part, the next request is sent whole
/// on another connection, and the first request is never completed.
#[test]
fn a_request_that_was_given_up_is_not_continued() {
    let (addr, peers) = spawn_listener();
    let mut caller = Caller::new(addr);
    caller
        .send(&request(&vec![b'a'; LARGE_BYTES]))
        .expect("sent");
    fill_socket(&mut caller);
    caller.drop_connection();
    let mut first = peers.recv().expect("a connection");
    assert!(first.read_request().is_none());
    caller.send(&request(b"next")).expect("sent");
    fill_socket(&mut caller);
    let mut second = peers.recv().expect("a connection");
    assert_eq!(second.read_request().expect("a request").body, b"next");
}

/// Guards against a request that is sent in place of the rest of the previous one: the peer has
/// rejected the previous request before reading all of it, so that a part is still unsent.
#[test]
fn a_request_that_was_answered_early_is_not_continued_with_the_next() {
    let (addr, peers) = spawn_listener();
    let mut caller = Caller::new(addr);
    let large = vec![b'a'; LARGE_BYTES];
    caller.send(&request(&large)).expect("sent");
    fill_socket(&mut caller);
    let mut peer = peers.recv().expect("a connection");
    peer.stream
        .write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")
        .expect("sent");
    assert_eq!(caller.read_response().expect("a response").status, 503);
    caller.send(&request(b"next")).expect("sent");
    // Reads the requests of the first connection, then those of further connections.
    let reader = thread::spawn(move || {
        let mut bodies = Vec::new();
        let mut next = Some(peer);
        while let Some(mut peer) = next {
            peer.stream
                .set_read_timeout(Some(QUIET_PERIOD))
                .expect("an option");
            while let Some(request) = peer.read_request() {
                bodies.push(request.body);
                peer.stream.write_all(OWN_RESPONSE).expect("sent");
            }
            next = peers.recv_timeout(QUIET_PERIOD).ok();
        }
        bodies
    });
    let response = caller.read_response();
    caller.drop_connection();
    let bodies = reader.join().expect("a peer");
    assert!(bodies.iter().all(|b| *b == large || b == b"next"));
    assert_eq!(response.expect("own").body, b"own");
}

/// Guards against a missed end of a stream that arrives together with the last bytes: the event
/// loop reports both only once. A call that can't get a response any more has to fail without
/// waiting for its timeout, and the next one needs another connection.
#[test_case(&OWN_RESPONSE[..20], Err(HttpError::Lost { message: "closed".into() }); "within the head")]
#[test_case(&OWN_RESPONSE[..OWN_RESPONSE.len() - 1], Err(HttpError::Lost { message: "closed".into() }); "within the body")]
#[test_case(OWN_RESPONSE, Ok(()); "after the response")]
fn the_end_of_a_connection_is_detected(sent: &'static [u8], expected: Result<(), HttpError>) {
    let (addr, peers) = spawn_listener();
    let mut caller = Caller::new(addr);
    caller.send(&request(b"")).expect("sent");
    fill_socket(&mut caller);
    let mut first = peers.recv().expect("a connection");
    first.read_request().expect("a request");
    first.stream.write_all(sent).expect("sent");
    drop(first);
    let response = caller.read_response();
    assert_eq!(response.map(|r| assert_eq!(r.body, b"own")), expected);
    let peer = thread::spawn(move || {
        let mut second = peers.recv().expect("a connection");
        second.read_request().expect("a request");
        second.stream.write_all(OWN_RESPONSE).expect("sent");
        second
    });
    assert_eq!(caller.call(&request(b"")).expect("own").body, b"own");
    drop(peer.join().expect("a peer"));
}
