//! Guarantees of the HTTP modules that the underlying libraries don't give.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use gorsespur_runtime::{
    cancel::CancelToken,
    client::{Call, CallError, Response, find_header},
    server::{Limits, Reply, ServerHandle, serve},
};
use gorsespur_services::fake::unique_addr;
use test_case::test_case;

/// Starts a peer that answers one connection with raw bytes; returns its address.
fn raw_peer(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf);
        let _ = stream.write_all(response);
    });
    addr
}

fn call(addr: SocketAddr) -> Result<Response, CallError> {
    Call::new("GET", addr, "/")
        .timeout(Duration::from_secs(2))
        .max_body(1_000)
        .send()
}

#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabcde"; "body cut short")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"; "last chunk missing")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabcde"; "chunk cut short")]
#[test_case(b"HTTP/1.1 200 OK\r\n\r\nabcde"; "no length at all")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Le"; "head cut short")]
#[test_case(b""; "closed without a response")]
fn a_truncated_response_is_an_error(response: &'static [u8]) {
    let result = call(raw_peer(response));
    assert!(matches!(result, Err(CallError::Broken)), "{result:?}");
}

#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde"; "by length")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"; "by chunks")]
fn a_whole_response_is_returned(response: &'static [u8]) {
    let result = call(raw_peer(response)).expect("a whole response");
    assert_eq!(result.body, b"abcde");
}

