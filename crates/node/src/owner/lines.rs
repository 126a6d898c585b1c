//! The connections to the workers.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use gorsespur_http::{Connection, HttpError, Readiness, Response};
use gorsespur_jobs::{Answer, Started};
use mio::{Registry, Token};

use super::post::{Call, LINES, Limit, Post, Waiting};
use crate::{protocol::Order, shared::Shared};

/// Time for an answer beyond what the worker is asked to wait, in milliseconds.
/// A look may wait longer, since nothing hangs on it alone.
const LOOK_LIMIT: u64 = 900;

/// Time for an answer to an order, in milliseconds. Workers answer within 5; one
/// that does not may still carry the order out, which then has to be found out.
const ORDER_LIMIT: u64 = 700;

/// Time for an answer that may have been held up with the process itself, in
/// milliseconds: some twenty times what a worker takes to answer.
const GRACE: u64 = 100;

/// A start that has waited for a connection for this long is taken back, in milliseconds.
/// What it was decided on is old by then: its worker may have said that it leaves, after
/// which a start is allowed for two seconds on the users' smallest bound.
const START_WAIT: u64 = 500;

/// The connections to all workers.
#[derive(Debug)]
pub(crate) struct Lines {
    shared: Arc<Shared>,
    epoch: u64,
    posts: Vec<Option<Post>>,
    /// Limits of the calls, the next one first: with 1,100 workers a tenth of an owner's
    /// time went into looking at every connection.
    limits: BinaryHeap<Reverse<Limit>>,
    /// What came of orders, with the worker and the time they were sent.
    answers: Vec<(u32, u64, Answer)>,
}

impl Lines {
    pub(crate) fn new(shared: &Arc<Shared>, epoch: u64) -> Lines {
        Lines {
            shared: shared.clone(),
            epoch,
            posts: Vec::new(),
            limits: BinaryHeap::new(),
            answers: Vec::new(),
        }
    }

    /// Returns what came of orders since the last call.
    pub(crate) fn take_answers(&mut self) -> Vec<(u32, u64, Answer)> {
        std::mem::take(&mut self.answers)
    }

    /// Sends an order to a worker, or queues it until a connection is free.
    pub(crate) fn send(
        &mut self,
        registry: &Registry,
        worker: u32,
        target: (SocketAddr, Arc<str>),
        order: Order,
    ) {
        let slot = worker as usize;
        while self.posts.len() <= slot {
            self.posts.push(None);
        }
        let now = self.shared.clock.now();
        let (addr, id) = target;
        let post = self.posts[slot].get_or_insert_with(|| Post {
            addr,
            id,
            lines: Default::default(),
            waiting: VecDeque::new(),
        });
        let line = match order {
            Order::Look { .. } => Some(0).filter(|_| post.lines[0].call.is_none()),
            _ => post.free_line(),
        };
        match line {
            Some(line) => self.call(registry, worker, line, order),
            None => post.waiting.push_back(Waiting { order, since: now }),
        }
    }

    /// Handles a connection that became ready.
    pub(crate) fn ready(&mut self, registry: &Registry, token: Token, readiness: Readiness) {
        let (worker, line) = ((token.0 / LINES) as u32, token.0 % LINES);
        let Some(Some(post)) = self.posts.get_mut(worker as usize) else {
            return;
        };
        let Some(link) = post.lines[line].link.as_mut() else {
            return;
        };
        match link.on_ready(readiness) {
            Ok(None) => {}
            Ok(Some(response)) => {
                if !response.keep_alive {
                    self.close(registry, worker, line);
                }
                self.finish(worker, line, Ok(response));
            }
            Err(err) => {
                self.close(registry, worker, line);
                self.finish(worker, line, Err(err));
            }
        }
        let now = self.shared.clock.now();
        self.next(registry, worker, line, now);
    }

    /// Gives up what got no answer by its time, once all that had arrived by `read` is
    /// read; after a late wake-up each call that ran out meanwhile gets [`GRACE`].
    ///
    /// An owner that took a second to decide gave up calls whose answers lay unread, held
    /// their workers for silent and started their tasks a second time: 637 tasks on one of
    /// the days with 1,100 workers.
    pub(crate) fn expire(&mut self, registry: &Registry, read: u64, late: bool) {
        while let Some(&Reverse(limit)) = self.limits.peek()
            && limit.until <= read
        {
            self.limits.pop();
            let Limit { worker, line, .. } = limit;
            let Some(call) = self.call_of(worker, line) else {
                continue;
            };
            if call.until != limit.until {
                continue;
            }
            if late && !call.prolonged {
                call.prolonged = true;
                call.until = read + GRACE;
                let until = call.until;
                self.limits.push(Reverse(Limit { until, ..limit }));
                continue;
            }
            self.close(registry, worker, line);
            self.close_idle(registry, worker);
            self.finish(worker, line, Err(HttpError::Timeout));
            self.next(registry, worker, line, read);
        }
    }

    /// Returns what is asked on a connection.
    fn call_of(&mut self, worker: u32, line: usize) -> Option<&mut Call> {
        let post = self.posts.get_mut(worker as usize)?.as_mut()?;
        post.lines[line].call.as_mut()
    }

