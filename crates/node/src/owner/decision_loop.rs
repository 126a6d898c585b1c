//! The deciding thread: waits for answers of workers and for messages of other threads, and carries
//! out the scheduler's actions.

use std::{io, sync::Arc, time::Duration};

use flume::Sender;
use gorsespur_jobs::{Action, Event, JobId, Scheduler};
use gorsespur_runtime::{cancel::CancelToken, clock::wall_ms};
use mio::Events;

use super::{
    connections::Connections,
    inbox::{DurableWrite, Inbox, Message, WAKER_TOKEN},
    journal::JournalInput,
    send,
};
use crate::{config::Config, metrics::Count, protocol::Order, rows::encode, shared::Shared};

/// Longest sleep, which is the precision of timeouts.
const MAX_SLEEP: Duration = Duration::from_millis(25);

/// Capacity for events of one poll of the event loop.
const EVENTS_PER_POLL: usize = 1024;

/// Limit on polls of the event loop per wake-up. Each worker has up to five connections, so that
/// all are read with 1,600 workers.
const MAX_POLLS: usize = 8;

/// Time since the last wake-up from which a wake-up counts as late, in milliseconds: the process
/// was paused or slowed, or deciding took long. Wake-ups normally come at least every 25 ms.
const LATE_MS: u64 = 250;

/// Period of publishing the pending jobs and statistics, in milliseconds.
const REPORT_PERIOD_MS: u64 = 300;

/// Period of saving the learned estimates, in milliseconds. Learning takes half a minute, and the
/// row has some 5 KB.
const LEARNED_PERIOD_MS: u64 = 2000;

/// Queues from the deciding thread to others.
pub(super) struct Outputs<'a> {
    pub(super) journal: &'a Sender<JournalInput>,
    /// Jobs whose cancellations have expired.
    pub(super) expired_cancels: &'a Sender<JobId>,
}

/// State of the deciding thread.
pub(crate) struct DecisionLoop {
    shared: Arc<Shared>,
    scheduler: Scheduler,
    connections: Connections,
    inbox: Inbox,
    config: Option<Arc<Config>>,
    /// The evacuated zones last passed to the scheduler; `None` before the first time.
    evacuated: Option<Arc<[Arc<str>]>>,
    next_report_at: u64,
    /// When the learned estimates are saved next, in milliseconds.
    next_save_at: u64,
    /// Time of the last wake-up, in milliseconds.
    last_wake_at: u64,
    /// Time for which the computer had been suspended by then, in milliseconds.
    suspended_ms: u64,
    is_over: bool,
}

/// Result of reading the connections in one wake-up.
#[derive(Debug)]
struct Wake {
    /// Time of the wake-up; everything that had arrived by then is read, unless `is_partial`.
    woken_at: u64,
    /// Whether more events may be pending.
    is_partial: bool,
    /// Whether the wake-up was late.
    is_late: bool,
}

