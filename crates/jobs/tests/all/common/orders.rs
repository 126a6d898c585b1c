//! Orders to workers and the answers to them.

use std::sync::Arc;

use gorsespur_jobs::{Action, Answer, Event, MAX_GENERATION, Paced, Started, Stopped, TaskId};
use rand::Rng;

use super::{Mode, World, crash::refusal_answer};

/// Milliseconds after which an unanswered order times out.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Milliseconds beyond the requested wait after which an unanswered poll times out.
const POLL_TIMEOUT_MS: u64 = 900;

/// Milliseconds after a request to evacuate a zone during which runs may still start there. Users
/// are promised no more starts after that time: an owner may be paused when the request is made,
/// and starts that were sent before may still be under way.
const EVACUATION_GRACE_MS: u64 = 5000;

/// A message in flight.
#[derive(Debug, Clone)]
pub(super) enum Message {
    Order(Order),
    /// Slot of the worker, generation of the order and when it was sent, and the answer.
    Answer(u32, u32, u64, Answer),
}

/// An order in flight to a worker.
#[derive(Debug, Clone)]
pub(super) struct Order {
    /// Index of the worker that has the name, and the port at which its owner expects it.
    at: usize,
    port: u16,
    id: Arc<str>,
    action: Action,
    sent_at: u64,
    /// Whether the order takes so long that its sender has timed out.
    overdue: bool,
}

/// A kind of order that a test holds back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    Start,
    Stop,
    Pace,
    /// A poll that lets the worker drop ends.
    Confirmation,
}

impl Held {
    fn includes(self, action: &Action) -> bool {
        match self {
            Held::Start => matches!(action, Action::Start(..)),
            Held::Stop => matches!(action, Action::Stop { .. }),
            Held::Pace => matches!(action, Action::Pace { .. }),
            Held::Confirmation => {
                matches!(action, Action::Poll { observed, .. } if *observed > 0)
            }
        }
    }
}

/// An order that is held back, with the index of its owner.
#[derive(Debug)]
pub(super) struct HeldOrder {
    owner: usize,
    kind: Held,
    order: Order,
}

