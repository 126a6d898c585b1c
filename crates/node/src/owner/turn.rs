//! The thread that decides: it waits for answers and inputs, and acts.

use std::{io, sync::Arc, time::Duration};

use flume::Sender;
use gorsespur_jobs::{Action, Event, Machine};
use gorsespur_runtime::{cancel::CancelToken, clock::wall_ms};
use mio::Events;

use super::{
    inbox::{Inbox, Told, WAKE, Written},
    journal::Entry,
    lines::Lines,
    send,
};
use crate::{config::Config, metrics::Count, protocol::Order, rows::encode, shared::Shared};

/// Longest sleep: times run out within this precision.
const TICK: Duration = Duration::from_millis(25);

/// Connections that one question to the system tells of at most.
const EVENTS: usize = 1024;

/// Such questions in one wake-up at most: each worker has up to five connections, so that
/// these are read dry with 1,600 workers.
const ROUNDS: usize = 8;

/// A wake-up that comes so much later than the last one is late, in milliseconds: the
/// process was paused or slowed, or deciding took long. Others come each 25.
const LATE: u64 = 250;

/// What lies behind is told this often, in milliseconds.
const TELL_PERIOD: u64 = 300;

/// What was learned is kept this often, in milliseconds: it takes half a minute to learn,
/// and a row of some 5 KB.
const LEARNED_PERIOD: u64 = 2000;

/// The state of the thread that decides.
pub(crate) struct Turn {
    shared: Arc<Shared>,
    machine: Machine,
    lines: Lines,
    inbox: Inbox,
    config: Option<Arc<Config>>,
    /// The evacuated zones that the machine was told; nothing before it was told any.
    evacuated: Option<Arc<[Arc<str>]>>,
    tell_at: u64,
    /// When what was learned is kept next.
    keep_at: u64,
    /// When the last wake-up came.
    woke: u64,
    /// For how long the machine had been suspended by then, in milliseconds.
    suspended: u64,
    over: bool,
}

/// What one wake-up found on the connections.
#[derive(Debug)]
struct Wake {
    /// When it came: what had arrived by then is read.
    at: u64,
    /// Whether more may have arrived than was read.
    partial: bool,
    /// Whether it came late.
    late: bool,
}

impl Turn {
    /// Makes the event loop.
    pub(crate) fn new(shared: &Arc<Shared>, epoch: u64, machine: Machine, inbox: Inbox) -> Turn {
        Turn {
            shared: shared.clone(),
            machine,
            lines: Lines::new(shared, epoch),
            inbox,
            config: None,
            evacuated: None,
            tell_at: 0,
            keep_at: shared.clock.now() + LEARNED_PERIOD,
            woke: shared.clock.now(),
            suspended: shared.clock.suspended_ms(),
            over: false,
        }
    }

    /// Decides until the lease is lost or `cancel` is cancelled.
    pub(crate) fn run(mut self, journal: &Sender<Entry>, cancel: &CancelToken) {
        let mut events = Events::with_capacity(EVENTS);
        while !self.over && !cancel.is_cancelled() {
            let wake = match self.wake(&mut events) {
                Ok(wake) => wake,
                Err(err) => {
                    log::error!(err = err.to_string().as_str(); "owner: event loop failed");
                    break;
                }
            };
            self.turn(journal, &wake);
        }
        if !self.over {
            send(journal, Entry::Release);
        }
    }

    /// Waits, and reads all that has arrived: only then does silence tell anything.
    fn wake(&mut self, events: &mut Events) -> io::Result<Wake> {
        let mut timeout = TICK;
        let mut wake: Option<Wake> = None;
        for _ in 0..ROUNDS {
            if let Err(err) = self.inbox.poll.poll(events, Some(timeout))
                && err.kind() != io::ErrorKind::Interrupted
            {
                return Err(err);
            }
            let wake = wake.get_or_insert_with(|| self.woken());
            wake.partial = events.iter().count() >= EVENTS;
            for event in events.iter() {
                if event.token() == WAKE {
                    continue;
                }
                let registry = self.inbox.poll.registry();
                self.lines.ready(registry, event.token(), event.into());
            }
            if !wake.partial {
                break;
            }
            timeout = Duration::ZERO;
        }
        Ok(wake.unwrap_or_else(|| self.woken()))
    }

