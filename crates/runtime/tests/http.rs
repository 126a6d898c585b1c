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
use gorsespur_services::fake::own_addr;
use test_case::test_case;

/// Starts a peer that answers one connection with raw bytes; returns its address.
fn raw_peer(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf);
        let _ = stream.write_all(answer);
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
#[test_case(b""; "closed without an answer")]
fn a_cut_answer_is_never_whole(answer: &'static [u8]) {
    let got = call(raw_peer(answer));
    assert!(matches!(got, Err(CallError::Broken)), "{got:?}");
}

#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde"; "by length")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"; "by chunks")]
fn a_whole_answer_is_passed_on(answer: &'static [u8]) {
    let got = call(raw_peer(answer)).expect("a whole answer");
    assert_eq!(got.body, b"abcde");
}

#[test]
fn a_long_answer_is_refused() {
    let got = call(raw_peer(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"));
    assert!(matches!(got, Err(CallError::TooLong)), "{got:?}");
}

#[test]
fn a_redirect_is_not_followed() {
    let got = call(raw_peer(
        b"HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
    ));
    assert_eq!(got.expect("an answer").status, 307);
}

#[test]
fn a_refused_connection_proves_that_nothing_was_sent() {
    let addr = own_addr().expect("an address");
    assert!(matches!(call(addr), Err(CallError::NotSent)));
}

#[test]
fn silence_is_a_timeout_and_proves_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let got = Call::new("GET", addr, "/")
        .timeout(Duration::from_millis(100))
        .send();
    assert!(matches!(got, Err(CallError::Timeout)), "{got:?}");
}

fn server(limits: Limits, cancel: &CancelToken) -> ServerHandle {
    let addr = ([127, 0, 0, 1], 0).into();
    let serving = serve(addr, "test", limits, cancel, |req| {
        Reply::text(
            200,
            format!("{} {} {}", req.method, req.path, req.body.len()),
        )
    });
    serving.expect("a free port")
}

fn small() -> Limits {
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
    let serving = server(small(), &cancel);
    let text = raw_call(serving.addr, bytes, close);
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
    let serving = serve(addr, "test", small(), &cancel, move |_| {
        let _ = tx.send(());
        Reply::text(200, "ran")
    });
    let bytes = b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nab";
    let text = raw_call(serving.expect("a free port").addr, bytes, true);
    assert_eq!(text, "");
    assert!(rx.try_recv().is_err(), "handled a cut request");
    cancel.cancel();
}

#[test]
fn a_long_head_is_refused() {
    let cancel = CancelToken::new();
    let serving = server(small(), &cancel);
    let head = format!(
        "GET / HTTP/1.1\r\nx: {}\r\nConnection: close\r\n\r\n",
        "y".repeat(3_000)
    );
    let text = raw_call(serving.addr, head.as_bytes(), false);
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
    cancel.cancel();
}

#[test]
fn slow_callers_hold_nobody_up_for_ever() {
    let cancel = CancelToken::new();
    let serving = server(small(), &cancel);
    let mut held = Vec::new();
    for bytes in [
        &b"GET / HT"[..],
        b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nab",
        b"",
    ] {
        for _ in 0..4 {
            let mut stream = TcpStream::connect(serving.addr).expect("a connection");
            stream.write_all(bytes).expect("sent");
            held.push(stream);
        }
    }
    let answer = loop {
        let got = Call::new("GET", serving.addr, "/")
            .timeout(Duration::from_secs(5))
            .send();
        match got {
            Ok(answer) if answer.status == 503 => thread::sleep(Duration::from_millis(20)),
            Ok(answer) => break answer,
            Err(err) => panic!("{err}"),
        }
    };
    assert_eq!(answer.status, 200);
    for mut stream in held {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    cancel.cancel();
}

/// Guards against a client that restarts the read timeout with each byte.
#[test]
fn a_caller_that_trickles_its_head_is_cut_off() {
    let cancel = CancelToken::new();
    let serving = server(small(), &cancel);
    let mut stream = TcpStream::connect(serving.addr).expect("a connection");
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
        ..small()
    };
    let serving = server(limits, &cancel);
    let mut held = Vec::new();
    for _ in 0..12 {
        held.push(TcpStream::connect(serving.addr).expect("a connection"));
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
fn an_idle_server_goes_on_after_its_accept_timed_out() {
    let cancel = CancelToken::new();
    let serving = server(small(), &cancel);
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(400));
        let got = Call::new("GET", serving.addr, "/x")
            .send()
            .expect("an answer");
        assert_eq!(got.body, b"GET /x 0");
    }
    cancel.cancel();
}

#[test]
fn fields_are_found_by_their_lower_case_names() {
    let got = call(raw_peer(
        b"HTTP/1.1 200 OK\r\nX-Outcome: ran\r\nContent-Length: 0\r\n\r\n",
    ));
    assert_eq!(
        find_header(&got.expect("an answer").headers, "x-outcome"),
        Some("ran")
    );
}
