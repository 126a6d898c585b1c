//! The thread that runs a shard's scheduler.

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
    input::{Input, KeeperMessage},
};

/// Longest wait for a message before a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of queued messages that are handled before a tick.
const MAX_BURST: usize = 512;

/// The scheduler of a shard and its connections to other threads.
pub(crate) struct ShardThread {
    pub shard: ZoneShard,
    pub shared: Arc<AgentState>,
    pub scheduler: ShardScheduler,
    pub lease: OwnerLease,
    pub input: Receiver<Input>,
    pub reply: Sender<Input>,
    pub keeper: Sender<KeeperMessage>,
    pub exchanges: Sender<Exchange>,
    pub metrics: Metrics,
    pub recorder: Option<Recorder>,
    pub cancel: CancelToken,
}

/// A cancellation that is not in the journal yet.
struct PendingCancel {
    /// The reply is due once all records before this number are in the journal.
    number: u64,
    unknown: Vec<JobKey>,
    reply: Sender<Vec<JobKey>>,
}

/// State of the thread besides the scheduler.
#[derive(Default)]
struct LoopState {
    /// Messages that did not fit into the keeper's queue.
    backlog: VecDeque<KeeperMessage>,
    pending_cancels: Vec<PendingCancel>,
    /// Change counter of the configurations that the scheduler has.
    config_changes: Option<u64>,
    /// Change counter of the worker list that the scheduler has.
    list_changes: Option<u64>,
    /// Version of the targets in the heartbeats.
    announced_version: u64,
}

impl ShardThread {
    /// Runs until `cancel`, when the ownership has ended.
    pub fn run(mut self) {
        let mut state = LoopState::default();
        while !self.cancel.is_cancelled() {
            let first = self.input.recv_timeout(TICK_INTERVAL);
            let now = self.shared.clock.now();
            self.lease.tick(now);
            if let Ok(input) = first {
                self.handle(now, input, &mut state);
            }
            for _ in 0..MAX_BURST {
                let Ok(input) = self.input.try_recv() else {
                    break;
                };
                self.handle(now, input, &mut state);
            }
            self.apply_updates(now, &mut state);
            if self.lease.can_act() {
                self.step(now, &Event::Tick, &mut state);
            } else {
                self.push(KeeperMessage::Renew, &mut state);
            }
            self.send_backlog(&mut state);
            self.announce(&mut state);
        }
    }

    fn handle(&mut self, now: Millis, input: Input, state: &mut LoopState) {
        match input {
            Input::Event(event) => self.step(now, &event, state),
            Input::Confirmed {
                sent,
                committed,
                hold,
            } => {
                self.lease.confirm(sent);
                self.step(now, &Event::StoreSeen(hold), state);
                self.step(now, &Event::Committed(committed), state);
                state.pending_cancels.retain(|c| {
                    let done = c.number <= committed;
                    if done {
                        let _ = c.reply.send(c.unknown.clone());
                    }
                    !done
                });
            }
            Input::Cancel { keys, reply } => {
                let mut unknown = keys.clone();
                unknown.retain(|k| self.scheduler.state().find(k).is_none());
                self.step(now, &Event::Cancel(keys), state);
                state.pending_cancels.push(PendingCancel {
                    number: self.scheduler.next_record(),
                    unknown,
                    reply,
                });
                self.push(KeeperMessage::Renew, state);
            }
            Input::Watch { keys, reply } => {
                let jobs = self.scheduler.state();
                let states = keys.iter().map(|k| jobs.find(k).map(JobStatus::of));
                let _ = reply.send(states.collect());
            }
            Input::Targets { reply } => {
                let _ = reply.send(TargetsAnswer {
                    shard: self.shard.place.index,
                    epoch: self.scheduler.epoch(),
                    version: self.scheduler.targets_version(),
                    targets: self.scheduler.targets(),
                    largest: self.scheduler.largest_worker(),
                });
            }
            Input::Status { reply } => {
                let _ = reply.send(self.scheduler.status(now));
            }
            Input::Snapshot => self.snapshot(state),
        }
    }

