//! The connections to all workers, and the orders sent on them.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use gorsespur_http::{Connection, HttpError, Readiness, Response};
use gorsespur_jobs::{Answer, StartOrder, Started};
use mio::{Registry, Token};

use super::worker_connections::{
    Call, CallDeadline, OrderResult, QueuedOrder, SLOTS, WorkerConnections,
};
use crate::{lease::fencing_token, metrics::Count, protocol::Order, shared::Shared};

/// Time limit of a poll beyond the wait requested of the worker, in milliseconds. Longer than for
/// orders, since little depends on a single poll.
const POLL_MARGIN_MS: u64 = 900;

/// Time limit of an order, in milliseconds. Workers answer within 5 ms; one that does not may still
/// carry the order out, which later polls have to find out.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Extension of a call's deadline after a late wake-up, in milliseconds: some twenty times what a
/// worker takes to answer.
const LATE_GRACE_MS: u64 = 100;

/// Longest wait of a start for a connection, in milliseconds; after it the start is withdrawn. The
/// decision is outdated by then: the worker may have announced that it leaves, and users allow
/// starts for at most two seconds after that.
const MAX_START_WAIT_MS: u64 = 500;

/// The connections to all workers.
#[derive(Debug)]
pub(crate) struct Connections {
    shared: Arc<Shared>,
    epoch: u64,
    workers: Vec<Option<WorkerConnections>>,
    /// Deadlines of the calls, the earliest first. Checking every connection instead took a tenth
    /// of the owner's time with 1,100 workers.
    deadlines: BinaryHeap<Reverse<CallDeadline>>,
    answers: Vec<OrderResult>,
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

    /// Returns the results of orders since the last call.
    pub(crate) fn take_answers(&mut self) -> Vec<OrderResult> {
        std::mem::take(&mut self.answers)
    }

    /// Sends an order of a generation to a worker, or queues it until a connection is free.
    pub(crate) fn send(
        &mut self,
        registry: &Registry,
        worker: u32,
        target: (SocketAddr, Arc<str>),
        order: Order,
        generation: u32,
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
            Some(slot) => self.call(registry, worker, slot, order, generation),
            None => connections.waiting.push_back(QueuedOrder {
                order,
                generation,
                queued_at: now,
            }),
        }
    }

    /// Handles a connection that has become ready.
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

    /// Abandons calls whose deadline has passed, once everything that had arrived by `read` has
    /// been read. After a late wake-up, each such call first gets [`LATE_GRACE_MS`] once.
    ///
    /// Without that, an owner that took a second to decide abandoned calls whose answers were still
    /// unread, took their workers for silent and started their tasks a second time: 637 tasks on
    /// one day with 1,100 workers.
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
            if late && !call.is_extended {
                call.is_extended = true;
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

    /// Returns the call under way on a connection.
    fn call_mut(&mut self, worker: u32, slot: usize) -> Option<&mut Call> {
        let connections = self.workers.get_mut(worker as usize)?.as_mut()?;
        connections.slots[slot].call.as_mut()
    }

    /// Closes the idle connections to a worker: open ones may all have stopped delivering at once,
    /// while new ones work.
    fn close_idle(&mut self, registry: &Registry, worker: u32) {
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        for slot in connections.slots.iter_mut().filter(|c| c.call.is_none()) {
            if let Some(connection) = slot.connection.take() {
                connection.close(registry);
            }
        }
    }

    /// Withdraws the queued starts of a worker that is no longer needed, and closes its connections
    /// unless a call is under way.
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
        let Some(connections) = connections.take_if(|w| w.slots.iter().all(|c| c.call.is_none()))
        else {
            return;
        };
        for slot in connections.slots {
            if let Some(connection) = slot.connection {
                connection.close(registry);
            }
        }
    }

    /// Sends the next queued order on a connection that has become free.
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
        while let Some(queued) = connections.waiting.pop_front() {
            let Order::Start(start) = &queued.order else {
                return self.call(registry, worker, slot, queued.order, queued.generation);
            };
            if now < queued.queued_at + MAX_START_WAIT_MS {
                return self.call(registry, worker, slot, queued.order, queued.generation);
            }
            log::info!(task = start.task.to_string().as_str(), worker = &*connections.id, waited_ms = now - queued.queued_at; "order: taken back");
            self.answers.push(withdraw(worker, &queued, start));
        }
    }

    fn call(
        &mut self,
        registry: &Registry,
        worker: u32,
        slot: usize,
        mut order: Order,
        generation: u32,
    ) {
        let now = self.shared.clock.now();
        let Some(Some(connections)) = self.workers.get_mut(worker as usize) else {
            return;
        };
        let target_slot = &mut connections.slots[slot];
        if let Some(connection) = target_slot.connection.take_if(|c| !c.is_reusable()) {
            connection.close(registry);
        }
        if target_slot.connection.is_none() {
            keep_ended_runs(&mut order);
        }
        let fence = fencing_token(self.epoch, generation);
        let request = self.shared.protocol.order(&order, fence, &connections.id);
        let timeout = match &order {
            Order::Poll { wait, .. } => wait + POLL_MARGIN_MS,
            _ => ORDER_TIMEOUT_MS,
        };
        let deadline = now + timeout;
        target_slot.call = Some(Call {
            order,
            generation,
            sent_at: now,
            deadline,
            is_extended: false,
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
        let sent = target_slot.connection.as_mut().map(|c| c.send(&request));
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
        let answer = checked(&self.shared, &connections.id, answer);
        self.answers.push(OrderResult {
            worker,
            generation: call.generation,
            sent_at: call.sent_at,
            answer,
        });
    }
}

/// Returns the answer, or that there is none if it is a report with impossible numbers.
fn checked(shared: &Shared, worker: &str, answer: Answer) -> Answer {
    let Answer::Report(report) = &answer else {
        return answer;
    };
    match report.validate() {
        Ok(()) => answer,
        Err(err) => {
            shared.metrics.count(Count::BadReports);
            log::error!(worker, err = err.to_string().as_str(); "worker: report can't be used");
            Answer::NoReply
        }
    }
}

/// Withdraws a queued start; returns whether the order was one.
fn withdraw_start(worker: u32, queued: &QueuedOrder, answers: &mut Vec<OrderResult>) -> bool {
    let Order::Start(start) = &queued.order else {
        return false;
    };
    answers.push(withdraw(worker, queued, start));
    true
}

/// Returns the result of a queued start that is withdrawn.
fn withdraw(worker: u32, queued: &QueuedOrder, start: &StartOrder) -> OrderResult {
    OrderResult {
        worker,
        generation: queued.generation,
        sent_at: queued.queued_at,
        answer: Answer::Started(start.task, start.run, Started::Withdrawn),
    }
}

/// Makes a poll acknowledge no ended runs: on a new connection, another incarnation may receive it,
/// which counts its ended runs anew. The worker then reports them once more.
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