impl DecisionLoop {
    /// Creates the loop.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        epoch: u64,
        scheduler: Scheduler,
        inbox: Inbox,
    ) -> DecisionLoop {
        DecisionLoop {
            shared: shared.clone(),
            scheduler,
            connections: Connections::new(shared, epoch),
            inbox,
            config: None,
            evacuated: None,
            next_report_at: 0,
            next_save_at: shared.clock.now() + LEARNED_PERIOD_MS,
            last_wake_at: shared.clock.now(),
            suspended_ms: shared.clock.suspended_ms(),
            is_over: false,
        }
    }

    /// Runs until the lease is lost or `cancel` is cancelled.
    pub(super) fn run(mut self, outputs: &Outputs<'_>, cancel: &CancelToken) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !self.is_over && !cancel.is_cancelled() {
            let wake = match self.wake(&mut events) {
                Ok(wake) => wake,
                Err(err) => {
                    log::error!(err = err.to_string().as_str(); "owner: event loop failed");
                    break;
                }
            };
            self.decide(outputs, &wake);
        }
        if !self.is_over {
            send(outputs.journal, JournalInput::Release);
        }
    }

    /// Waits for events and reads everything that has arrived: only then does a missing answer mean
    /// a silent worker.
    fn wake(&mut self, events: &mut Events) -> io::Result<Wake> {
        let mut timeout = MAX_SLEEP;
        let mut wake: Option<Wake> = None;
        for _ in 0..MAX_POLLS {
            if let Err(err) = self.inbox.poll.poll(events, Some(timeout))
                && err.kind() != io::ErrorKind::Interrupted
            {
                return Err(err);
            }
            let wake = wake.get_or_insert_with(|| self.record_wake());
            wake.is_partial = events.iter().count() >= EVENTS_PER_POLL;
            for event in events.iter() {
                if event.token() == WAKER_TOKEN {
                    continue;
                }
                let registry = self.inbox.poll.registry();
                self.connections
                    .on_ready(registry, event.token(), event.into());
            }
            if !wake.is_partial {
                break;
            }
            timeout = Duration::ZERO;
        }
        Ok(wake.unwrap_or_else(|| self.record_wake()))
    }

    /// Records a wake-up, and logs it if it was late.
    fn record_wake(&mut self) -> Wake {
        let woken_at = self.shared.clock.now();
        let since_last = woken_at - self.last_wake_at;
        self.last_wake_at = woken_at;
        let is_late = since_last >= LATE_MS;
        if is_late {
            let suspended_ms = self.shared.clock.suspended_ms();
            let newly_suspended_ms = suspended_ms.saturating_sub(self.suspended_ms);
            self.suspended_ms = suspended_ms;
            self.shared.metrics.count(Count::LateTurns);
            log::warn!(late_ms = since_last, suspended_ms = newly_suspended_ms, told = self.inbox.messages.len(); "owner: late");
        }
        Wake {
            woken_at,
            is_partial: false,
            is_late,
        }
    }

    fn decide(&mut self, outputs: &Outputs<'_>, wake: &Wake) {
        let now = self.shared.clock.now();
        if !wake.is_partial {
            self.connections
                .expire(self.inbox.poll.registry(), wake.woken_at, wake.is_late);
        }
        self.handle_messages(now);
        self.apply_config(now);
        self.apply_evacuated(now);
        // Sending may fail at once, which yields another answer.
        loop {
            for result in self.connections.take_answers() {
                let event = Event::Answer {
                    worker: result.worker,
                    generation: result.generation,
                    sent: result.sent_at,
                    answer: result.answer,
                };
                self.scheduler.handle(now, wall_ms(), event);
            }
            let actions = self.scheduler.decide(now, wall_ms());
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute(action, outputs);
            }
        }
        self.save_learned(now, outputs);
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_PERIOD_MS;
            send(
                outputs.journal,
                JournalInput::Publish(
                    self.scheduler.pending_jobs(),
                    self.scheduler.queue_figures(),
                ),
            );
            self.expire_cancels(outputs);
            self.shared.metrics.set_owner_stats(self.scheduler.stats());
            let shares = self.scheduler.queue_shares();
            self.shared.metrics.set_queue_shares(shares);
            let removed = self.scheduler.removed_queues();
            self.shared.metrics.set_removed_queues(removed);
            for worker in self.scheduler.closable_workers() {
                self.connections
                    .drop_worker(self.inbox.poll.registry(), worker);
            }
        }
    }

    /// Passes on expired cancellations, as many as there is room for.
    fn expire_cancels(&mut self, outputs: &Outputs<'_>) {
        let queue = outputs.expired_cancels;
        let room = queue.capacity().unwrap_or(0).saturating_sub(queue.len());
        for id in self.scheduler.take_expired_cancels(room) {
            if queue.try_send(id).is_err() {
                log::debug!(job = id.to_string().as_str(); "owner: no thread removes cancellations");
            }
        }
    }

    /// Saves the learned estimates periodically.
    fn save_learned(&mut self, now: u64, outputs: &Outputs<'_>) {
        if now < self.next_save_at {
            return;
        }
        self.next_save_at = now + LEARNED_PERIOD_MS;
        send(
            outputs.journal,
            JournalInput::Learned(encode(&self.scheduler.learned())),
        );
    }

    fn handle_messages(&mut self, now: u64) {
        while let Ok(message) = self.inbox.messages.try_recv() {
            match message {
                Message::Events(events) => {
                    for event in events {
                        self.scheduler.handle(now, wall_ms(), event);
                    }
                }
                Message::Durable(DurableWrite {
                    asked_at,
                    has_batch,
                }) => {
                    let event = match has_batch {
                        true => Event::Committed { asked_at },
                        false => Event::Renewed { asked_at },
                    };
                    self.scheduler.handle(now, wall_ms(), event);
                }
                Message::LeaseLost => self.is_over = true,
            }
        }
    }

    fn apply_config(&mut self, now: u64) {
        let config = self.shared.config();
        let version = |c: &Option<Arc<Config>>| c.as_ref().map(|c| c.version);
        if version(&config) == version(&self.config) {
            return;
        }
        if let Some(config) = &config {
            let event = Event::Queues(config.policies());
            self.scheduler.handle(now, wall_ms(), event);
        }
        self.config = config;
    }

    fn apply_evacuated(&mut self, now: u64) {
        let zones = self.shared.evacuated();
        if self.evacuated.as_ref() == Some(&zones) {
            return;
        }
        let event = Event::Evacuated(zones.clone());
        self.scheduler.handle(now, wall_ms(), event);
        self.evacuated = Some(zones);
    }

    fn execute(&mut self, action: Action, outputs: &Outputs<'_>) {
        if self.is_over {
            return;
        }
        let generation = action.generation().unwrap_or_default();
        let (worker, order) = match action {
            Action::Poll {
                worker,
                observed,
                deadline,
                wait,
                ..
            } => {
                let order = Order::Poll {
                    observed,
                    deadline,
                    wait,
                };
                (worker, order)
            }
            Action::Start(worker, start) => (worker, Order::Start(start)),
            Action::Stop {
                worker, task, run, ..
            } => (worker, Order::Stop(task, run)),
            Action::Pace {
                worker,
                task,
                run,
                percent,
                ..
            } => (worker, Order::Pace(task, run, percent)),
            Action::Commit(batch) => return send(outputs.journal, JournalInput::Batch(batch)),
            Action::StepDown => {
                log::warn!("owner: a worker refuses its orders");
                self.is_over = true;
                return;
            }
        };
        if let Some(target) = self.scheduler.worker_address(worker) {
            let registry = self.inbox.poll.registry();
            self.connections
                .send(registry, worker, target, order, generation);
        }
    }
}
