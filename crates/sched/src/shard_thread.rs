//! The thread that runs a shard's machine.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use flume::{Receiver, Sender, TrySendError};
use gorsespur_core::{
    Millis,
    member::ShardOwnership,
    owner::OwnerLease,
    shard::{Action, Event, JobKey, JobStatus, ShardScheduler},
};
use gorsespur_peer::{AgentState, ZoneShard};
use gorsespur_replay::Recorder;
use gorsespur_runtime::{cancel::CancelToken, metrics::Metrics};
use gorsespur_wire::{codec::encode, peer::TargetsAnswer, stored::Snapshot};

use crate::{
    exchanger::Exchange,
    input::{Input, Upkeep},
};

/// Time between two ticks without a message.
const TICK: Duration = Duration::from_millis(20);

/// Messages that are handled before a tick.
const BURST: usize = 512;

/// What the machine thread works with.
pub(crate) struct ShardThread {
    pub at: ZoneShard,
    pub shared: Arc<AgentState>,
    pub machine: ShardScheduler,
    pub tenure: OwnerLease,
    pub input: Receiver<Input>,
    pub reply: Sender<Input>,
    pub upkeep: Sender<Upkeep>,
    pub exchanges: Sender<Exchange>,
    pub metrics: Metrics,
    pub recorder: Option<Recorder>,
    pub cancel: CancelToken,
}

/// A cancellation that waits for the journal.
struct Waiter {
    /// Number of the record before which everything must be in the journal.
    number: u64,
    unknown: Vec<JobKey>,
    reply: Sender<Vec<JobKey>>,
}

/// State of the thread besides the machine.
#[derive(Default)]
struct Desk {
    /// Messages for the keeper that did not fit into its queue.
    backlog: VecDeque<Upkeep>,
    /// Cancellations that wait for the journal.
    waiters: Vec<Waiter>,
    configs: Option<u64>,
    list: Option<u64>,
    claimed: u64,
}

impl ShardThread {
    /// Runs until the shard is lost or given up.
    pub fn run(mut self) {
        let mut desk = Desk::default();
        while !self.cancel.is_cancelled() {
            let first = self.input.recv_timeout(TICK);
            let now = self.shared.clock.now();
            self.tenure.tick(now);
            if let Ok(input) = first {
                self.handle(now, input, &mut desk);
            }
            for _ in 0..BURST {
                let Ok(input) = self.input.try_recv() else {
                    break;
                };
                self.handle(now, input, &mut desk);
            }
            self.look_around(now, &mut desk);
            if self.tenure.can_act() {
                self.step(now, &Event::Tick, &mut desk);
            } else {
                self.push(Upkeep::Prove, &mut desk);
            }
            self.send_backlog(&mut desk);
            self.claim(&mut desk);
        }
    }

    fn handle(&mut self, now: Millis, input: Input, desk: &mut Desk) {
        match input {
            Input::Event(event) => self.step(now, &event, desk),
            Input::Proved {
                sent,
                committed,
                hold,
            } => {
                self.tenure.confirm(sent);
                self.step(now, &Event::StoreSeen(hold), desk);
                self.step(now, &Event::Committed(committed), desk);
                desk.waiters.retain(|w| {
                    let done = w.number <= committed;
                    if done {
                        let _ = w.reply.send(w.unknown.clone());
                    }
                    !done
                });
            }
            Input::Cancel { keys, reply } => {
                let mut unknown = keys.clone();
                unknown.retain(|k| self.machine.state().find(k).is_none());
                self.step(now, &Event::Cancel(keys), desk);
                desk.waiters.push(Waiter {
                    number: self.machine.next_record(),
                    unknown,
                    reply,
                });
                self.push(Upkeep::Prove, desk);
            }
            Input::Watch { keys, reply } => {
                let book = self.machine.state();
                let states = keys.iter().map(|k| book.find(k).map(JobStatus::of));
                let _ = reply.send(states.collect());
            }
            Input::Targets { reply } => {
                let _ = reply.send(TargetsAnswer {
                    shard: self.at.place.index,
                    epoch: self.machine.epoch(),
                    version: self.machine.targets_version(),
                    targets: self.machine.targets(),
                    largest: self.machine.largest_worker(),
                });
            }
            Input::Status { reply } => {
                let _ = reply.send(self.machine.status(now));
            }
            Input::Snapshot => self.snapshot(desk),
        }
    }

