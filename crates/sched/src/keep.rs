//! Keeping a shard while it is owned: its threads, its journal, its release.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use flume::{Receiver, Sender};
use gorsespur_core::{
    hashing::stable_hash,
    name::Name,
    owner::OwnerLease,
    shard::{ShardScheduler, Takeover},
};
use gorsespur_replay::Recorder;
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_wire::objects;

use crate::{
    collect::{Collected, Pending, collect},
    inbox,
    input::{Input, Upkeep},
    inquiry::Inquiry,
    journal::{Journal, JournalError},
    keeper::Keeper,
    owned::OwnedShard,
    shard_thread::ShardThread,
    sweep::Sweep,
};

/// Messages that may wait for a machine thread.
const INPUTS: usize = 8_192;

/// Messages that may wait for a keeper.
const UPKEEP: usize = 1_024;

/// Time for which a stopping instance tries to release a shard.
pub(crate) const RELEASE: Duration = Duration::from_millis(1_500);

/// Longest time between two looks whether the program stops.
const LOOK: Duration = Duration::from_millis(50);

/// Time between two looks whether another instance should own the shard.
const BALANCE: Duration = Duration::from_secs(2);

/// Why an ownership ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parted {
    Stopped,
    Moved,
    Fenced,
}

/// A snapshot that is in the object store.
struct Stored {
    /// Number of the first record after it.
    next: u64,
    /// Row before which the journal may be cut.
    cut: u64,
    /// Key of the snapshot before it.
    old: Name,
}

impl Keeper {
    /// Keeps the shard until it is lost or given up.
    ///
    /// `old` is the address of an owner that may still renew leases, the only
    /// one if it is known.
    pub(crate) fn keep(
        &self,
        journal: &mut Journal,
        takeover: Takeover,
        old: Option<SocketAddr>,
    ) -> Parted {
        let cancel = CancelToken::new();
        let (input, inputs) = flume::bounded(INPUTS);
        let (upkeep, upkeeps) = flume::bounded(UPKEEP);
        let (look, looks) = flume::bounded(1);
        let (hold, known) = (journal.row().hold, takeover.settled);
        let machine = self.start_machine(takeover, &input, inputs, upkeep, &cancel);
        let fetch = self.start_inbox(&input, looks, &cancel);
        let settled = Arc::new(AtomicBool::new(false));
        let asking = if known {
            None
        } else {
            self.start_inquiry(old, hold, &input, &settled, &cancel)
        };
        let sweeping = self.start_sweep(&cancel);
        self.owned.add(OwnedShard {
            index: self.at.place.index,
            name: self.at.place.name.clone(),
            input: input.clone(),
            look,
        });
        let parted = self.write_all(journal, &upkeeps, &input, hold, &settled);
        self.owned.remove(self.at.place.index);
        self.shared
            .claims()
            .retain(|c| c.shard != self.at.place.index);
        cancel.cancel();
        drop(input);
        for thread in [machine, fetch, asking, sweeping].into_iter().flatten() {
            let _ = thread.join();
        }
        self.shared
            .claims()
            .retain(|c| c.shard != self.at.place.index);
        if parted != Parted::Fenced {
            self.hand_over(journal, &upkeeps);
        }
        parted
    }

    fn start_machine(
        &self,
        takeover: Takeover,
        input: &Sender<Input>,
        inputs: Receiver<Input>,
        upkeep: Sender<Upkeep>,
        cancel: &CancelToken,
    ) -> Option<thread::JoinHandle<()>> {
        let now = self.shared.clock.now();
        let epoch = takeover.epoch;
        let name = &self.at.place.name;
        let seed = stable_hash(&[name, &epoch.to_string()]);
        let recorder = self.recorder(&takeover, seed, now);
        let thread = ShardThread {
            at: self.at.clone(),
            shared: self.shared.clone(),
            machine: ShardScheduler::new(
                self.at.place.clone(),
                self.settings.shards.clone(),
                seed,
                takeover,
                now,
            ),
            tenure: OwnerLease::new(self.settings.lease, now),
            input: inputs,
            reply: input.clone(),
            upkeep,
            exchanges: self.exchanges.clone(),
            metrics: self.metrics.clone(),
            recorder,
            cancel: cancel.clone(),
        };
        spawn(format!("shard-{name}"), move || thread.run())
    }

