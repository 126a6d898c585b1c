//! Scheduler of a shard: a state machine that its owner drives by events.

use std::{collections::VecDeque, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use super::{
    Action, AttemptId, Event, FinishedJob, Health, JobKey, JobSpec, Queue, Record, ShardSettings,
    ShardState, TaskRef, TaskState, Worker, WorkerInfo, class::TaskClass, team_usage::TeamUsage,
};
use crate::{
    Millis,
    name::Name,
    placement::InterferenceModel,
    size::Size,
    template::{OrgLimits, Organisation, Weights},
};

/// Name and index of a shard among all shards of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardId {
    /// Name of the shard.
    pub name: Name,
    /// Index of the shard among all shards.
    pub index: u32,
    /// Number of all shards.
    pub count: u32,
}

/// State that a new owner starts from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Takeover {
    /// Epoch of the new ownership.
    pub epoch: u64,
    /// Shard state that was recovered from the journal.
    #[serde(rename = "book")]
    pub state: ShardState,
    /// Number of the first record that is not in the journal.
    #[serde(rename = "next")]
    pub next_record: u64,
    /// Hold in the shard's row when the owner took over.
    #[serde(rename = "inherited")]
    pub inherited_hold: Millis,
    /// Whether no earlier owner can still renew leases.
    pub settled: bool,
}

/// Scheduler of a shard: decides which attempts start, stop and have ended.
#[derive(Debug)]
pub struct ShardScheduler {
    pub(super) shard: ShardId,
    pub(super) settings: ShardSettings,
    pub(super) epoch: u64,
    pub(super) rng: SmallRng,
    pub(super) orgs: Vec<Arc<Organisation>>,
    pub(super) state: ShardState,
    pub(super) workers: Vec<Worker>,
    pub(super) queue: Queue,
    pub(super) classes: Vec<TaskClass>,
    /// Indices of the classes, sorted by organisation and kind.
    classes_by_name: Vec<u16>,
    pub(super) teams: Vec<TeamUsage>,
    /// Indices of the teams, sorted by organisation and name.
    teams_by_name: Vec<u16>,
    pub(super) interference: InterferenceModel,
    /// Number of workers that are not leaving, by index of the shard.
    pub(super) worker_counts: Vec<u32>,
    pub(super) pending_records: Vec<Record>,
    pub(super) finished: Vec<FinishedJob>,
    /// Number of the next record.
    pub(super) next_record: u64,
    /// Records below this number are in the journal.
    pub(super) committed: u64,
    /// Time of the last contact with the table service.
    pub(super) store_seen_at: Millis,
    /// Hold in the shard's row, which limits the hold of each attempt.
    pub(super) hold_cap: Millis,
    /// Hold in the shard's row at takeover, written by an earlier owner.
    pub(super) inherited_hold: Millis,
    /// Whether no earlier owner can still renew leases.
    pub(super) settled: bool,
    /// Time of the takeover.
    pub(super) started_at: Millis,
    /// Finished jobs with the time at which they are removed from the shard state.
    pub(super) close_queue: VecDeque<(Millis, u32)>,
    pub(super) recent_evictions: VecDeque<Millis>,
    /// Whether a change may allow a task to be placed.
    pub(super) placement_due: bool,
    /// Whether workers missing from the membership list were added since the list arrived.
    pub(super) unlisted_checked: bool,
    pub(super) placed_at: Millis,
    pub(super) interference_checked_at: Millis,
    pub(super) actions: Vec<Action>,
    pub(super) targets_version: u64,
}

impl ShardScheduler {
    /// Returns a scheduler that takes over a shard.
    pub fn new(
        shard: ShardId,
        settings: ShardSettings,
        seed: u64,
        takeover: Takeover,
        now: Millis,
    ) -> ShardScheduler {
        let Takeover {
            epoch,
            state,
            next_record,
            inherited_hold,
            settled,
        } = takeover;
        let mut scheduler = ShardScheduler {
            shard,
            settings,
            epoch,
            rng: SmallRng::seed_from_u64(seed),
            orgs: Vec::new(),
            state,
            workers: Vec::new(),
            queue: Queue::default(),
            classes: Vec::new(),
            classes_by_name: Vec::new(),
            teams: Vec::new(),
            teams_by_name: Vec::new(),
            interference: InterferenceModel::default(),
            worker_counts: Vec::new(),
            pending_records: Vec::new(),
            finished: Vec::new(),
            next_record,
            committed: next_record,
            store_seen_at: now,
            hold_cap: inherited_hold,
            inherited_hold,
            settled,
            started_at: now,
            close_queue: VecDeque::new(),
            recent_evictions: VecDeque::new(),
            placement_due: true,
            unlisted_checked: false,
            placed_at: 0,
            interference_checked_at: 0,
            actions: Vec::new(),
            targets_version: 1,
        };
        scheduler.recover(now);
        scheduler
    }