    fn snapshot(&mut self, desk: &mut Desk) {
        let next = self.machine.next_record();
        let snapshot = Snapshot {
            next,
            book: self.machine.state().clone(),
        };
        match encode(&snapshot) {
            Ok(bytes) => self.push(Upkeep::Snapshot { next, bytes }, desk),
            Err(err) => log::error!("shard {}: can't encode snapshot: {err}", self.at.place.name),
        }
    }

    /// Tells the machine of new templates and workers.
    ///
    /// Workers come after templates, since the longest hold depends on them.
    fn look_around(&mut self, now: Millis, desk: &mut Desk) {
        if !self.shared.is_loaded() {
            return;
        }
        let changes = self.shared.config_changes();
        if desk.configs != Some(changes) {
            desk.configs = Some(changes);
            let orgs = self.shared.configs().templates();
            self.step(now, &Event::Organisations(orgs), desk);
            self.push(Upkeep::Hold(self.machine.longest_hold()), desk);
        }
        let changes = self.shared.list_changes();
        if changes > 0 && desk.list != Some(changes) {
            desk.list = Some(changes);
            let event = self.workers();
            self.step(now, &event, desk);
        }
    }

    /// Returns the workers of the shard, and how many each shard has.
    fn workers(&self) -> Event {
        let known = self.shared.member_list();
        let shards = self.shared.settings.layout.shards();
        let mut list = Vec::new();
        let mut counts = vec![0; shards.len()];
        for w in &known.workers {
            if self.at.has_worker(&w.zone, &w.name) {
                list.push(w.clone());
            }
            let home = shards.iter().position(|s| s.has_worker(&w.zone, &w.name));
            if let Some(i) = home.filter(|_| !w.leaving) {
                counts[i] += 1;
            }
        }
        Event::Workers { list, counts }
    }

    fn step(&mut self, now: Millis, event: &Event, desk: &mut Desk) {
        let actions = self.machine.step(now, event);
        if let Some(recorder) = &mut self.recorder
            && let Err(err) = recorder.add_step(now, event, &actions)
        {
            log::error!("shard {}: recording ends: {err}", self.at.place.name);
            self.recorder = None;
        }
        for action in actions {
            self.act(action, desk);
        }
    }

    fn act(&mut self, action: Action, desk: &mut Desk) {
        match action {
            Action::Append {
                first,
                records,
                finished,
            } => {
                self.metrics.count("records", records.len() as i64);
                let append = Upkeep::Append {
                    first,
                    records,
                    finished,
                };
                self.push(append, desk);
            }
            Action::Exchange {
                worker,
                addr,
                request,
            } => {
                self.metrics.count("exchanges", 1);
                let exchange = Exchange {
                    worker,
                    addr,
                    request,
                    reply: self.reply.clone(),
                };
                self.send_exchange(exchange);
            }
            Action::Fenced { epoch } => {
                log::warn!("shard {}: a worker knows epoch {epoch}", self.at.place.name);
                self.push(Upkeep::Prove, desk);
            }
        }
    }

    fn send_exchange(&mut self, exchange: Exchange) {
        let Err(err) = self.exchanges.try_send(exchange) else {
            return;
        };
        let (TrySendError::Full(e) | TrySendError::Disconnected(e)) = err;
        let event = Event::NoAnswer {
            worker: e.worker,
            seq: e.request.seq,
        };
        let _ = self.reply.try_send(Input::Event(event));
    }

    /// Queues a message for the keeper, which may be busy while the table
    /// service is down; this thread goes on renewing leases meanwhile.
    fn push(&self, message: Upkeep, desk: &mut Desk) {
        if matches!(message, Upkeep::Prove) && !desk.backlog.is_empty() {
            return;
        }
        desk.backlog.push_back(message);
        self.send_backlog(desk);
    }

    fn send_backlog(&self, desk: &mut Desk) {
        while let Some(message) = desk.backlog.pop_front() {
            let Err(err) = self.upkeep.try_send(message) else {
                continue;
            };
            let (TrySendError::Full(m) | TrySendError::Disconnected(m)) = err;
            desk.backlog.push_front(m);
            return;
        }
    }

    /// Puts the shard into the heartbeats.
    fn claim(&self, desk: &mut Desk) {
        let targets = self.machine.targets_version();
        if desk.claimed == targets {
            return;
        }
        desk.claimed = targets;
        let claim = ShardOwnership {
            shard: self.at.place.index,
            epoch: self.machine.epoch(),
            targets_version: targets,
        };
        let mut claims = self.shared.claims();
        match claims.binary_search_by_key(&claim.shard, |c| c.shard) {
            Ok(i) => claims[i] = claim,
            Err(i) => claims.insert(i, claim),
        }
    }
}