    /// Takes note of a wake-up.
    fn woken(&mut self) -> Wake {
        let at = self.shared.clock.now();
        let since = at - self.woke;
        self.woke = at;
        let late = since >= LATE;
        if late {
            let suspended = self.shared.clock.suspended_ms();
            let slept = suspended.saturating_sub(self.suspended);
            self.suspended = suspended;
            self.shared.metrics.count(Count::LateTurns);
            log::warn!(late_ms = since, suspended_ms = slept, told = self.inbox.told.len(); "owner: late");
        }
        Wake {
            at,
            partial: false,
            late,
        }
    }

    fn turn(&mut self, journal: &Sender<Entry>, wake: &Wake) {
        let now = self.shared.clock.now();
        if !wake.partial {
            self.lines
                .expire(self.inbox.poll.registry(), wake.at, wake.late);
        }
        self.take_told(now);
        self.take_config(now);
        self.take_evacuated(now);
        // Sending may fail at once, which is an answer again.
        loop {
            for (worker, sent, answer) in self.lines.take_answers() {
                let event = Event::Answer {
                    worker,
                    sent,
                    answer,
                };
                self.machine.handle(now, wall_ms(), event);
            }
            let actions = self.machine.decide(now, wall_ms());
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.act(action, journal);
            }
        }
        self.keep_learned(now, journal);
        if now >= self.tell_at {
            self.tell_at = now + TELL_PERIOD;
            send(journal, Entry::Pending(self.machine.pending_jobs()));
            self.shared.metrics.set_owner_stats(self.machine.stats());
            for worker in self.machine.closable_workers() {
                self.lines.drop_worker(self.inbox.poll.registry(), worker);
            }
        }
    }

    /// Keeps what was learned, each while.
    fn keep_learned(&mut self, now: u64, journal: &Sender<Entry>) {
        if now < self.keep_at {
            return;
        }
        self.keep_at = now + LEARNED_PERIOD;
        send(journal, Entry::Learned(encode(&self.machine.learned())));
    }

    fn take_told(&mut self, now: u64) {
        while let Ok(told) = self.inbox.told.try_recv() {
            match told {
                Told::Events(events) => {
                    for event in events {
                        self.machine.handle(now, wall_ms(), event);
                    }
                }
                Told::Durable(Written { asked, batch }) => {
                    let event = match batch {
                        true => Event::Committed { asked_at: asked },
                        false => Event::Renewed { asked_at: asked },
                    };
                    self.machine.handle(now, wall_ms(), event);
                }
                Told::Deposed => self.over = true,
            }
        }
    }

    fn take_config(&mut self, now: u64) {
        let config = self.shared.config();
        let known = |c: &Option<Arc<Config>>| c.as_ref().map(|c| c.version);
        if known(&config) == known(&self.config) {
            return;
        }
        if let Some(config) = &config {
            let event = Event::Queues(config.policies());
            self.machine.handle(now, wall_ms(), event);
        }
        self.config = config;
    }

    fn take_evacuated(&mut self, now: u64) {
        let zones = self.shared.evacuated();
        if self.evacuated.as_ref() == Some(&zones) {
            return;
        }
        let event = Event::Evacuated(zones.clone());
        self.machine.handle(now, wall_ms(), event);
        self.evacuated = Some(zones);
    }

    fn act(&mut self, action: Action, journal: &Sender<Entry>) {
        if self.over {
            return;
        }
        let (worker, order) = match action {
            Action::Poll {
                worker,
                observed,
                deadline,
                wait,
            } => {
                let order = Order::Look {
                    observed,
                    deadline,
                    wait,
                };
                (worker, order)
            }
            Action::Start(worker, start) => (worker, Order::Start(start)),
            Action::Stop { worker, task, run } => (worker, Order::Stop(task, run)),
            Action::Pace {
                worker,
                task,
                run,
                percent,
            } => (worker, Order::Pace(task, run, percent)),
            Action::Commit(batch) => return send(journal, Entry::Batch(batch)),
            Action::StepDown => {
                log::warn!("owner: a worker has seen a higher epoch");
                self.over = true;
                return;
            }
        };
        if let Some(target) = self.machine.worker_address(worker) {
            let registry = self.inbox.poll.registry();
            self.lines.send(registry, worker, target, order);
        }
    }
}
