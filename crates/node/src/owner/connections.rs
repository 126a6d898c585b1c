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

use super::worker_connections::{Call, CallDeadline, QueuedOrder, SLOTS, WorkerConnections};
use crate::{protocol::Order, shared::Shared};

/// Time for an answer beyond what the worker is asked to wait, in milliseconds.
/// A look may wait longer, since nothing hangs on it alone.
const POLL_MARGIN_MS: u64 = 900;

/// Time for an answer to an order, in milliseconds. Workers answer within 5; one
/// that does not may still carry the order out, which then has to be found out.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Time for an answer that may have been held up with the process itself, in
/// milliseconds: some twenty times what a worker takes to answer.
const LATE_GRACE_MS: u64 = 100;

/// A start that has waited for a connection for this long is taken back, in milliseconds.
/// What it was decided on is old by then: its worker may have said that it leaves, after
/// which a start is allowed for two seconds on the users' smallest bound.
const MAX_START_WAIT_MS: u64 = 500;

/// The connections to all workers.
#[derive(Debug)]
pub(crate) struct Connections {
    shared: Arc<Shared>,
    epoch: u64,
    workers: Vec<Option<WorkerConnections>>,
    /// Limits of the calls, the next one first: with 1,100 workers a tenth of an owner's
    /// time went into looking at every connection.
    deadlines: BinaryHeap<Reverse<CallDeadline>>,
    /// What came of orders, with the worker and the time they were sent.
    answers: Vec<(u32, u64, Answer)>,
}

