//! Responses that arrive while the process is paused, and unreachable peers.

use std::{
    io::{Error, ErrorKind, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

use socket2::SockRef;

use crate::{
    client::{Client, read_response, send},
    error::HttpError,
    message::{Method, Request},
    traffic::Traffic,
};

/// Connects to a peer that has already sent these bytes.
fn connect_to_peer(sent: &[u8]) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(addr).expect("connected");
    let (mut peer, _) = listener.accept().expect("accepted");
    peer.write_all(sent).expect("sent");
    if !sent.is_empty() {
        // Waits until the first byte has arrived.
        stream.peek(&mut [0; 1]).expect("arrived");
    }
    (stream, peer)
}

fn past_deadline() -> Instant {
    Instant::now() - Duration::from_millis(1)
}

#[test]
fn a_response_that_has_arrived_is_read_after_the_deadline() {
    let (mut stream, _peer) = connect_to_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let response =
        read_response(&mut stream, past_deadline(), &Traffic::default()).expect("a response");
    assert_eq!(response.body, b"ok");
}

#[test]
fn missing_bytes_are_not_awaited_after_the_deadline() {
    let (mut stream, _peer) = connect_to_peer(b"");
    assert_eq!(
        read_response(&mut stream, past_deadline(), &Traffic::default()),
        Err(HttpError::Timeout)
    );
    let (mut stream, _peer) = connect_to_peer(b"HTTP/1.1 200 OK\r\n");
    assert_eq!(
        read_response(&mut stream, past_deadline(), &Traffic::default()),
        Err(HttpError::Timeout)
    );
}

/// Guards against a long poll that waits for its whole timeout although its peer has become
/// unreachable: TCP keep-alive has to detect that within two seconds.
#[test]
fn connections_are_probed_while_a_response_is_awaited() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = Client::new(listener.local_addr().expect("bound"));
    let stream = client.connect(Duration::from_secs(5)).expect("connected");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("socket option"));
    let keepalive_time = socket.tcp_keepalive_time().expect("socket option");
    let interval = socket.tcp_keepalive_interval().expect("socket option");
    assert!(keepalive_time + interval <= Duration::from_secs(2));
}

#[test]
fn a_port_without_a_listener_refuses() {
    // No other test binds a port of this address.
    let listener = TcpListener::bind("127.0.71.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    drop(listener);
    let request = Request::new(Method::Get, "/", Vec::new());
    let result = Client::new(addr).call(&request, Duration::from_secs(5));
    assert_eq!(result.map(|r| r.status), Err(HttpError::Refused));
}

/// A connection that takes a number of bytes and then fails.
struct FailingConnection {
    takes: usize,
}

impl Write for FailingConnection {
    fn write(&mut self, out: &[u8]) -> std::io::Result<usize> {
        let taken = self.takes.min(out.len());
        self.takes -= taken;
        match taken {
            0 => Err(Error::from(ErrorKind::ConnectionReset)),
            _ => Ok(taken),
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_request_of_which_no_byte_was_taken_was_not_sent() {
    let result = send(&mut FailingConnection { takes: 0 }, b"request");
    assert!(result.is_err_and(|err| err.is_not_sent()));
}

#[test]
fn a_request_of_which_a_byte_was_taken_may_have_been_sent() {
    let result = send(&mut FailingConnection { takes: 1 }, b"request");
    assert!(result.is_err_and(|err| !err.is_not_sent()));
}

#[test]
fn a_request_without_time_left_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let request = Request::new(Method::Get, "/", Vec::new());
    let client = Client::new(addr);
    client.put_idle(TcpStream::connect(addr).expect("connected"));
    let result = client.call(&request, Duration::ZERO);
    assert!(result.is_err_and(|err| err.is_not_sent()));
}
