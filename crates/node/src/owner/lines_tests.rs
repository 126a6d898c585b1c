//! When a call to a worker is given up.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use gorsespur_jobs::{Answer, JobId, StartOrder, Started, TaskId};
use mio::{Events, Poll};

use super::lines::Lines;
use crate::{
    fakes_tests::{NoStore, shared},
    protocol::Order,
};

/// A worker that answers each request, or none; it ends with the test.
fn worker(answers: bool) -> SocketAddr {
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

struct Desk {
    poll: Poll,
    lines: Lines,
    sent: u64,
}

/// An order to start the only task of a job.
fn start(job: u64) -> Order {
    Order::Start(StartOrder {
        task: TaskId {
            job: JobId(job),
            time: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        spec: Arc::default(),
        deadline: 0,
        saved: "".into(),
    })
}

/// Sends a look.
fn asked(answers: bool) -> Desk {
    let look = Order::Look {
        observed: 0,
        deadline: None,
        wait: 0,
    };
    sent(answers, vec![look])
}

/// Sends orders to one worker.
fn sent(answers: bool, orders: Vec<Order>) -> Desk {
    let shared = shared(NoStore);
    let mut desk = Desk {
        poll: Poll::new().expect("descriptors"),
        lines: Lines::new(&shared, 1),
        sent: shared.clock.now(),
    };
    let addr = worker(answers);
    for order in orders {
        let target = (addr, "w".into());
        desk.lines.send(desk.poll.registry(), 0, target, order);
    }
    desk
}

impl Desk {
    /// Reads until an answer is there.
    fn read(&mut self) -> Vec<(u32, u64, Answer)> {
        let mut events = Events::with_capacity(16);
        loop {
            let waited = self.poll.poll(&mut events, None);
            waited.expect("an event loop");
            for event in &events {
                let read = event.is_readable() || event.is_read_closed();
                let (token, write) = (event.token(), event.is_writable());
                self.lines.ready(self.poll.registry(), token, read, write);
            }
            let answers = self.lines.take_answers();
            if !answers.is_empty() {
                return answers;
            }
        }
    }

    /// Gives up what is due if all that arrived by `at` was read.
    fn expire(&mut self, at: u64, late: bool) -> Vec<Answer> {
        self.lines.expire(self.poll.registry(), at, late);
        let answers = self.lines.take_answers();
        answers.into_iter().map(|a| a.2).collect()
    }
}

#[test]
fn what_was_answered_is_not_given_up() {
    let mut desk = asked(true);
    let answers = desk.read();
    assert!(matches!(answers[..], [(0, _, Answer::Looked(_))]));
    assert!(desk.expire(desk.sent + 60_000, false).is_empty());
}

#[test]
fn a_call_is_given_up_at_its_time() {
    let mut desk = asked(false);
    assert!(desk.expire(desk.sent + 800, false).is_empty());
    assert_eq!(desk.expire(desk.sent + 1500, false), [Answer::Silent]);
}

/// What lies unread after a pause is read before its call is given up: the pause itself
/// prolongs the call's time, once.
#[test]
fn a_late_wake_up_prolongs_a_call_once() {
    let mut desk = asked(false);
    assert!(desk.expire(desk.sent + 5000, true).is_empty());
    assert!(desk.expire(desk.sent + 5050, false).is_empty());
    assert_eq!(desk.expire(desk.sent + 5200, true), [Answer::Silent]);
}

/// A start that waited while the connection was held up is not sent on what was known
/// then.
#[test]
fn a_start_that_waited_for_long_is_taken_back() {
    let mut desk = sent(false, (1..=3).map(start).collect());
    let answers = desk.expire(desk.sent + 800, false);
    let came: Vec<_> = answers
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
    assert_eq!(came, expected);
}