    /// Returns the epoch of this ownership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the shard state.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Returns the workers, sorted by name.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the number of the next record.
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Handles one event and returns the actions for the owner.
    pub fn step(&mut self, now: Millis, event: &Event) -> Vec<Action> {
        match event {
            Event::Organisations(orgs) => self.set_orgs(now, orgs),
            Event::Workers { list, counts } => {
                self.worker_counts = counts.clone();
                self.set_workers(now, list);
                self.sync_services(now);
            }
            Event::Submit(specs) => self.submit(now, specs),
            Event::Cancel(keys) => self.cancel(now, keys),
            Event::Answer { worker, answer } => self.handle_answer(now, worker, answer),
            Event::NoAnswer { worker, seq } => self.handle_no_answer(worker, *seq),
            Event::Committed(upto) => self.commit(now, *upto),
            Event::StoreSeen(hold) => {
                self.store_seen_at = now;
                self.hold_cap = *hold;
            }
            Event::Settled => self.settle(now),
            Event::Tick => self.tick(now),
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Millis) {
        self.queue.promote_delayed(now);
        self.add_unlisted_workers(now);
        self.check_workers(now);
        self.close_jobs(now);
        self.limit_interference(now);
        self.place_tasks(now);
        self.send_exchanges(now);
    }

    fn flush(&mut self) {
        if self.pending_records.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.pending_records);
        let first = self.next_record - records.len() as u64;
        let finished = std::mem::take(&mut self.finished);
        self.actions.push(Action::Append {
            first,
            records,
            finished,
        });
    }

    fn commit(&mut self, now: Millis, upto: u64) {
        self.store_seen_at = now;
        if upto <= self.committed {
            return;
        }
        self.committed = upto;
        for w in &mut self.workers {
            let starts = w
                .allocations
                .iter()
                .any(|r| r.sent_seq.is_none() && r.start_record < upto);
            let acks = w.acks.iter().any(|a| a.0 < upto);
            w.dirty |= starts || acks;
        }
    }

    /// Applies a record to the shard state and queues it for the journal.
    ///
    /// A task that the record queues becomes ready after `delay`. Returns the record's number.
    pub(super) fn append_record(&mut self, now: Millis, record: Record, delay: Millis) -> u64 {
        let number = self.next_record;
        let effects = self.state.apply(&record);
        self.next_record += 1;
        self.pending_records.push(record);
        for effect in effects {
            self.apply_effect(now, effect, number, delay);
        }
        number
    }

    fn recover(&mut self, now: Millis) {
        let mut queued = Vec::new();
        let mut finished = Vec::new();
        for job in self.state.jobs() {
            if job.open_tasks == 0 && !job.spec.service {
                finished.push(job.number);
            }
            for (i, task) in job.tasks.iter().enumerate() {
                if task.state == TaskState::Queued {
                    queued.push(TaskRef {
                        job: job.number,
                        task: i as u32,
                    });
                }
            }
        }
        for task in queued {
            self.enqueue(now, task, 0);
        }
        for job in finished {
            self.close_queue
                .push_back((now + self.settings.retention, job));
        }
    }

    fn set_orgs(&mut self, now: Millis, orgs: &[Arc<Organisation>]) {
        self.orgs = orgs.to_vec();
        self.orgs.sort_by(|a, b| a.name.cmp(&b.name));
        for class in &mut self.classes {
            let found = self.orgs.binary_search_by(|o| o.name.cmp(&class.org));
            let Ok(i) = found else { continue };
            let org = &self.orgs[i];
            class.weights = org.weights;
            class.hold = org.limits.hold;
            class.max_evictions = org.limits.task_evictions;
        }
        for w in &mut self.workers {
            for r in &mut w.allocations {
                r.hold = self.classes[usize::from(r.class)].hold;
            }
        }
        let count = u64::from(self.shard.count);
        for team in &mut self.teams {
            let Ok(i) = self.orgs.binary_search_by(|o| o.name.cmp(&team.org)) else {
                continue;
            };
            if team.quota.is_some() {
                let quota = self.orgs[i].team(&team.team).map(|t| t.quota.divide(count));
                team.quota = Some(quota.unwrap_or_default());
            }
        }
        self.placement_due = true;
        self.sync_services(now);
    }

    /// Returns the longest time for which any owner may renew leases without the table service.
    pub fn longest_hold(&self) -> Millis {
        let wanted = self.orgs.iter().map(|o| o.limits.hold).max();
        wanted.unwrap_or(0).max(self.inherited_hold)
    }