#[test]
fn a_long_answer_is_refused() {
    let result = call(raw_peer(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"));
    assert!(matches!(result, Err(CallError::TooLong)), "{result:?}");
}

#[test]
fn a_redirect_is_not_followed() {
    let result = call(raw_peer(
        b"HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
    ));
    assert_eq!(result.expect("a response").status, 307);
}

#[test]
fn a_refused_connection_proves_that_nothing_was_sent() {
    let addr = unique_addr().expect("an address");
    assert!(matches!(call(addr), Err(CallError::NotSent)));
}

#[test]
fn a_missing_response_is_a_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let result = Call::new("GET", addr, "/")
        .timeout(Duration::from_millis(100))
        .send();
    assert!(matches!(result, Err(CallError::Timeout)), "{result:?}");
}

fn server(limits: Limits, cancel: &CancelToken) -> ServerHandle {
    let addr = ([127, 0, 0, 1], 0).into();
    let handle = serve(addr, "test", limits, cancel, |req| {
        Reply::text(
            200,
            format!("{} {} {}", req.method, req.path, req.body.len()),
        )
    });
    handle.expect("a free port")
}

fn small_limits() -> Limits {
    Limits {
        head_bytes: 2_000,
        body_bytes: 2_000,
        io_timeout: Duration::from_millis(150),
        body_timeout: Duration::from_millis(150),
        handlers: 2,
        max_queued: 4,
        max_connections: 100,
    }
}

/// Sends raw bytes, optionally shuts down the sending side, and reads the response.
fn raw_call(addr: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.write_all(bytes).expect("sent");
    if close {
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("half closed");
    }
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

#[test_case(b"POST / HTTP/1.1\r\nContent-Length: 1500\r\n\r\nab", true, "400"; "body cut short")]
#[test_case(b"POST / HTTP/1.1\r\nContent-Length: 1500\r\n\r\nab", false, "408"; "body never ends")]
#[test_case(b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\nab", true, "413"; "body over the limit")]
fn a_body_that_is_not_whole_is_not_handled(bytes: &[u8], close: bool, status: &str) {
    let cancel = CancelToken::new();
    let handle = server(small_limits(), &cancel);
    let text = raw_call(handle.addr, bytes, close);
    assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
    assert!(text.to_lowercase().contains("x-outcome: not-run"), "{text}");
    cancel.cancel();
}

/// The library reads short bodies itself, before it returns the request.
#[test]
fn a_short_body_that_is_cut_is_not_handled() {
    let cancel = CancelToken::new();
    let addr = ([127, 0, 0, 1], 0).into();
    let (tx, rx) = flume::unbounded();
    let handle = serve(addr, "test", small_limits(), &cancel, move |_| {
        let _ = tx.send(());
        Reply::text(200, "ran")
    });
    let bytes = b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nab";
    let text = raw_call(handle.expect("a free port").addr, bytes, true);
    assert_eq!(text, "");
    assert!(rx.try_recv().is_err(), "handled a cut request");
    cancel.cancel();
}

#[test]
fn a_long_head_is_refused() {
    let cancel = CancelToken::new();
    let handle = server(small_limits(), &cancel);
    let head = format!(
        "GET / HTTP/1.1\r\nx: {}\r\nConnection: close\r\n\r\n",
        "y".repeat(3_000)
    );
    let text = raw_call(handle.addr, head.as_bytes(), false);
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
    cancel.cancel();
}

#[test]
fn slow_clients_do_not_block_other_clients() {
    let cancel = CancelToken::new();
    let handle = server(small_limits(), &cancel);
    let mut held = Vec::new();
    for bytes in [
        &b"GET / HT"[..],
        b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nab",
        b"",
    ] {
        for _ in 0..4 {
            let mut stream = TcpStream::connect(handle.addr).expect("a connection");
            stream.write_all(bytes).expect("sent");
            held.push(stream);
        }
    }
    let response = loop {
        let result = Call::new("GET", handle.addr, "/")
            .timeout(Duration::from_secs(5))
            .send();
        match result {
            Ok(response) if response.status == 503 => thread::sleep(Duration::from_millis(20)),
            Ok(response) => break response,
            Err(err) => panic!("{err}"),
        }
    };
    assert_eq!(response.status, 200);
    for mut stream in held {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    cancel.cancel();
}

/// Guards against a client that restarts the read timeout with each byte.
#[test]
fn a_client_that_sends_its_head_slowly_is_disconnected() {
    let cancel = CancelToken::new();
    let handle = server(small_limits(), &cancel);
    let mut stream = TcpStream::connect(handle.addr).expect("a connection");
    let mut cut = false;
    for byte in b"GET / HTTP/1.1\r\nx: ".iter().chain([b'y'; 400].iter()) {
        cut = stream.write_all(&[*byte]).is_err();
        if cut {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(cut, "held a thread for 420 bytes");
    cancel.cancel();
}

#[test]
fn connections_above_the_limit_are_closed() {
    let cancel = CancelToken::new();
    let limits = Limits {
        max_connections: 3,
        io_timeout: Duration::from_secs(20),
        ..small_limits()
    };
    let handle = server(limits, &cancel);
    let mut held = Vec::new();
    for _ in 0..12 {
        held.push(TcpStream::connect(handle.addr).expect("a connection"));
    }
    let mut closed = 0;
    for stream in &mut held[..9] {
        stream
            .set_read_timeout(Some(Duration::from_secs(15)))
            .expect("set");
        closed += usize::from(matches!(stream.read(&mut [0; 8]), Ok(0)));
    }
    assert!(closed >= 8, "{closed} closed");
    cancel.cancel();
}

#[test]
fn an_idle_server_keeps_serving_after_a_timeout_of_accept() {
    let cancel = CancelToken::new();
    let handle = server(small_limits(), &cancel);
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(400));
        let result = Call::new("GET", handle.addr, "/x")
            .send()
            .expect("a response");
        assert_eq!(result.body, b"GET /x 0");
    }
    cancel.cancel();
}

#[test]
fn header_fields_are_found_by_their_lower_case_names() {
    let result = call(raw_peer(
        b"HTTP/1.1 200 OK\r\nX-Outcome: ran\r\nContent-Length: 0\r\n\r\n",
    ));
    assert_eq!(
        find_header(&result.expect("a response").headers, "x-outcome"),
        Some("ran")
    );
}
