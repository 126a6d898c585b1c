//! Tests of the connections to workers: when calls are abandoned, and which call an answer belongs
//! to.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        mpsc::{Sender, channel},
    },
    thread,
    time::Duration,
};

use gorsespur_http::{Limits, Request, parse_request};
use gorsespur_jobs::{Answer, JobId, StartOrder, Started, TaskId};
use mio::{Events, Poll};

use super::{connections::Connections, worker_connections::OrderResult};
use crate::{
    fakes_tests::{UnavailableStore, shared},
    protocol::Order,
    shared::Shared,
};

/// Starts a worker that answers each request, or none; it ends with the test.
fn start_worker(answers: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let Ok((mut stream, _)) = listener.accept() else {
            return;
        };
        let mut buf = [0; 1024];
        while stream.read(&mut buf).is_ok_and(|n| n > 0) {
            if answers
                && stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    .is_err()
            {
                return;
            }
        }
    });
    addr
}

/// Generation of all orders.
const GENERATION: u32 = 1;

/// Longest wait of one [`Fixture::turn`].
const TICK: Duration = Duration::from_millis(25);

struct Fixture {
    shared: Arc<Shared>,
    poll: Poll,
    connections: Connections,
    sent_at: u64,
}

/// Returns an order to start the only task of a job.
fn start(job: u64) -> Order {
    Order::Start(StartOrder {
        task: TaskId {
            job: JobId(job),
            repetition: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        spec: Arc::default(),
        deadline: 0,
        checkpoint: "".into(),
        generation: GENERATION,
    })
}

/// Sends a poll to a worker.
fn send_poll(answers: bool) -> Fixture {
    let poll = Order::Poll {
        observed: 0,
        deadline: None,
        wait: 0,
    };
    send_orders(answers, vec![poll])
}

/// Sends orders to one worker.
fn send_orders(answers: bool, orders: Vec<Order>) -> Fixture {
    let shared = shared(UnavailableStore);
    let mut fixture = Fixture {
        poll: Poll::new().expect("descriptors"),
        connections: Connections::new(&shared, 1),
        sent_at: shared.clock.now(),
        shared,
    };
    let addr = start_worker(answers);
    for order in orders {
        let target = (addr, "w".into());
        fixture
            .connections
            .send(fixture.poll.registry(), 0, target, order, GENERATION);
    }
    fixture
}

impl Fixture {
    /// Reads until an answer has arrived.
    fn read(&mut self) -> Vec<OrderResult> {
        let mut events = Events::with_capacity(16);
        loop {
            let waited = self.poll.poll(&mut events, None);
            waited.expect("an event loop");
            for event in &events {
                self.connections
                    .on_ready(self.poll.registry(), event.token(), event.into());
            }
            let answers = self.connections.take_answers();
            if !answers.is_empty() {
                return answers;
            }
        }
    }

    /// Reads once as the owner does, and abandons calls that are due.
    fn turn(&mut self) -> Vec<OrderResult> {
        let mut events = Events::with_capacity(16);
        let read = self.shared.clock.now();
        let waited = self.poll.poll(&mut events, Some(TICK));
        waited.expect("an event loop");
        for event in &events {
            self.connections
                .on_ready(self.poll.registry(), event.token(), event.into());
        }
        self.connections.expire(self.poll.registry(), read, false);
        self.connections.take_answers()
    }

    /// Abandons calls that are due, as if everything that arrived by `at` was read.
    fn expire(&mut self, at: u64, late: bool) -> Vec<Answer> {
        self.connections.expire(self.poll.registry(), at, late);
        let answers = self.connections.take_answers();
        answers.into_iter().map(|a| a.answer).collect()
    }
}

#[test]
fn answered_calls_are_not_abandoned() {
    let mut fixture = send_poll(true);
    let answers = fixture.read();
    assert!(matches!(
        answers[..],
        [OrderResult {
            worker: 0,
            answer: Answer::Report(_),
            ..
        }]
    ));
    assert!(fixture.expire(fixture.sent_at + 60_000, false).is_empty());
}

#[test]
fn a_call_is_abandoned_at_its_deadline() {
    let mut fixture = send_poll(false);
    assert!(fixture.expire(fixture.sent_at + 800, false).is_empty());
    assert_eq!(
        fixture.expire(fixture.sent_at + 1500, false),
        [Answer::NoReply]
    );
}

/// Answers that arrived during a pause of the process are read before their call is abandoned: the
/// pause extends the deadline of the call, once.
#[test]
fn a_late_wake_up_extends_a_deadline_once() {
    let mut fixture = send_poll(false);
    assert!(fixture.expire(fixture.sent_at + 5000, true).is_empty());
    assert!(fixture.expire(fixture.sent_at + 5050, false).is_empty());
    assert_eq!(
        fixture.expire(fixture.sent_at + 5200, true),
        [Answer::NoReply]
    );
}

/// A start that waited for a busy connection is not sent on an outdated decision.
#[test]
fn a_start_that_waited_too_long_is_withdrawn() {
    let mut fixture = send_orders(false, (1..=3).map(start).collect());
    let answers = fixture.expire(fixture.sent_at + 800, false);
    let results: Vec<_> = answers
        .iter()
        .map(|a| match a {
            Answer::Started(task, _, started) => (task.job.0, *started),
            other => panic!("{other:?}"),
        })
        .collect();
    let expected = [
        (1, Started::Unknown),
        (2, Started::Withdrawn),
        (3, Started::Withdrawn),
    ];
    assert_eq!(results, expected);
}

/// Reads one request; `None` at the end of the connection.
fn request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 1024];
    loop {
        if let Some((request, size)) = parse_request(buf, Limits::default()).expect("a request") {
            buf.drain(..size);
            return Some(request);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buf.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Returns a worker's answer to the start of a job, and whether it keeps the connection open.
fn answer_to(job: u64) -> (&'static str, bool) {
    match job % 6 {
        0 => ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", true),
        1 => ("HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n", true),
        2 => ("", false),
        3 => (
            "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"clock",
            false,
        ),
        4 => (
            "HTTP/1.1 429 Many\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            false,
        ),
        _ => ("HTTP/1.1 503 Busy\r\ncontent-length: 1\r\n\r\n-", true),
    }
}

/// Returns the result that the sender of that start has to get.
fn expected(job: u64) -> Started {
    match job % 6 {
        0 => Started::Done,
        1 => Started::NoRoom,
        2 | 3 => Started::Unknown,
        _ => Started::Refused,
    }
}

/// A received request: the worker's address, the number of the connection there, and the path.
type ReceivedRequest = (SocketAddr, usize, String);

/// Answers the requests on a connection, each in two pieces, and reports them to `to`.
fn serve(mut stream: TcpStream, connection: usize, to: &Sender<ReceivedRequest>) {
    let own = stream.local_addr().expect("bound");
    let mut buf = Vec::new();
    while let Some(request) = request(&mut stream, &mut buf) {
        let received = to.send((own, connection, request.path.clone()));
        let job = request.path.rsplit('/').next().map(str::parse::<JobId>);
        let (answer, keeps_open) = match job {
            Some(Ok(job)) => answer_to(job.0),
            _ => answer_to(0),
        };
        let (head, rest) = answer.split_at(answer.len() / 2);
        let written = stream.write_all(head.as_bytes()).is_ok();
        thread::sleep(Duration::from_millis(1));
        let written = written && stream.write_all(rest.as_bytes()).is_ok();
        // Lets the answer arrive before the connection closes.
        thread::sleep(Duration::from_millis(1));
        if received.is_err() || !written || !keeps_open {
            return;
        }
    }
}

/// Starts a worker that answers on any number of connections.
fn start_answering_worker(to: &Sender<ReceivedRequest>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let to = to.clone();
    thread::spawn(move || {
        for (at, stream) in listener.incoming().enumerate() {
            let (stream, to) = (stream.expect("a connection"), to.clone());
            thread::spawn(move || serve(stream, at, &to));
        }
    });
    addr
}

/// Two workers, and a later incarnation at the address of the first one, on up to five connections
/// each that are cut, closed and reopened: each order reaches its worker once and names it, no
/// connection serves two incarnations, and each answer belongs to its order.
#[test]
fn each_order_reaches_its_worker_and_gets_its_answer() {
    let (to, requests) = channel();
    let (first, second) = (start_answering_worker(&to), start_answering_worker(&to));
    let incarnations = [(first, "a"), (second, "b"), (first, "c")];
    let mut fixture = send_orders(false, Vec::new());
    let mut expected_paths = Vec::new();
    for round in 0..6 {
        let mut unanswered = 0;
        for (worker, (addr, id)) in (0..).zip(incarnations) {
            for job in (round * 6..round * 6 + 6).map(|j| j * 3 + u64::from(worker)) {
                let target = (addr, id.into());
                fixture.connections.send(
                    fixture.poll.registry(),
                    worker,
                    target,
                    start(job),
                    GENERATION,
                );
                unanswered += 1;
            }
        }
        while unanswered > 0 {
            for OrderResult { worker, answer, .. } in fixture.turn() {
                let Answer::Started(task, 1, started) = answer else {
                    panic!("{answer:?}");
                };
                let (job, (addr, id)) = (task.job, incarnations[worker as usize]);
                assert_eq!(job.0 % 3, u64::from(worker));
                unanswered -= 1;
                // On a busy machine, some starts wait too long.
                if started == Started::Withdrawn {
                    continue;
                }
                assert_eq!(started, expected(job.0), "{job}");
                expected_paths.push((addr, format!("/{id}/{job}")));
            }
        }
    }
    let received: Vec<_> = requests.try_iter().collect();
    let mut received_paths: Vec<_> = received.iter().map(|(at, _, p)| (*at, p.clone())).collect();
    received_paths.sort();
    expected_paths.sort();
    assert_eq!(received_paths, expected_paths);
    for (addr, connection, path) in &received {
        let mut on_connection = received
            .iter()
            .filter(|t| (&t.0, &t.1) == (addr, connection));
        assert!(on_connection.all(|t| t.2[..3] == path[..3]), "{path}");
    }
}

/// Answers a poll with an empty report, and returns its path.
fn answer_poll(stream: &mut TcpStream) -> String {
    let read = request(stream, &mut Vec::new()).expect("a request");
    stream
        .write_all(answer_to(0).0.as_bytes())
        .expect("a reader");
    read.path
}

/// Guards against acknowledging ended runs to the wrong process: the next process at an address
/// can't continue a connection of the previous one, but would take its count of ended runs for one
/// of its own.
#[test]
fn the_first_poll_on_a_connection_acknowledges_no_ended_runs() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (to, closed) = channel();
    let worker = thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        let mut paths = vec![answer_poll(&mut first), answer_poll(&mut first)];
        drop(first);
        to.send(()).expect("a reader");
        let (mut second, _) = listener.accept().expect("a connection");
        paths.extend([answer_poll(&mut second), answer_poll(&mut second)]);
        paths
    });
    let mut fixture = send_orders(false, Vec::new());
    for observed in 1..=4 {
        let poll = Order::Poll {
            observed,
            deadline: None,
            wait: 0,
        };
        let target = (addr, "w".into());
        fixture
            .connections
            .send(fixture.poll.registry(), 0, target, poll, GENERATION);
        let answers = fixture.read();
        assert!(matches!(
            answers[..],
            [OrderResult {
                worker: 0,
                answer: Answer::Report(_),
                ..
            }]
        ));
        if observed == 2 {
            closed.recv().expect("closed");
        }
    }
    let paths = worker.join().expect("a worker");
    assert_eq!(paths, ["/w/look/0", "/w/look/2", "/w/look/0", "/w/look/4"]);
}

