//! The state of the scheduler and the handling of events.

use std::sync::Arc;

use crate::{
    action::Action,
    cancels::EarlyCancels,
    entitlement::Entitlements,
    event::{Answer, Event, Paced, Started, Stopped},
    lending::Lender,
    model::{
        changes::RowNumber,
        ids::{JobId, TaskId},
        job::JobState,
        record::{Outcome, Record, RecordError},
        spec::Job,
    },
    order::estimates::EstimateModel,
    place::{
        aging::Aging, reservation::Reservation, start_window::StartWindow, starvation::StarvedJob,
    },
    queues::Queues,
    runs::{evidence::UnsettledCrashes, fleet::Fleet, log::Log},
    settings::Settings,
    share::{images::Images, interference::Interference, seasonality::Seasonality},
    sorted_map::SortedMap,
    stats::Stats,
    takeover::Takeover,
};

/// Work that waits for the batch in flight to the store.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    /// Runs whose placement the batch makes durable.
    pub(crate) starts: Vec<(TaskId, u32)>,
    /// Ends that the batch makes durable, as slot of the worker and highest number.
    pub(crate) observed: Vec<(u32, u64)>,
    /// Number of the first row that the batch appends to the log.
    pub(crate) first_row: RowNumber,
    /// Jobs with a row of their own.
    pub(crate) own_rows: Vec<JobId>,
}

/// The state machine that schedules all jobs. Only the owner of the lease on the jobs runs it.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) jobs: SortedMap<JobId, JobState>,
    /// Jobs that are not finished, in the order of placement.
    pub(crate) open_jobs: Vec<JobId>,
    /// Jobs with repetitions that are not due yet.
    pub(crate) scheduled: Vec<JobId>,
    /// Tasks that may crash their workers, sorted.
    pub(crate) suspects: Vec<TaskId>,
    /// Crashes that may still be confirmed or withdrawn.
    pub(crate) unsettled_crashes: UnsettledCrashes,
    /// Tasks whose run is to be stopped, until the run has ended.
    pub(crate) stopping: Vec<TaskId>,
    /// Tasks whose run may have a pace other than the wanted one.
    pub(crate) pacing: Vec<TaskId>,
    /// Workers with counted ends that are not durable yet.
    pub(crate) workers_with_ends: Vec<u32>,
    /// Workers with ends that wait to be counted.
    pub(crate) holding_workers: Vec<u32>,
    /// Limits the number of starts in flight.
    pub(crate) window: StartWindow,
    /// Number of jobs at the end of `open_jobs` that can't meet their objective.
    pub(crate) late_jobs: usize,
    /// Workers reserved for tasks that have waited for long.
    pub(crate) reservations: Vec<Reservation>,
    /// When a worker to reserve for a starved job was last searched for.
    pub(crate) last_search: u64,
    /// Late jobs that have had no run for long.
    pub(crate) aging: Aging,
    /// Jobs that were starved when this was last checked, sorted.
    pub(crate) starved_jobs: Vec<StarvedJob>,
    /// Cancellations of jobs that are not known.
    pub(crate) early_cancels: EarlyCancels,
    /// Jobs whose records changed.
    pub(crate) dirty_jobs: Vec<JobId>,
    pub(crate) fleet: Fleet,
    pub(crate) queues: Queues,
    /// What each queue is entitled to.
    pub(crate) entitlements: Entitlements,
    /// The long-running tasks that pause for short work.
    pub(crate) lender: Lender,
    pub(crate) interference: Interference,
    /// The common seasonality of the loads of serving steps.
    pub(crate) seasonality: Seasonality,
    /// Models that correct the callers' estimates, by queue.
    pub(crate) estimates: SortedMap<Arc<str>, EstimateModel>,
    /// Numbers of images.
    pub(crate) images: Images,
    /// The batch in flight, if there is one.
    pub(crate) in_flight: Option<InFlight>,
    /// The log of changes to tasks.
    pub(crate) log: Log,
    /// When the last request was sent that the store answered by confirming the lease on the
    /// jobs.
    pub(crate) store_contact: u64,
    /// Whether something changed that may allow tasks to be placed.
    pub(crate) placement_due: bool,
    /// When placement last ran.
    pub(crate) last_placement: u64,
    /// When all runs were last checked.
    pub(crate) last_check: u64,
    /// When the interference model was last fitted.
    pub(crate) last_fit: u64,
    /// When the load was last logged.
    pub(crate) last_load_log: u64,
    pub(crate) now: u64,
    pub(crate) wall_clock: u64,
    pub(crate) actions: Vec<Action>,
    pub(crate) stats: Stats,
}

