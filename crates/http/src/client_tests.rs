//! Answers that a paused process finds late.

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

use crate::{client::read_response, error::HttpError};

/// Connects to a peer that has sent these bytes.
fn connected(sent: &[u8]) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(addr).expect("connected");
    let (mut peer, _) = listener.accept().expect("accepted");
    peer.write_all(sent).expect("sent");
    if !sent.is_empty() {
        // Waits until it has arrived.
        stream.peek(&mut [0; 1]).expect("arrived");
    }
    (stream, peer)
}

fn over() -> Instant {
    Instant::now() - Duration::from_millis(1)
}

#[test]
fn an_answer_that_has_arrived_is_read_after_the_limit() {
    let (mut stream, _peer) = connected(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let response = read_response(&mut stream, over()).expect("an answer");
    assert_eq!(response.body, b"ok");
}

#[test]
fn nothing_that_is_still_to_come_is_waited_for_after_the_limit() {
    let (mut stream, _peer) = connected(b"");
    assert_eq!(read_response(&mut stream, over()), Err(HttpError::Timeout));
    let (mut stream, _peer) = connected(b"HTTP/1.1 200 OK\r\n");
    assert_eq!(read_response(&mut stream, over()), Err(HttpError::Timeout));
}