    fn set_workers(&mut self, now: Millis, list: &[WorkerInfo]) {
        for w in &mut self.workers {
            w.listed = false;
        }
        for info in list {
            match self.workers.binary_search_by(|w| w.name.cmp(&info.name)) {
                Ok(i) => self.update_worker(i, info),
                Err(i) => self.add_worker(now, i, info),
            }
        }
        let before = self.workers.len();
        self.workers
            .retain(|w| w.listed || !w.allocations.is_empty());
        if self.workers.len() != before {
            self.targets_version += 1;
        }
        self.unlisted_checked = false;
    }

    /// Shortens the presumed leases on new workers once no earlier owner can renew them.
    fn settle(&mut self, now: Millis) {
        self.settled = true;
        for w in &mut self.workers {
            if w.health == Health::New {
                w.lease_start = w.lease_start.min(now);
            }
        }
    }

    fn update_worker(&mut self, i: usize, info: &WorkerInfo) {
        let w = &mut self.workers[i];
        w.listed = true;
        w.rack = info.rack.clone();
        if w.addr != info.addr || w.service_addr != info.target {
            w.addr = info.addr;
            w.service_addr = info.target;
            self.targets_version += 1;
        }
        if info.leaving && !w.leaving {
            w.leaving = true;
            self.targets_version += 1;
            self.drain_worker(i);
        } else if !info.leaving && w.leaving {
            w.leaving = false;
            self.targets_version += 1;
            self.placement_due = true;
        }
    }

    fn add_worker(&mut self, now: Millis, i: usize, info: &WorkerInfo) {
        let hold = if self.settled { 0 } else { self.longest_hold() };
        let lease_start = now + hold;
        self.workers.insert(i, Worker::new(info, now, lease_start));
        self.targets_version += 1;
        self.restore_allocations(now, i);
    }

    /// Adds an allocation for each attempt that the shard state has on worker `i`.
    fn restore_allocations(&mut self, now: Millis, i: usize) {
        let name = self.workers[i].name.clone();
        let mut found = Vec::new();
        for job in self.state.jobs() {
            for (t, task) in job.tasks.iter().enumerate() {
                let TaskState::Active(worker) = &task.state else {
                    continue;
                };
                if *worker != name {
                    continue;
                }
                let attempt = AttemptId {
                    job: job.number,
                    task: t as u32,
                    attempt: task.attempt,
                };
                let is_unwanted = job.cancelled || t as u32 >= job.spec.tasks;
                found.push((attempt, job.spec.size, is_unwanted));
            }
        }
        for (attempt, size, is_unwanted) in found {
            self.reserve(now, attempt, &name, &size, 0);
            let Some(r) = self.workers[i].allocation_mut(attempt) else {
                continue;
            };
            r.sent_seq = Some(0);
            if is_unwanted {
                r.stop = Some(super::StopReason::Cancelled);
            }
        }
    }

    /// Adds workers that have attempts in the shard state but are missing from the membership list.
    ///
    /// Waits for `silent_after` from the takeover, since the first list may be incomplete.
    pub(super) fn add_unlisted_workers(&mut self, now: Millis) {
        let known = !self.worker_counts.is_empty();
        if self.unlisted_checked || !known || now < self.started_at + self.settings.silent_after {
            return;
        }
        self.unlisted_checked = true;
        let mut names: Vec<Name> = Vec::new();
        for job in self.state.jobs() {
            for task in &job.tasks {
                let TaskState::Active(worker) = &task.state else {
                    continue;
                };
                let known = self
                    .workers
                    .binary_search_by(|w| w.name.cmp(worker))
                    .is_ok();
                if known || names.contains(worker) {
                    continue;
                }
                names.push(worker.clone());
            }
        }
        let no_addr = ([0, 0, 0, 0], 0).into();
        for name in names {
            let info = WorkerInfo {
                name: name.clone(),
                zone: name.clone(),
                rack: name.clone(),
                addr: no_addr,
                target: no_addr,
                size: Size::default(),
                leaving: true,
            };
            let Err(i) = self.workers.binary_search_by(|w| w.name.cmp(&name)) else {
                continue;
            };
            self.add_worker(now, i, &info);
            self.workers[i].listed = false;
        }
    }

    fn submit(&mut self, now: Millis, specs: &[JobSpec]) {
        let mut open = self.open_jobs();
        for spec in specs {
            if self.state.find(&spec.key).is_some() {
                continue;
            }
            let job = self.state.next_job();
            let reason = self.rejection_reason(spec, &mut open);
            self.append_record(now, Record::Submitted(spec.clone()), 0);
            if let Some(reason) = reason {
                self.append_record(now, Record::Rejected { job, reason }, 0);
            }
        }
        self.placement_due = true;
    }