    fn snapshot(&mut self, state: &mut LoopState) {
        let next = self.scheduler.next_record();
        let snapshot = Snapshot {
            next,
            state: self.scheduler.state().clone(),
        };
        match encode(&snapshot) {
            Ok(bytes) => self.push(KeeperMessage::Snapshot { next, bytes }, state),
            Err(err) => log::error!(
                "shard {}: can't encode the snapshot: {err}",
                self.shard.place.name
            ),
        }
    }

    /// Passes changed templates and workers to the scheduler.
    ///
    /// Templates come first, since the longest hold depends on them.
    fn apply_updates(&mut self, now: Millis, state: &mut LoopState) {
        if !self.shared.is_loaded() {
            return;
        }
        let changes = self.shared.config_changes();
        if state.config_changes != Some(changes) {
            state.config_changes = Some(changes);
            let orgs = self.shared.configs().templates();
            self.step(now, &Event::Organisations(orgs), state);
            self.push(KeeperMessage::Hold(self.scheduler.longest_hold()), state);
        }
        let changes = self.shared.list_changes();
        if changes > 0 && state.list_changes != Some(changes) {
            state.list_changes = Some(changes);
            let event = self.workers();
            self.step(now, &event, state);
        }
    }

    /// Returns the workers of the shard, and the number of workers of each shard
    /// that are not leaving.
    fn workers(&self) -> Event {
        let members = self.shared.member_list();
        let shards = self.shared.settings.layout.shards();
        let mut list = Vec::new();
        let mut counts = vec![0; shards.len()];
        for w in &members.workers {
            if self.shard.has_worker(&w.zone, &w.name) {
                list.push(w.clone());
            }
            let shard = shards.iter().position(|s| s.has_worker(&w.zone, &w.name));
            if let Some(i) = shard.filter(|_| !w.leaving) {
                counts[i] += 1;
            }
        }
        Event::Workers { list, counts }
    }

    fn step(&mut self, now: Millis, event: &Event, state: &mut LoopState) {
        let actions = self.scheduler.step(now, event);
        if let Some(recorder) = &mut self.recorder
            && let Err(err) = recorder.add_step(now, event, &actions)
        {
            log::error!("shard {}: recording stopped: {err}", self.shard.place.name);
            self.recorder = None;
        }
        for action in actions {
            self.act(action, state);
        }
    }

    fn act(&mut self, action: Action, state: &mut LoopState) {
        match action {
            Action::Append {
                first,
                records,
                finished,
            } => {
                self.metrics.count("records", records.len() as i64);
                let append = KeeperMessage::Append {
                    first,
                    records,
                    finished,
                };
                self.push(append, state);
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
                log::warn!(
                    "shard {}: a worker has seen the later epoch {epoch}",
                    self.shard.place.name
                );
                self.push(KeeperMessage::Renew, state);
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

    /// Queues a message for the keeper without blocking. The keeper may be busy
    /// while the table service is down, and this thread has to keep renewing
    /// leases.
    fn push(&self, message: KeeperMessage, state: &mut LoopState) {
        if matches!(message, KeeperMessage::Renew) && !state.backlog.is_empty() {
            return;
        }
        state.backlog.push_back(message);
        self.send_backlog(state);
    }

    fn send_backlog(&self, state: &mut LoopState) {
        while let Some(message) = state.backlog.pop_front() {
            let Err(err) = self.keeper.try_send(message) else {
                continue;
            };
            let (TrySendError::Full(m) | TrySendError::Disconnected(m)) = err;
            state.backlog.push_front(m);
            return;
        }
    }

    /// Announces the shard and the version of its targets in heartbeats.
    fn announce(&self, state: &mut LoopState) {
        let targets = self.scheduler.targets_version();
        if state.announced_version == targets {
            return;
        }
        state.announced_version = targets;
        let claim = ShardOwnership {
            shard: self.shard.place.index,
            epoch: self.scheduler.epoch(),
            targets_version: targets,
        };
        let mut claims = self.shared.claims();
        match claims.binary_search_by_key(&claim.shard, |c| c.shard) {
            Ok(i) => claims[i] = claim,
            Err(i) => claims.insert(i, claim),
        }
    }
}
