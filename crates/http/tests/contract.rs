//! The client and the server against misbehaving peers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use gorsespur_http::{
    Client, Handler, HttpError, Limits, Method, Request, Response, Server, ServerSettings,
    parse_request, parse_response,
};
use gorsespur_services::fake::unique_addr;
use test_case::test_case;

const LIMIT: Duration = Duration::from_secs(20);

/// Starts a peer that accepts a connection for each response, reads a head and writes the bytes.
fn spawn_peer(responses: Vec<&'static [u8]>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let heads = Arc::new(AtomicUsize::new(0));
    let count = heads.clone();
    thread::spawn(move || {
        for response in responses {
            let (mut stream, _) = listener.accept().expect("accept");
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).expect("read");
            count.fetch_add(1, Ordering::SeqCst);
            stream.write_all(response).expect("write");
        }
    });
    (addr, heads)
}

fn get(client: &Client) -> Result<Response, HttpError> {
    client.call(&Request::new(Method::Get, "/", Vec::new()), LIMIT)
}

#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab"; "body")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-le"; "head")]
#[test_case(b""; "all")]
fn a_truncated_response_is_an_error(response: &'static [u8]) {
    let (addr, heads) = spawn_peer(vec![response]);
    let err = get(&Client::new(addr)).expect_err("cut");
    assert!(matches!(err, HttpError::Lost { .. }), "{err}");
    assert_eq!(heads.load(Ordering::SeqCst), 1, "a request is sent once");
}

/// Starts a peer that sends `count` bytes of a body of five, each after a pause, and then stalls.
fn slow_peer(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept");
        let _ = stream.read(&mut [0; 4096]).expect("read");
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
        stream.write_all(head).expect("write");
        for _ in 0..count {
            thread::sleep(Duration::from_millis(100));
            stream.write_all(b"x").expect("write");
        }
        thread::sleep(LIMIT);
    });
    addr
}

/// Guards against a call that fails while a large response is arriving over a narrow link: its
/// transfer takes longer than a response may take to begin.
#[test]
fn a_response_that_keeps_arriving_is_awaited() {
    let request = Request::new(Method::Get, "/", Vec::new());
    let limit = Duration::from_millis(150);
    let response = Client::new(slow_peer(5)).call(&request, limit);
    assert_eq!(response.expect("whole").body, b"xxxxx");
    let stalled = Client::new(slow_peer(3)).call(&request, limit);
    assert_eq!(stalled, Err(HttpError::Timeout));
}

#[test_case(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"; "chunked")]
#[test_case(b"HTTP/1.1 200 OK\r\n\r\nabc"; "no length")]
#[test_case(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"; "two lengths")]
#[test_case(b"SSH-2.0-OpenSSH\r\n\r\n"; "not HTTP")]
fn a_malformed_response_is_an_error(response: &'static [u8]) {
    let (addr, _) = spawn_peer(vec![response]);
    let err = get(&Client::new(addr)).expect_err("malformed");
    assert!(matches!(err, HttpError::Malformed { .. }), "{err}");
}

#[test]
fn a_silent_peer_is_a_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let client = Client::new(listener.local_addr().expect("address"));
    let request = Request::new(Method::Get, "/", Vec::new());
    let err = client.call(&request, Duration::from_millis(50));
    assert_eq!(err, Err(HttpError::Timeout));
}

/// Starts a peer that answers the first two requests, once both have arrived, and no others.
/// Returns its address and the number of connections.
fn peer_that_falls_silent() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    thread::spawn(move || {
        let mut streams = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("accept");
            let _ = stream.read(&mut [0; 4096]).expect("read");
            streams.push(stream);
            if count.fetch_add(1, Ordering::SeqCst) == 1 {
                for stream in &mut streams {
                    let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(ok).expect("write");
                }
            }
        }
    });
    (addr, connections)
}

/// A call that waits for a moment only must not make all others connect anew.
#[test_case(20, 2; "a short wait")]
#[test_case(150, 3; "a long wait")]
fn connections_are_dropped_after_a_conclusive_timeout(ms: u64, expected: usize) {
    let (addr, connections) = peer_that_falls_silent();
    let client = Client::new(addr);
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| get(&client).expect("response"));
        }
    });
    let request = Request::new(Method::Get, "/", Vec::new());
    for _ in 0..2 {
        let err = client.call(&request, Duration::from_millis(ms));
        assert_eq!(err, Err(HttpError::Timeout));
    }
    assert_eq!(connections.load(Ordering::SeqCst), expected);
}

#[test]
fn a_refused_connection_means_not_sent() {
    let addr = unique_addr().expect("an address");
    assert!(get(&Client::new(addr)).expect_err("nobody").is_not_sent());
}

/// A connection is not reused after a failure, so that the late response to one call
/// is not taken for that to the next.
#[test]
fn a_late_answer_is_not_taken_for_the_next() {
    let ok: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (addr, _) = spawn_peer(vec![
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nlate",
        ok,
    ]);
    let client = Client::new(addr);
    assert!(get(&client).is_err());
    assert_eq!(get(&client).expect("response").body, b"ok");
}

struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request) -> Option<Response> {
        match request.path.as_str() {
            "/close" => None,
            "/panic" => panic!("a fault of the handler"),
            _ => Some(Response::new(200, request.body)),
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            head_bytes: 1024,
            body_bytes: 100,
        }
    }
}

fn server(max_connections: usize, request_timeout: Duration) -> Server {
    let settings = ServerSettings {
        max_connections,
        request_timeout,
        idle_timeout: LIMIT,
    };
    let addr = "127.0.0.1:0".parse().expect("address");
    Server::start(addr, settings, Arc::new(Echo)).expect("server")
}

fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream.write_all(bytes).expect("write");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("read");
    text
}

#[test]
fn a_connection_is_kept_and_answers_in_order() {
    let server = server(8, LIMIT);
    let client = Client::new(server.addr());
    for body in [b"one", b"two"] {
        let request = Request::new(Method::Post, "/", body.to_vec());
        assert_eq!(client.call(&request, LIMIT).expect("response").body, body);
    }
}

#[test_case("POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n", "413"; "long body")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n", "400"; "bad length")]
#[test_case("\u{0}\r\n\r\n", "400"; "not HTTP")]
fn a_bad_request_is_refused(bytes: &str, status: &str) {
    let server = server(8, LIMIT);
    let response = send_raw(server.addr(), bytes.as_bytes());
    assert!(response.contains(status), "{response}");
}

#[test]
fn a_head_without_end_is_refused() {
    let server = server(8, LIMIT);
    let long = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(2000));
    assert!(send_raw(server.addr(), long.as_bytes()).contains("413"));
}

#[test]
fn a_request_that_does_not_end_is_refused() {
    let server = server(8, Duration::from_millis(50));
    assert!(send_raw(server.addr(), b"GET / HT").contains("408"));
}

#[test]
fn too_many_connections_are_closed_and_others_go_on() {
    let server = server(1, LIMIT);
    let client = Client::new(server.addr());
    let request = Request::new(Method::Get, "/", Vec::new());
    client.call(&request, LIMIT).expect("first");
    assert!(get(&Client::new(server.addr())).is_err());
    client.call(&request, LIMIT).expect("first again");
}

/// Guards against a server that takes no connections any more, and that never drains: the request and
/// its connection are no longer counted after a panic of the handler.
#[test]
fn a_panic_ends_one_connection() {
    let server = server(1, LIMIT);
    for _ in 0..3 {
        let request = Request::new(Method::Get, "/panic", Vec::new());
        let result = Client::new(server.addr()).call(&request, LIMIT);
        assert!(result.is_err(), "{result:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    get(&Client::new(server.addr())).expect("response");
    assert!(server.wait_until_idle(LIMIT));
}

#[test]
fn a_draining_server_closes_its_connections() {
    let server = server(8, LIMIT);
    server.start_draining();
    let response = get(&Client::new(server.addr())).expect("response");
    assert!(!response.keep_alive);
    assert!(server.wait_until_idle(LIMIT));
}

#[test]
fn each_split_of_a_message_parses_to_the_same() {
    let request = Request::new(Method::Post, "/a", b"body".to_vec()).with_header("x", "y");
    let response = Response::new(200, b"body".to_vec()).with_header("x", "y");
    let (mut first, mut second) = (Vec::new(), Vec::new());
    request.encode("host", &mut first);
    response.encode(&mut second);
    for end in 0..first.len() {
        let part = parse_request(&first[..end], Limits::default());
        assert_eq!(part, Ok(None), "{end}");
    }
    for end in 0..second.len() {
        let part = parse_response(&second[..end], Limits::default());
        assert_eq!(part, Ok(None), "{end}");
    }
    let (parsed, size) = parse_request(&first, Limits::default())
        .expect("request")
        .expect("whole");
    assert_eq!(
        (size, parsed.body, parsed.method),
        (first.len(), b"body".to_vec(), Method::Post)
    );
    let whole = parse_response(&second, Limits::default()).expect("response");
    assert_eq!(whole.expect("whole").0.header("x"), Some("y"));
}

/// Starts a peer that answers one request on each connection and then stops answering on it. The
/// first `together` responses are sent at the same time, so that as many connections are opened.
fn silent_after_one(together: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).expect("request");
            held.push(stream);
            if held.len() < together {
                continue;
            }
            let first = if held.len() == together {
                0
            } else {
                held.len() - 1
            };
            for stream in &mut held[first..] {
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(response).expect("response");
            }
        }
    });
    addr
}

/// Open connections may stop working all at once while new ones work. Guards against calls that
/// spend their whole timeout on each of the pooled connections in turn.
#[test]
fn a_timeout_drops_all_pooled_connections() {
    const POOLED: usize = 3;
    let client = Arc::new(Client::new(silent_after_one(POOLED)));
    let request = Request::new(Method::Get, "/", Vec::new());
    thread::scope(|scope| {
        for _ in 0..POOLED {
            scope.spawn(|| client.call(&request, LIMIT).expect("first"));
        }
    });
    let silent = client.call(&request, Duration::from_millis(100));
    assert_eq!(silent, Err(HttpError::Timeout));
    client.call(&request, LIMIT).expect("a new connection");
}