impl World {
    pub(super) fn act(&mut self, at: usize, action: Action) {
        let now = self.now;
        let worker = match &action {
            Action::Commit(batch) => {
                self.owners[at].commit = Some((now + self.write_ms, batch.clone()));
                return;
            }
            Action::StepDown => {
                self.owners[at].stepped_down = true;
                return;
            }
            Action::Poll { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Pace { worker, .. } => *worker,
            Action::Start(worker, _) => *worker,
        };
        let owner = &mut self.owners[at];
        let (addr, id) = owner
            .scheduler
            .worker_address(worker)
            .expect("announced worker");
        let index = match owner.slots.get(&worker) {
            Some(&index) => index,
            None => {
                let index = self.workers.iter().position(|w| w.id == id);
                let index = index.unwrap_or_else(|| self.former_ids[&id]);
                owner.slots.insert(worker, index);
                index
            }
        };
        let delay = self.workers[index].delay_ms;
        let cost = if matches!(action, Action::Start(..)) {
            self.link_ms
        } else {
            0
        };
        owner.link_until = owner.link_until.max(now) + cost;
        let extra = if is_poll(&action) { 0 } else { delay } + (owner.link_until - now);
        let due = now + 2 + extra;
        let hold = self
            .holds
            .iter()
            .position(|&(at, kind)| at == index && kind.includes(&action));
        let overdue = hold.is_some() || extra > timeout(&action);
        let owner = &mut self.owners[at];
        if overdue {
            let (slot, answer) = timeout_answer(&action);
            let message = Message::Answer(slot, generation(&action), now, answer);
            let timed_out = (now + timeout(&action), message);
            owner.messages.push(timed_out);
        }
        let order = Order {
            at: index,
            port: addr.port(),
            id,
            action,
            sent_at: now,
            overdue,
        };
        match hold.map(|hold| self.holds.remove(hold)) {
            Some((_, kind)) => self.held.push(HeldOrder {
                owner: at,
                kind,
                order,
            }),
            None => owner.messages.push((due, Message::Order(order))),
        }
    }

    /// Holds back the next order of a kind to a worker. Its sender gets no answer.
    pub fn hold(&mut self, at: usize, kind: Held) {
        self.holds.push((at, kind));
    }

    /// Returns the number of orders of a kind that are held back.
    pub fn held(&self, kind: Held) -> usize {
        self.held.iter().filter(|h| h.kind == kind).count()
    }

    /// Delivers the held orders of a kind within the next step, in the order of their sending.
    pub fn release(&mut self, kind: Held) {
        while self.held(kind) > 0 {
            self.release_first(kind);
        }
    }

    /// Delivers the held order of a kind that was sent first within the next step.
    pub fn release_first(&mut self, kind: Held) {
        let Some(first) = self.held.iter().position(|h| h.kind == kind) else {
            return;
        };
        let held = self.held.remove(first);
        let message = (self.now, Message::Order(held.order));
        self.owners[held.owner].messages.push(message);
    }

    pub(super) fn deliver(&mut self, at: usize) {
        let now = self.now;
        let paused = self.owners[at].paused || self.owners[at].busy_until > now;
        let (unread, rng) = (self.unread_percent, &mut self.rng);
        let messages = &mut self.owners[at].messages;
        let mut due = Vec::new();
        messages.retain(|(t, message)| {
            // Answers wait while the process is paused or busy.
            let answer = matches!(message, Message::Answer(..));
            let is_held = paused || unread > 0 && rng.random_range(0..100) < unread;
            let is_waiting = *t > now || answer && is_held;
            if !is_waiting {
                due.push(message.clone());
            }
            is_waiting
        });
        for message in due {
            match message {
                Message::Answer(worker, generation, sent, answer) => {
                    let owner = &mut self.owners[at];
                    if !owner.stepped_down {
                        if let Answer::Report(report) = &answer {
                            let (_, id) = owner
                                .scheduler
                                .worker_address(worker)
                                .expect("announced worker");
                            let fence = fencing_token(owner.epoch, generation);
                            self.checker
                                .record_fence(id.clone(), report.start_time, fence);
                            self.checker.record_report(now, owner.epoch, id, report);
                        }
                        let event = Event::Answer {
                            worker,
                            generation,
                            sent,
                            answer,
                        };
                        owner.scheduler.handle(owner.clock.read(now), now, event);
                    }
                }
                Message::Order(order) => self.carry_out(at, order),
            }
        }
    }

    fn carry_out(&mut self, at: usize, order: Order) {
        let now = self.now;
        let generation = generation(&order.action);
        let fence = fencing_token(self.owners[at].epoch, generation);
        let sent = order.sent_at;
        let listener = match order.overdue {
            true => Some(order.at),
            false => self.listener(order.port),
        };
        let refusal = match listener {
            Some(index) => self.refusal(index, &order.action, &order.id),
            None => refusal_answer(&order.action),
        };
        if let Some(answer) = refusal {
            let slot = worker_slot(&order.action);
            let message = (now + 2, Message::Answer(slot, generation, sent, answer));
            if !order.overdue {
                self.owners[at].messages.push(message);
            }
            return;
        }
        let index = listener.unwrap_or(order.at);
        let is_late = order.overdue || now > sent + timeout(&order.action);
        let is_lost = self.rng.random_range(0..100) < self.settings.lost_percent;
        let is_unanswered =
            is_lost || !self.workers[index].alive || self.workers[index].partitioned;
        if is_unanswered && !is_late && self.draws_delay(&order.action) {
            return self.delay_order(at, order);
        }
        let action = order.action;
        let worker = &mut self.workers[index];
        let reached = worker.alive && !worker.partitioned;
        let (slot, silence) = timeout_answer(&action);
        let answer = match &action {
            Action::Poll {
                observed, deadline, ..
            } => {
                let report = reached
                    .then(|| {
                        if fence >= worker.fence {
                            self.checker.record_observed(now, worker, *observed);
                        }
                        let report = worker.report(now, fence, *observed, *deadline)?;
                        if !is_late {
                            let jobs = &self.jobs;
                            let step = |id: TaskId| &jobs[&id.job].spec.steps[id.step as usize];
                            let checkpoints = &mut self.checker.checkpoints;
                            checkpoints.record_report(&report, |id| step(id).gang);
                        }
                        Some(report)
                    })
                    .flatten();
                report.map_or(Answer::Fenced, Answer::Report)
            }
            Action::Start(_, order) => {
                let mut started = Started::Unknown;
                let is_malformed = &*order.spec.payload == "malformed";
                if reached && (is_malformed || worker.mode == Mode::Rejects) {
                    started = Started::Rejected;
                    worker.rejected.push((order.task, order.checkpoint.clone()));
                } else if reached && !self.checker.checkpoints.is_valid_for(order) {
                    started = Started::Rejected;
                    self.checker.record_rejected(now, order);
                } else if reached {
                    let before = worker.runs.len();
                    let progress = self.checker.checkpoints.progress(&order.checkpoint);
                    started = worker.start(now, fence, order, progress);
                    let exempt_until = match is_late {
                        true => self
                            .checker
                            .exempt_until(now, self.epoch, worker, (fence, order)),
                        false => 0,
                    };
                    if let Some(run) = worker.runs.get_mut(before) {
                        run.exempt_until = exempt_until;
                    }
                    if worker.runs.len() > before && exempt_until == 0 {
                        let since = self.evacuated.get(&World::zone(index));
                        if worker.delay_ms == 0
                            && since.is_some_and(|&at| now > at + EVACUATION_GRACE_MS)
                        {
                            let violation =
                                format!("{now}: {} starts in an evacuated zone", order.task);
                            self.checker.violations.push(violation);
                        }
                        let attempts = self.settings.attempts;
                        self.checker
                            .check_start(now, order.task, attempts, &order.spec);
                        self.checker.check_checkpoint(now, order);
                        self.checker.check_not_done(now, order.task);
                        self.checker.check_capacity(now, worker);
                    }
                }
                Answer::Started(order.task, order.run, started)
            }
            Action::Stop { task, run, .. } => {
                let mut stopped = Stopped::Unknown;
                if reached {
                    stopped = worker.stop(now, fence, *task, *run);
                    self.checker.record_bar(*task, *run);
                }
                Answer::Stopped(*task, *run, stopped)
            }
            Action::Pace {
                task, run, percent, ..
            } => {
                let mut paced = Paced::Unknown;
                if reached {
                    paced = worker.pace(fence, *task, *run, *percent);
                }
                Answer::Paced(*task, *run, paced)
            }
            Action::Commit(_) | Action::StepDown => return,
        };
        let is_waiting = matches!(&action, Action::Poll { wait, .. } if *wait > 0);
        let is_idle = match &answer {
            Answer::Report(report) => report.finished.is_empty(),
            _ => false,
        };
        if is_late {
            // The sender has timed out already.
            return;
        }
        let lag = match self.max_lag_ms {
            0 => 0,
            lag if is_poll(&action) => self.rng.random_range(0..lag),
            _ => 0,
        };
        let message = match reached && !is_lost {
            // A real worker answers a waiting poll as soon as a run ends; this one is polled again
            // after 100 ms.
            true if is_waiting && is_idle => (
                now + 100 + lag,
                Message::Answer(slot, generation, sent, answer),
            ),
            true => (
                now + 2 + lag,
                Message::Answer(slot, generation, sent, answer),
            ),
            false => {
                let due = (sent + ORDER_TIMEOUT_MS).max(now);
                (due, Message::Answer(slot, generation, sent, silence))
            }
        };
        self.owners[at].messages.push(message);
    }

    /// Returns whether an unanswered order is carried out later nevertheless.
    fn draws_delay(&mut self, action: &Action) -> bool {
        let is_eligible = self.delay_percent > 0 && (self.delays_polls || !is_poll(action));
        is_eligible && self.rng.random_range(0..100) < self.delay_percent
    }

    /// Delays an order; its sender gets no answer.
    fn delay_order(&mut self, at: usize, mut order: Order) {
        let (slot, answer) = timeout_answer(&order.action);
        let timed_out = (order.sent_at + timeout(&order.action)).max(self.now);
        let due = self.now + self.rng.random_range(0..self.max_delay_ms.max(1));
        order.overdue = true;
        let messages = &mut self.owners[at].messages;
        let answer = Message::Answer(slot, generation(&order.action), order.sent_at, answer);
        messages.push((timed_out, answer));
        messages.push((due, Message::Order(order)));
    }

    /// Delays some of the orders in flight to a worker whose process ends.
    pub(super) fn delay_in_flight(&mut self, index: usize) {
        for at in 0..self.owners.len() {
            for (due, message) in std::mem::take(&mut self.owners[at].messages) {
                match message {
                    Message::Order(order)
                        if order.at == index
                            && !order.overdue
                            && self.draws_delay(&order.action) =>
                    {
                        self.delay_order(at, order);
                    }
                    message => self.owners[at].messages.push((due, message)),
                }
            }
        }
    }
}

fn is_poll(action: &Action) -> bool {
    matches!(action, Action::Poll { .. })
}

/// Returns the generation of an order.
fn generation(action: &Action) -> u32 {
    action.generation().expect("an order")
}

/// Returns the fencing token of an order of a generation, sent by the owner of an epoch.
pub fn fencing_token(epoch: u64, generation: u32) -> u64 {
    epoch * u64::from(MAX_GENERATION) + u64::from(generation)
}

/// Returns the slot of the worker that an order is for.
fn worker_slot(action: &Action) -> u32 {
    timeout_answer(action).0
}

/// Returns the milliseconds after which an order times out.
fn timeout(action: &Action) -> u64 {
    match action {
        Action::Poll { wait, .. } => wait + POLL_TIMEOUT_MS,
        _ => ORDER_TIMEOUT_MS,
    }
}

/// Returns the answer that an owner records for an order that times out.
fn timeout_answer(action: &Action) -> (u32, Answer) {
    match action {
        Action::Poll { worker, .. } => (*worker, Answer::NoReply),
        Action::Start(worker, order) => {
            let answer = Answer::Started(order.task, order.run, Started::Unknown);
            (*worker, answer)
        }
        Action::Stop {
            worker, task, run, ..
        } => (*worker, Answer::Stopped(*task, *run, Stopped::Unknown)),
        Action::Pace {
            worker, task, run, ..
        } => (*worker, Answer::Paced(*task, *run, Paced::Unknown)),
        Action::Commit(_) | Action::StepDown => unreachable!("not an order"),
    }
}