    /// Closes the connections to a worker on which nothing is asked: open ones may
    /// have gone silent for good, all at once, while new ones work.
    fn close_idle(&mut self, registry: &Registry, worker: u32) {
        let Some(Some(post)) = self.posts.get_mut(worker as usize) else {
            return;
        };
        for line in post.lines.iter_mut().filter(|l| l.call.is_none()) {
            if let Some(link) = line.link.take() {
                link.close(registry);
            }
        }
    }

    /// Closes all connections to a worker that is not needed any more.
    pub(crate) fn drop_worker(&mut self, registry: &Registry, worker: u32) {
        let Some(post) = self.posts.get_mut(worker as usize) else {
            return;
        };
        if let Some(post) = post {
            let answers = &mut self.answers;
            post.waiting.retain(|w| !withdraw(worker, w, answers));
        }
        let Some(post) = post.take_if(|p| p.lines.iter().all(|l| l.call.is_none())) else {
            return;
        };
        for line in post.lines {
            if let Some(link) = line.link {
                link.close(registry);
            }
        }
    }

    /// Asks what is queued next on a connection that became free.
    fn next(&mut self, registry: &Registry, worker: u32, line: usize, now: u64) {
        if line == 0 {
            return;
        }
        let Some(Some(post)) = self.posts.get_mut(worker as usize) else {
            return;
        };
        if post.lines[line].call.is_some() {
            return;
        }
        while let Some(Waiting { order, since }) = post.waiting.pop_front() {
            let Order::Start(start) = &order else {
                return self.call(registry, worker, line, order);
            };
            if now < since + START_WAIT {
                return self.call(registry, worker, line, order);
            }
            log::info!(task = start.task.to_string().as_str(), worker = &*post.id, waited_ms = now - since; "order: taken back");
            let taken = Answer::Started(start.task, start.run, Started::Withdrawn);
            self.answers.push((worker, since, taken));
        }
    }

    fn call(&mut self, registry: &Registry, worker: u32, line: usize, mut order: Order) {
        let now = self.shared.clock.now();
        let Some(Some(post)) = self.posts.get_mut(worker as usize) else {
            return;
        };
        let at = &mut post.lines[line];
        if let Some(link) = at.link.take_if(|l| !l.is_reusable()) {
            link.close(registry);
        }
        if at.link.is_none() {
            keep_ends(&mut order);
        }
        let request = self.shared.protocol.order(&order, self.epoch, &post.id);
        let limit = match &order {
            Order::Look { wait, .. } => wait + LOOK_LIMIT,
            _ => ORDER_LIMIT,
        };
        let until = now + limit;
        at.call = Some(Call {
            order,
            sent: now,
            until,
            prolonged: false,
        });
        self.limits.push(Reverse(Limit {
            until,
            worker,
            line,
        }));
        if at.link.is_none() {
            let token = Token(worker as usize * LINES + line);
            match Connection::connect(post.addr, registry, token) {
                Ok(link) => at.link = Some(link),
                Err(err) => return self.finish(worker, line, Err(err)),
            }
        }
        let sent = at.link.as_mut().map(|l| l.send(&request));
        if let Some(Err(err)) = sent {
            self.close(registry, worker, line);
            self.finish(worker, line, Err(err));
        }
    }

    fn close(&mut self, registry: &Registry, worker: u32, line: usize) {
        let Some(Some(post)) = self.posts.get_mut(worker as usize) else {
            return;
        };
        if let Some(link) = post.lines[line].link.take() {
            link.close(registry);
        }
    }

    fn finish(&mut self, worker: u32, line: usize, result: Result<Response, HttpError>) {
        let Some(Some(post)) = self.posts.get_mut(worker as usize) else {
            return;
        };
        let Some(call) = post.lines[line].call.take() else {
            return;
        };
        if let Err(err) = &result {
            log::info!(worker = &*post.id, order = name(&call.order), err = err.to_string().as_str(), took_ms = self.shared.clock.now() - call.sent; "order: no answer");
        }
        let answer = self.shared.protocol.answer(&call.order, result);
        self.answers.push((worker, call.sent, answer));
    }
}

/// Takes back a start that waits for a connection; true if it is one.
fn withdraw(worker: u32, waiting: &Waiting, answers: &mut Vec<(u32, u64, Answer)>) -> bool {
    let Order::Start(start) = &waiting.order else {
        return false;
    };
    let taken = Answer::Started(start.task, start.run, Started::Withdrawn);
    answers.push((worker, waiting.since, taken));
    true
}

/// Has a look drop no ends of its worker: on a new connection another life may read it, which
/// counts its ends anew. They are listed once more.
fn keep_ends(order: &mut Order) {
    if let Order::Look { observed, .. } = order {
        *observed = 0;
    }
}

fn name(order: &Order) -> &'static str {
    match order {
        Order::Look { .. } => "look",
        Order::Start(_) => "start",
        Order::Stop(..) => "stop",
        Order::Pace(..) => "pace",
    }
}