    /// Returns the number of open jobs of each organisation, in the order of `orgs`.
    fn open_jobs(&self) -> Vec<u32> {
        let mut open = vec![0; self.orgs.len()];
        for job in self.state.jobs() {
            if job.open_tasks == 0 || job.spec.service {
                continue;
            }
            if let Ok(i) = self
                .orgs
                .binary_search_by(|o| o.name.cmp(&job.spec.key.org))
            {
                open[i] += 1;
            }
        }
        open
    }

    /// Returns why a job has to be rejected, or `None` if it is accepted.
    ///
    /// A job of an organisation without a template is accepted, since its limits are unknown.
    fn rejection_reason(&self, spec: &JobSpec, open: &mut [u32]) -> Option<Name> {
        let org = self
            .orgs
            .binary_search_by(|o| o.name.cmp(&spec.key.org))
            .ok()?;
        let limit = self.orgs[org].limits.open_jobs;
        if open[org] >= limit {
            return Some(format!("the organisation has {limit} open jobs here").into());
        }
        open[org] += 1;
        let mut largest = Size::default();
        let mut fits = self.workers.is_empty();
        for w in &self.workers {
            fits |= spec.size.fits_in(&w.capacity);
            largest = largest.max(&w.capacity);
        }
        if !fits {
            return Some(format!("no worker holds {}; the largest is {largest}", spec.size).into());
        }
        let over = self.teams.iter().any(|t| {
            t.org == spec.key.org
                && t.team == spec.team
                && t.quota.is_some_and(|q| !spec.size.fits_in(&q))
        });
        over.then(|| format!("a task is larger than the quota share of {}", spec.team).into())
    }

    fn cancel(&mut self, now: Millis, keys: &[JobKey]) {
        for key in keys {
            let Some(job) = self.state.find(key) else {
                continue;
            };
            if job.cancelled || job.open_tasks == 0 {
                continue;
            }
            let job = job.number;
            self.append_record(now, Record::Cancelled { job }, 0);
        }
    }

    fn close_jobs(&mut self, now: Millis) {
        while self.close_queue.front().is_some_and(|c| c.0 <= now) {
            let Some((_, job)) = self.close_queue.pop_front() else {
                return;
            };
            self.append_record(now, Record::Closed { job }, 0);
        }
    }

    /// Returns the index of a class, which is added if it is new.
    pub(super) fn class_index(&mut self, org: &Name, kind: &Name, service: bool) -> u16 {
        let found = self.classes_by_name.binary_search_by(|i| {
            let c = &self.classes[usize::from(*i)];
            (&c.org, &c.kind).cmp(&(org, kind))
        });
        let at = match found {
            Ok(at) => return self.classes_by_name[at],
            Err(at) => at,
        };
        let known = self.orgs.iter().find(|o| o.name == *org);
        let (weights, limits) =
            known.map_or((Weights::default(), None), |o| (o.weights, Some(&o.limits)));
        let hold = limits.map_or(0, |l: &OrgLimits| l.hold);
        let evictions = limits.map_or(0, |l| l.task_evictions);
        self.classes.push(TaskClass {
            org: org.clone(),
            kind: kind.clone(),
            service,
            weights,
            hold,
            max_evictions: evictions,
            peak_usage: Size::default(),
            done: 0,
            failed: 0,
        });
        self.interference.grow(self.classes.len());
        let new = (self.classes.len() - 1) as u16;
        self.classes_by_name.insert(at, new);
        new
    }

    /// Returns the index of a team, which is added if it is new.
    pub(super) fn team_index(&mut self, org: &Name, team: &Name, service: bool) -> u16 {
        let found = self.teams_by_name.binary_search_by(|i| {
            let t = &self.teams[usize::from(*i)];
            (&t.org, &t.team).cmp(&(org, team))
        });
        let at = match found {
            Ok(at) => return self.teams_by_name[at],
            Err(at) => at,
        };
        let count = u64::from(self.shard.count);
        let quota = self
            .orgs
            .iter()
            .find(|o| o.name == *org)
            .and_then(|o| o.team(team));
        let quota = quota.map(|t| t.quota.divide(count));
        self.teams.push(TeamUsage {
            org: org.clone(),
            team: team.clone(),
            used: Size::default(),
            quota: if service {
                None
            } else {
                Some(quota.unwrap_or_default())
            },
        });
        let new = (self.teams.len() - 1) as u16;
        self.teams_by_name.insert(at, new);
        new
    }
}