impl Connections {
    pub(crate) fn new(shared: &Arc<Shared>, epoch: u64) -> Connections {
        Connections {
            shared: shared.clone(),
            epoch,
            workers: Vec::new(),
            deadlines: BinaryHeap::new(),
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
        let index = worker as usize;
        while self.workers.len() <= index {
            self.workers.push(None);
        }
        let now = self.shared.clock.now();
        let (addr, id) = target;
        let connections = self.workers[index].get_or_insert_with(|| WorkerConnections {
            addr,
            id,
            slots: Default::default(),
            waiting: VecDeque::new(),
        });
        let slot = match order {
            Order::Poll { .. } => Some(0).filter(|_| connections.slots[0].call.is_none()),
            _ => connections.free_slot(),
        };
        match slot {
            Some(slot) => self.call(registry, worker, slot, order),
            None => connections.waiting.push_back(QueuedOrder {
                order,
                queued_at: now,
            }),
        }
    }

    /// Handles a connection that became ready.
    pub(crate) fn on_ready(&mut self, registry: &Registry, token: Token, readiness: Readiness) {
        let (worker, slot) = ((token.0 / SLOTS) as u32, token.0 % SLOTS);
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        let Some(connection) = connections.slots[slot].connection.as_mut() else {
            return;
        };
        match connection.on_ready(readiness) {
            Ok(None) => {}
            Ok(Some(response)) => {
                if !response.keep_alive {
                    self.close(registry, worker, slot);
                }
                self.finish(worker, slot, Ok(response));
            }
            Err(err) => {
                self.close(registry, worker, slot);
                self.finish(worker, slot, Err(err));
            }
        }
        let now = self.shared.clock.now();
        self.send_next(registry, worker, slot, now);
    }

    /// Gives up what got no answer by its time, once all that had arrived by `read` is
    /// read; after a late wake-up each call that ran out meanwhile gets [`GRACE`].
    ///
    /// An owner that took a second to decide gave up calls whose answers lay unread, held
    /// their workers for silent and started their tasks a second time: 637 tasks on one of
    /// the days with 1,100 workers.
    pub(crate) fn expire(&mut self, registry: &Registry, read: u64, late: bool) {
        while let Some(&Reverse(due)) = self.deadlines.peek()
            && due.deadline <= read
        {
            self.deadlines.pop();
            let CallDeadline { worker, slot, .. } = due;
            let Some(call) = self.call_mut(worker, slot) else {
                continue;
            };
            if call.deadline != due.deadline {
                continue;
            }
            if late && !call.prolonged {
                call.prolonged = true;
                call.deadline = read + LATE_GRACE_MS;
                let deadline = call.deadline;
                self.deadlines
                    .push(Reverse(CallDeadline { deadline, ..due }));
                continue;
            }
            self.close(registry, worker, slot);
            self.close_idle(registry, worker);
            self.finish(worker, slot, Err(HttpError::Timeout));
            self.send_next(registry, worker, slot, read);
        }
    }

    /// Returns what is asked on a connection.
    fn call_mut(&mut self, worker: u32, slot: usize) -> Option<&mut Call> {
        let connections = self.workers.get_mut(worker as usize)?.as_mut()?;
        connections.slots[slot].call.as_mut()
    }

    /// Closes the connections to a worker on which nothing is asked: open ones may
    /// have gone silent for good, all at once, while new ones work.
    fn close_idle(&mut self, registry: &Registry, worker: u32) {
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        for slot in connections.slots.iter_mut().filter(|l| l.call.is_none()) {
            if let Some(connection) = slot.connection.take() {
                connection.close(registry);
            }
        }
    }

    /// Closes all connections to a worker that is not needed any more.
    pub(crate) fn drop_worker(&mut self, registry: &Registry, worker: u32) {
        let Some(connections) = self.workers.get_mut(worker as usize) else {
            return;
        };
        if let Some(connections) = connections {
            let answers = &mut self.answers;
            connections
                .waiting
                .retain(|w| !withdraw_start(worker, w, answers));
        }
        let Some(connections) = connections.take_if(|p| p.slots.iter().all(|l| l.call.is_none()))
        else {
            return;
        };
        for slot in connections.slots {
            if let Some(connection) = slot.connection {
                connection.close(registry);
            }
        }
    }

    /// Asks what is queued next on a connection that became free.
    fn send_next(&mut self, registry: &Registry, worker: u32, slot: usize, now: u64) {
        if slot == 0 {
            return;
        }
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        if connections.slots[slot].call.is_some() {
            return;
        }
        while let Some(QueuedOrder { order, queued_at }) = connections.waiting.pop_front() {
            let Order::Start(start) = &order else {
                return self.call(registry, worker, slot, order);
            };
            if now < queued_at + MAX_START_WAIT_MS {
                return self.call(registry, worker, slot, order);
            }
            log::info!(task = start.task.to_string().as_str(), worker = &*connections.id, waited_ms = now - queued_at; "order: taken back");
            let taken = Answer::Started(start.task, start.run, Started::Withdrawn);
            self.answers.push((worker, queued_at, taken));
        }
    }

    fn call(&mut self, registry: &Registry, worker: u32, slot: usize, mut order: Order) {
        let now = self.shared.clock.now();
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        let target_slot = &mut connections.slots[slot];
        if let Some(connection) = target_slot.connection.take_if(|l| !l.is_reusable()) {
            connection.close(registry);
        }
        if target_slot.connection.is_none() {
            keep_ended_runs(&mut order);
        }
        let request = self
            .shared
            .protocol
            .order(&order, self.epoch, &connections.id);
        let timeout = match &order {
            Order::Poll { wait, .. } => wait + POLL_MARGIN_MS,
            _ => ORDER_TIMEOUT_MS,
        };
        let deadline = now + timeout;
        target_slot.call = Some(Call {
            order,
            sent_at: now,
            deadline,
            prolonged: false,
        });
        self.deadlines.push(Reverse(CallDeadline {
            deadline,
            worker,
            slot,
        }));
        if target_slot.connection.is_none() {
            let token = Token(worker as usize * SLOTS + slot);
            match Connection::connect(connections.addr, registry, token) {
                Ok(connection) => target_slot.connection = Some(connection),
                Err(err) => return self.finish(worker, slot, Err(err)),
            }
        }
        let sent = target_slot.connection.as_mut().map(|l| l.send(&request));
        if let Some(Err(err)) = sent {
            self.close(registry, worker, slot);
            self.finish(worker, slot, Err(err));
        }
    }

    fn close(&mut self, registry: &Registry, worker: u32, slot: usize) {
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        if let Some(connection) = connections.slots[slot].connection.take() {
            connection.close(registry);
        }
    }

    fn finish(&mut self, worker: u32, slot: usize, result: Result<Response, HttpError>) {
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        let Some(call) = connections.slots[slot].call.take() else {
            return;
        };
        if let Err(err) = &result {
            log::info!(worker = &*connections.id, order = order_name(&call.order), err = err.to_string().as_str(), took_ms = self.shared.clock.now() - call.sent_at; "order: no answer");
        }
        let answer = self.shared.protocol.answer(&call.order, result);
        self.answers.push((worker, call.sent_at, answer));
    }
}

/// Takes back a start that waits for a connection; true if it is one.
fn withdraw_start(
    worker: u32,
    waiting: &QueuedOrder,
    answers: &mut Vec<(u32, u64, Answer)>,
) -> bool {
    let Order::Start(start) = &waiting.order else {
        return false;
    };
    let taken = Answer::Started(start.task, start.run, Started::Withdrawn);
    answers.push((worker, waiting.queued_at, taken));
    true
}

/// Has a look drop no ends of its worker: on a new connection another life may read it, which
/// counts its ends anew. They are listed once more.
fn keep_ended_runs(order: &mut Order) {
    if let Order::Poll { observed, .. } = order {
        *observed = 0;
    }
}

fn order_name(order: &Order) -> &'static str {
    match order {
        Order::Poll { .. } => "look",
        Order::Start(_) => "start",
        Order::Stop(..) => "stop",
        Order::Pace(..) => "pace",
    }
}