    fn recorder(&self, takeover: &Takeover, seed: u64, now: u64) -> Option<Recorder> {
        let dir = self.record.as_ref()?;
        let (name, epoch) = (&self.at.place.name, takeover.epoch);
        let path = dir.join(format!("{name}.{epoch}.trace"));
        let made = Recorder::create(
            &path,
            &self.at.place,
            &self.settings.shards,
            seed,
            takeover,
            now,
        );
        match made {
            Ok(recorder) => Some(recorder),
            Err(err) => {
                log::error!("shard {name}: can't record: {err}");
                None
            }
        }
    }

    fn start_inbox(
        &self,
        input: &Sender<Input>,
        looks: Receiver<()>,
        cancel: &CancelToken,
    ) -> Option<thread::JoinHandle<()>> {
        let (table, name) = (self.table.clone(), self.at.place.name.clone());
        let (input, cancel) = (input.clone(), cancel.clone());
        let seed = self.shared.incarnation;
        spawn(format!("inbox-{name}"), move || {
            inbox::follow(table.as_ref(), &name, &input, &looks, seed, &cancel);
        })
    }

    fn start_sweep(&self, cancel: &CancelToken) -> Option<thread::JoinHandle<()>> {
        let sweep = Sweep {
            table: self.table.clone(),
            objects: self.objects.clone(),
            shard: self.at.place.name.clone(),
            claims: self.at.place.index == 0,
            retention: self.settings.retention,
        };
        let cancel = cancel.clone();
        let name = &self.at.place.name;
        spawn(format!("sweep-{name}"), move || sweep.run(&cancel))
    }

    /// Learns when no earlier owner can still renew leases.
    fn start_inquiry(
        &self,
        old: Option<SocketAddr>,
        hold: u64,
        input: &Sender<Input>,
        settled: &Arc<AtomicBool>,
        cancel: &CancelToken,
    ) -> Option<thread::JoinHandle<()>> {
        let inquiry = Inquiry {
            shard: self.at.place.name.clone(),
            old,
            me: self.shared.settings.listen,
            hold: Duration::from_millis(hold),
            input: input.clone(),
            settled: settled.clone(),
            cancel: cancel.clone(),
        };
        let name = &self.at.place.name;
        spawn(format!("inquiry-{name}"), move || inquiry.run())
    }

    /// Writes the journal until the shard is lost or to be given up.
    fn write_all(
        &self,
        journal: &mut Journal,
        upkeeps: &Receiver<Upkeep>,
        input: &Sender<Input>,
        mut hold: u64,
        settled: &AtomicBool,
    ) -> Parted {
        let mut rows = journal.row().next_row - journal.row().first_row;
        let mut asked = false;
        let (stored, stores) = flume::bounded(1);
        let mut balanced = Instant::now();
        let mut renewed = Instant::now();
        loop {
            if self.stop.is_cancelled() {
                return Parted::Stopped;
            }
            if balanced.elapsed() >= BALANCE {
                balanced = Instant::now();
                if self.should_move() {
                    return Parted::Moved;
                }
            }
            if settled.load(Ordering::Acquire) {
                journal.settle();
            }
            let left = self
                .settings
                .renew
                .saturating_sub(renewed.elapsed())
                .min(LOOK);
            let Collected {
                batch,
                snapshot,
                prove,
            } = collect(upkeeps, left, &mut hold);
            let due = prove || renewed.elapsed() >= self.settings.renew;
            let result = if !batch.records.is_empty() {
                rows += 1;
                journal.append(&batch, hold, &self.stop)
            } else if due {
                journal.renew(hold, &self.stop)
            } else {
                Ok(0)
            };
            match result {
                Ok(0) => {}
                Ok(sent) => {
                    renewed = Instant::now();
                    self.metrics.count("commits", 1);
                    let proved = Input::Proved {
                        sent,
                        committed: journal.row().next_record,
                        hold,
                    };
                    let _ = input.send(proved);
                }
                Err(JournalError::Fenced) => return Parted::Fenced,
                Err(JournalError::GaveUp) => return Parted::Stopped,
                Err(err @ (JournalError::Encode | JournalError::Gap { .. })) => {
                    log::error!("shard {}: {err}", self.at.place.name);
                    return Parted::Fenced;
                }
            }
            if let Some(pending) = snapshot {
                self.store(journal, pending, &stored);
            }
            if let Ok(stored) = stores.try_recv() {
                asked = false;
                rows = match stored {
                    Some(Stored { next, cut, old }) => match journal.cut(next, cut, &self.stop) {
                        Ok(_) => {
                            self.delete_snapshot(old);
                            journal.next_row() - cut
                        }
                        Err(JournalError::Fenced) => return Parted::Fenced,
                        Err(_) => return Parted::Stopped,
                    },
                    None => self.settings.snapshot / 2,
                };
            }
            if rows >= self.settings.snapshot && !asked {
                asked = input.send(Input::Snapshot).is_ok();
            }
            if !batch.records.is_empty() && !self.settings.commit.is_zero() {
                self.stop.wait(self.settings.commit);
            }
        }
    }