/// Orders queued for a worker are not sent after its incarnation has ended.
#[test]
fn queued_starts_are_withdrawn_with_their_worker() {
    let mut fixture = send_orders(false, (1..=3).map(start).collect());
    fixture.connections.drop_worker(fixture.poll.registry(), 0);
    let answers = fixture.connections.take_answers();
    let withdrawn: Vec<_> = answers.iter().map(|a| &a.answer).collect();
    assert!(matches!(
        withdrawn[..],
        [
            Answer::Started(_, 1, Started::Withdrawn),
            Answer::Started(_, 1, Started::Withdrawn)
        ]
    ));
}

/// A delayed worker answers after its call was abandoned: that answer belongs to no call, also
/// while the next order is under way.
#[test]
fn a_late_answer_is_discarded() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    let mut fixture = send_orders(false, Vec::new());
    let target = (addr, "w".into());
    fixture
        .connections
        .send(fixture.poll.registry(), 0, target, start(1), GENERATION);
    // The connection is open, and the order is sent.
    let (mut late, _) = listener.accept().expect("a connection");
    let mut events = Events::with_capacity(16);
    fixture.poll.poll(&mut events, None).expect("an event loop");
    for event in &events {
        fixture
            .connections
            .on_ready(fixture.poll.registry(), event.token(), event.into());
    }
    let read = request(&mut late, &mut Vec::new()).expect("a request");
    assert!(read.path.ends_with('1'));
    let abandoned = fixture.expire(fixture.sent_at + 60_000, false);
    assert!(matches!(
        abandoned[..],
        [Answer::Started(_, 1, Started::Unknown)]
    ));
    let target = (addr, "w".into());
    fixture
        .connections
        .send(fixture.poll.registry(), 0, target, start(2), GENERATION);
    // The sender may have closed that connection already.
    let written = late.write_all(answer_to(0).0.as_bytes());
    let worker = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = request(&mut stream, &mut Vec::new()).expect("a request");
        let answered = stream.write_all(answer_to(1).0.as_bytes());
        (stream, read, answered)
    });
    let answers = fixture.read();
    let (_stream, read, answered) = worker.join().expect("a worker");
    assert!(read.path.ends_with('2') && answered.is_ok(), "{written:?}");
    assert!(matches!(
        answers[..],
        [OrderResult {
            worker: 0,
            answer: Answer::Started(task, 1, Started::NoRoom),
            ..
        }] if task.job == JobId(2)
    ));
}