impl Scheduler {
    /// Creates a scheduler at `now` on the local monotonic clock, in milliseconds.
    pub fn new(settings: Settings, now: u64, takeover: Takeover) -> Scheduler {
        let fleet = Fleet::new(takeover.prior_leases_end);
        Scheduler {
            settings,
            jobs: SortedMap::default(),
            open_jobs: Vec::new(),
            scheduled: Vec::new(),
            suspects: Vec::new(),
            unsettled_crashes: UnsettledCrashes::default(),
            stopping: Vec::new(),
            pacing: Vec::new(),
            workers_with_ends: Vec::new(),
            holding_workers: Vec::new(),
            window: StartWindow::default(),
            late_jobs: 0,
            reservations: Vec::new(),
            last_search: 0,
            aging: Aging::default(),
            starved_jobs: Vec::new(),
            early_cancels: EarlyCancels::default(),
            dirty_jobs: Vec::new(),
            fleet,
            queues: Queues::default(),
            entitlements: Entitlements::default(),
            lender: Lender::new(now),
            interference: Interference::default(),
            seasonality: Seasonality::default(),
            estimates: SortedMap::default(),
            images: Images::default(),
            in_flight: None,
            log: Log::default(),
            store_contact: takeover.asked_at,
            placement_due: true,
            last_placement: 0,
            last_check: 0,
            last_fit: 0,
            last_load_log: 0,
            now,
            wall_clock: 0,
            actions: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// Replays the next row of the log that earlier owners wrote, oldest first. All rows have to
    /// be replayed before [`Scheduler::current_record`] and [`Scheduler::restore`] are called.
    ///
    /// Fails if the row can't be decoded; its changes are lost.
    pub fn replay(&mut self, row: &[u8]) -> Result<(), RecordError> {
        self.log.replay(row)
    }

    /// Returns the record of a job, updated from the log, or `None` if earlier owners wrote
    /// nothing about the job.
    pub fn current_record(&self, id: JobId, record: Option<Record>) -> Option<Record> {
        self.log.current_record(id, record)
    }

    /// Restores a job of earlier owners from its record, which [`Scheduler::current_record`]
    /// returned.
    pub fn restore(&mut self, job: Arc<Job>, record: &Record) {
        let job = job.within_bounds();
        let id = job.id;
        let images = match record.outcome.is_final() {
            true => vec![0; job.spec.steps.len()],
            false => self.acquire_images(&job.spec),
        };
        let mut state = JobState::new(job, images, self.now);
        let replayed = self.log.take_replayed(id);
        let mut is_logged = true;
        if !record.outcome.is_final() {
            let fleet = &mut self.fleet;
            state.restore(record, |name| fleet.slot(name));
            is_logged = state.mark_logged(replayed);
            self.open_jobs.push(id);
            self.scheduled.push(id);
        }
        (state.outcome, state.written_outcome) = (record.outcome, record.outcome);
        let mut suspects = Vec::new();
        for id in state.task_ids() {
            let Some(task) = state.task(id) else {
                continue;
            };
            if task.crashes.is_suspect() {
                suspects.push(id);
            }
            let Some(run) = &task.run else {
                continue;
            };
            let step = &state.job.spec.steps[id.step as usize];
            let worker = self.fleet.get_mut(run.worker);
            worker.reserve(id, step);
            // The earlier owner may have sent the start just before the takeover.
            worker.record_lease_order(self.now, &self.settings);
            // After power failures, other suspects may run on the same worker.
            if task.crashes.is_likely_cause() {
                worker.isolated_task = Some(id);
            }
        }
        self.restore_crashes(&state);
        self.jobs.insert(id, state);
        for id in suspects {
            self.add_suspect(id);
        }
        // A record of an earlier version holds tasks. They have to be in the log before the
        // record is replaced.
        if !is_logged {
            self.mark_dirty(id);
        }
    }

    /// Handles an event at `now` on the local monotonic clock and `wall_clock` since the Unix
    /// epoch, both in milliseconds. The caller calls [`Scheduler::decide`] after one or more
    /// events.
    pub fn handle(&mut self, now: u64, wall_clock: u64, event: Event) {
        self.now = now.max(self.now);
        self.wall_clock = wall_clock;
        match event {
            Event::Accepted(job) => self.handle_accepted(job),
            Event::Cancelled(job) => self.handle_cancelled(job),
            Event::WorkerUpdated(info) => {
                self.placement_due |= self.fleet.update_announcement(info, self.now)
            }
            Event::Evacuated(zones) => {
                self.fleet.evacuate(zones);
                self.placement_due = true;
            }
            Event::WorkersSynced { asked_at } => self.fleet.record_sync(asked_at),
            Event::WorkerRemoved(id) => self.fleet.remove_announcement(&id),
            Event::Queues(policies) => self.configure_queues(policies),
            Event::AcceptedUnder(policy) => self.add_accepted_policy(policy),
            Event::Answer {
                worker,
                generation,
                sent,
                answer,
            } => self.handle_answer(worker, generation, sent, answer),
            Event::Committed { asked_at } => {
                self.handle_renewed(asked_at);
                self.handle_committed();
            }
            Event::RowsRejected(rows) => self.handle_rejected_rows(&rows),
            Event::Renewed { asked_at } => self.handle_renewed(asked_at),
        }
    }

    /// Does all the work that is due and returns the resulting actions. The times are those of
    /// [`Scheduler::handle`].
    pub fn decide(&mut self, now: u64, wall_clock: u64) -> Vec<Action> {
        self.now = now.max(self.now);
        self.wall_clock = wall_clock;
        self.drive();
        std::mem::take(&mut self.actions)
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> Stats {
        Stats {
            open_jobs: self.open_jobs.len() as u64,
            tasks: self.jobs.iter().map(|(_, j)| j.task_count()).sum(),
            workers_age_ms: self.fleet.age(self.now),
            unverified_runs: self.unverified_runs(),
            ..self.stats
        }
    }

    /// Returns the number of jobs by queue of which no task has begun.
    pub fn pending_jobs(&self) -> Vec<(Arc<str>, u64)> {
        let mut counts: SortedMap<Arc<str>, u64> = SortedMap::default();
        for id in &self.open_jobs {
            let Some(state) = self.jobs.get(id) else {
                continue;
            };
            if state.outcome != Outcome::Pending {
                continue;
            }
            let queue = &state.job.queue;
            *counts.or_default(queue) += 1;
        }
        counts.iter().map(|(q, n)| (q.clone(), *n)).collect()
    }

    /// Returns the address and the name of a worker.
    pub fn worker_address(&self, slot: u32) -> Option<(std::net::SocketAddr, Arc<str>)> {
        let worker = self.fleet.workers.get(slot as usize)?;
        worker.info.as_ref().map(|i| (i.addr, worker.id.clone()))
    }

    /// Returns whether the scheduler has the job.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some()
    }

    /// Records that the store confirmed the lease on the jobs.
    ///
    /// The lease counts from the time of the request: another instance takes the jobs over by
    /// the store's clock, however late this instance reads the answer.
    fn handle_renewed(&mut self, asked_at: u64) {
        self.store_contact = self.store_contact.max(asked_at);
    }

    fn handle_accepted(&mut self, job: Arc<Job>) {
        let id = job.id;
        if self.has_job(id) {
            return;
        }
        let job = job.within_bounds();
        log::info!(job = id.to_string().as_str(), queue = &*job.queue, chain = job.spec.critical_path(); "jobs: taken up");
        let images = self.acquire_images(&job.spec);
        self.jobs.insert(id, JobState::new(job, images, self.now));
        self.open_jobs.push(id);
        self.scheduled.push(id);
        self.placement_due = true;
        if self.early_cancels.take(id) {
            log::info!(job = id.to_string().as_str(); "jobs: cancelled before it arrived");
            self.end_job(id, Outcome::Cancelled);
        }
    }

    fn handle_answer(&mut self, worker: u32, generation: u32, sent: u64, answer: Answer) {
        self.apply_answer(worker, generation, sent, answer);
        self.send_waiting_starts(worker);
    }

    fn apply_answer(&mut self, worker: u32, generation: u32, sent: u64, answer: Answer) {
        match answer {
            Answer::Report(report) => self.handle_report(worker, generation, sent, report),
            Answer::NoReply => self.handle_no_reply(worker, sent),
            Answer::ConnectionRefused => {
                self.handle_no_reply(worker, sent);
                self.fleet.get_mut(worker).process_ended = true;
            }
            Answer::Fenced => self.handle_fenced_poll(worker, generation),
            Answer::Dead => self.worker_lost(worker),
            Answer::Started(task, run, Started::Fenced) => {
                self.handle_fenced_start(worker, generation, task, run)
            }
            Answer::Started(task, run, started) => {
                if started == Started::Unknown {
                    self.fence_off(worker, generation);
                }
                self.handle_started(worker, task, run, started)
            }
            Answer::Stopped(task, run, stopped) => {
                if stopped == Stopped::Fenced {
                    self.handle_fenced(worker, generation);
                }
                self.handle_stopped(worker, task, run, stopped)
            }
            Answer::Paced(task, run, paced) => {
                // A pace that is set later would undo newer ones.
                if paced == Paced::Unknown {
                    self.fence_off(worker, generation);
                }
                self.handle_paced(worker, task, run, paced == Paced::Done)
            }
        }
    }
}