    /// Puts a snapshot into the object store beside the journal's writes, which
    /// must not wait for it: they renew the lease.
    fn store(&self, journal: &Journal, pending: Pending, done: &Sender<Option<Stored>>) {
        let (next, cut) = (pending.next, journal.next_row());
        let key = objects::snapshot(&self.at.place.name, next);
        let old = journal.row().first_record;
        let old = objects::snapshot(&self.at.place.name, old);
        let (store, done) = (self.objects.clone(), done.clone());
        let name = self.at.place.name.clone();
        spawn(format!("snapshot-{name}"), move || {
            let put = store.put(&key, &pending.bytes);
            if let Err(err) = &put {
                log::warn!("shard {name}: no snapshot: {err}");
            }
            let _ = done.send(put.is_ok().then_some(Stored { next, cut, old }));
        });
    }

    /// Deletes the snapshot before the last, beside the journal's writes.
    fn delete_snapshot(&self, key: Name) {
        let store = self.objects.clone();
        spawn(format!("snapshot-{}", self.at.place.name), move || {
            let _ = store.delete(&key);
        });
    }

    /// Tells whether a steady colleague comes first in the line for the shard.
    fn should_move(&self) -> bool {
        let s = &self.shared.settings;
        let now = self.shared.clock.now();
        let name = &self.at.place.name;
        let mut best: (u64, bool) = (stable_hash(&[name, &s.id]), false);
        for p in self.shared.peers().available(now, s.role, &s.zone) {
            let weight = stable_hash(&[name, &p.heartbeat.id]);
            if weight > best.0 {
                best = (
                    weight,
                    now.saturating_sub(p.steady_since) >= self.settings.steady,
                );
            }
        }
        best.1
    }

    /// Writes what the machine still had to say and releases the shard.
    ///
    /// Records behind a write that was given up are left out: nothing was done
    /// about them yet.
    fn hand_over(&self, journal: &mut Journal, upkeeps: &Receiver<Upkeep>) {
        let cancel = expire(RELEASE);
        let mut hold = journal.row().hold;
        let batch = collect(upkeeps, Duration::ZERO, &mut hold).batch;
        if !batch.records.is_empty() {
            match journal.append(&batch, hold, &cancel) {
                Ok(_) | Err(JournalError::Gap { .. }) => {}
                Err(_) => return,
            }
        }
        if let Err(err) = journal.release(&cancel) {
            log::warn!("shard {}: not released: {err}", self.at.place.name);
        }
    }
}

/// Returns a token that is cancelled after `limit`.
pub(crate) fn expire(limit: Duration) -> CancelToken {
    let cancel = CancelToken::new();
    let timer = cancel.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        timer.cancel();
    });
    cancel
}

fn spawn(name: String, f: impl FnOnce() + Send + 'static) -> Option<thread::JoinHandle<()>> {
    match thread::Builder::new().name(name).spawn(f) {
        Ok(handle) => Some(handle),
        Err(err) => {
            log::error!("keeper: can't start a thread: {err}");
            None
        }
    }
}
