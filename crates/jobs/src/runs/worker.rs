//! The state of one worker.

use std::sync::Arc;

use crate::{
    event::RunEnd,
    model::{ids::TaskId, incarnation::Incarnation, spec::Step},
    runs::{fencing::FIRST_GENERATION, orphan::Orphan, worker_info::WorkerInfo},
    settings::{Settings, lease_upper_bound},
    share::{own_load::OwnLoad, slack::Slack, spare_cpu::unused_cpu},
};

/// How long after it was sent an unanswered poll counts as evidence of a lost worker: the timeout
/// of a poll with the longest wait of a worker that has runs, and a late wake-up. A poll from
/// before a pause of the own process is no evidence.
const UNANSWERED_POLL_VALID_MS: u64 = 2000;

/// Time for which a task may run on lent capacity beyond the time at which it is due, in
/// milliseconds. With the time away and a start, it stays below the 6 s after which users count the
/// long-running task as lost.
const MAX_OVERRUN_MS: u64 = 1000;

/// Resources that a worker has or that a task requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// CPU in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Capacity {
    /// Adds another capacity.
    pub(crate) fn add(&mut self, other: Capacity) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Returns the capacity of `count` tasks of this size.
    pub(crate) fn times(self, count: u64) -> Capacity {
        Capacity {
            cpu: self.cpu * count,
            memory: self.memory * count,
            gpu: self.gpu * count,
        }
    }

    /// Returns the smaller amount of each resource.
    pub(crate) fn min(self, other: Capacity) -> Capacity {
        Capacity {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Returns the larger amount of each resource.
    pub(crate) fn max(self, other: Capacity) -> Capacity {
        Capacity {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns whether `other` fits in addition to what is `used`.
    pub(crate) fn has_room(&self, used: Capacity, other: Capacity) -> bool {
        self.cpu >= used.cpu + other.cpu
            && self.memory >= used.memory + other.memory
            && self.gpu >= used.gpu + other.gpu
    }

    /// Subtracts another capacity, saturating at zero.
    pub(crate) fn subtract(&mut self, other: Capacity) {
        self.cpu -= other.cpu.min(self.cpu);
        self.memory -= other.memory.min(self.memory);
        self.gpu -= other.gpu.min(self.gpu);
    }
}

/// One incarnation of a worker.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    /// Name of the worker, which other incarnations may share.
    pub(crate) id: Arc<str>,
    /// Start time, if the worker reports one.
    pub(crate) start_time: Option<u64>,
    /// Name of this incarnation.
    pub(crate) incarnation_name: Arc<str>,
    /// When this incarnation was first announced; 0 if it was not.
    pub(crate) announced_at: u64,
    /// Whether another incarnation may have replaced this one. No new run begins meanwhile.
    pub(crate) contested: bool,
    /// The announcement; `None` if only records name the worker.
    pub(crate) info: Option<WorkerInfo>,
    /// Whether the announcement still exists.
    pub(crate) announced: bool,
    /// Whether the availability zone is evacuated, so that no new run begins.
    pub(crate) evacuated: bool,
    /// Whether the incarnation has ended.
    pub(crate) dead: bool,
    /// Whether the worker is in the list of changed workers.
    pub(crate) changed: bool,
    /// The last reading of the worker's clock, and when it arrived on the local clock.
    pub(crate) clock: Option<(u64, u64)>,
    /// The latest end of a lease that was sent, on the worker's clock.
    pub(crate) granted_until: u64,
    /// When every lease from earlier owners has expired.
    pub(crate) prior_leases_end: u64,
    /// When every lease has expired that this incarnation may have taken from orders for an
    /// earlier one.
    pub(crate) misdirected_lease_end: u64,
    /// When every lease has expired that a later incarnation may have taken from orders for this
    /// one.
    pub(crate) successor_lease_end: u64,
    /// Generation of the next orders.
    pub(crate) generation: u32,
    /// Highest number of an end that was read.
    pub(crate) counted_end: u64,
    /// Ends up to it that wait to be counted, by their numbers.
    pub(crate) held_ends: Vec<RunEnd>,
    /// Highest number of an end whose count is durable.
    pub(crate) durable_end: u64,
    /// Lowest number of an end in the last report.
    pub(crate) first_end: Option<u64>,
    /// Whether a poll is in flight.
    pub(crate) poll_in_flight: bool,
    /// Whether the poll in flight lets the worker drop ends.
    pub(crate) poll_drops_ends: bool,
    /// Starts that wait for the answer to that poll, as task and number of the run.
    pub(crate) waiting_starts: Vec<(TaskId, u32)>,
    /// When the last poll was sent.
    pub(crate) polled_at: u64,
    /// Generation of the last poll.
    pub(crate) poll_generation: u32,
    /// Generation of the last poll that was answered.
    pub(crate) answered_generation: u32,
    /// Whether the last poll would change the state of a later incarnation that carried it out.
    pub(crate) poll_has_effect: bool,
    /// No poll is sent before this time.
    pub(crate) next_poll_at: u64,
    /// In how many milliseconds the first run counts as stalled, if it makes no progress.
    pub(crate) stall_due: Option<u64>,
    /// The time for which a timer was last set.
    pub(crate) timer_at: u64,
    /// Since when the worker has not answered.
    pub(crate) silent_since: Option<u64>,
    /// Whether the worker's machine has refused a connection since, so that the process has ended.
    pub(crate) process_ended: bool,
    /// Whether the crash was recorded for the tasks on the worker.
    pub(crate) crash_recorded: bool,
    /// When the last unanswered poll was sent.
    pub(crate) unanswered_poll: Option<u64>,
    /// When the worker began to leave.
    pub(crate) leaving_since: Option<u64>,
    /// Tasks with a run on the worker, sorted.
    pub(crate) runs: Vec<TaskId>,
    /// The suspect that runs here in isolation. No other run begins meanwhile.
    pub(crate) isolated_task: Option<TaskId>,
    /// Runs on the worker that are not wanted.
    pub(crate) orphans: Vec<Orphan>,
    /// Used capacity; `cpu` excludes best-effort tasks.
    pub(crate) used: Capacity,
    /// CPU that best-effort tasks request, in thousandths of a core.
    pub(crate) best_effort_cpu: u64,
    /// Number of serving tasks.
    pub(crate) serving_tasks: u32,
    /// Number of long-running tasks.
    pub(crate) long_running_tasks: u32,
    /// Capacity that long-running tasks use.
    pub(crate) long_running_size: Capacity,
    /// Capacity of long-running tasks that is lent to short work. Other long-running tasks don't
    /// take it.
    pub(crate) lent: Capacity,
    /// When the first of these tasks returns.
    pub(crate) lent_until: u64,
    /// Number of runs that failed or stalled since the last one that succeeded.
    pub(crate) failures: u32,
    /// When the last of them failed or stalled.
    pub(crate) failed_at: u64,
    /// Number of runs placed since then.
    pub(crate) probes: u32,
    /// When the last of them was placed.
    pub(crate) probed_at: u64,
    /// No new run is placed before this time.
    pub(crate) closed_until: u64,
    /// Average time of tasks in percent of their estimate.
    pub(crate) slowness: u64,
    /// CPU that serving tasks request, in thousandths of a core.
    pub(crate) serving_cpu: u64,
    /// CPU that serving tasks are expected to leave unused, in thousandths of a core.
    pub(crate) spare_cpu: u64,
    /// When reported metrics were last used.
    pub(crate) metrics_at: u64,
    /// Whether a tail latency was over its target then while a best-effort task ran.
    pub(crate) is_over_target: bool,
    /// Tracks the serving tasks' own load from the reported metrics.
    pub(crate) own_load: OwnLoad,
    /// The interference that serving tasks can still bear; `None` if it has to be computed again.
    pub(crate) slack: Option<Slack>,
}

impl Worker {
    pub(crate) fn new(incarnation: Incarnation, prior_leases_end: u64) -> Worker {
        Worker {
            incarnation_name: incarnation.name(),
            id: incarnation.id,
            start_time: incarnation.start_time,
            announced_at: 0,
            contested: false,
            info: None,
            announced: false,
            evacuated: false,
            dead: false,
            changed: false,
            clock: None,
            granted_until: 0,
            prior_leases_end,
            misdirected_lease_end: 0,
            successor_lease_end: 0,
            generation: FIRST_GENERATION,
            counted_end: 0,
            held_ends: Vec::new(),
            durable_end: 0,
            first_end: None,
            poll_in_flight: false,
            poll_drops_ends: false,
            waiting_starts: Vec::new(),
            polled_at: 0,
            poll_generation: 0,
            answered_generation: 0,
            poll_has_effect: false,
            next_poll_at: 0,
            stall_due: None,
            timer_at: 0,
            silent_since: None,
            process_ended: false,
            crash_recorded: false,
            unanswered_poll: None,
            leaving_since: None,
            runs: Vec::new(),
            isolated_task: None,
            orphans: Vec::new(),
            used: Capacity::default(),
            best_effort_cpu: 0,
            serving_tasks: 0,
            long_running_tasks: 0,
            long_running_size: Capacity::default(),
            lent: Capacity::default(),
            lent_until: 0,
            failures: 0,
            failed_at: 0,
            probes: 0,
            probed_at: 0,
            closed_until: 0,
            slowness: 100,
            serving_cpu: 0,
            spare_cpu: 0,
            metrics_at: 0,
            is_over_target: false,
            own_load: OwnLoad::default(),
            slack: None,
        }
    }

    /// Returns the total capacity; zero without an announcement.
    pub(crate) fn capacity(&self) -> Capacity {
        self.info.as_ref().map(|i| i.capacity).unwrap_or_default()
    }

    /// Returns whether more capacity is used than the worker has, after its capacity has shrunk.
    pub(crate) fn is_overcommitted(&self) -> bool {
        let (capacity, used) = (self.capacity(), self.used);
        used.cpu > capacity.cpu || used.memory > capacity.memory || used.gpu > capacity.gpu
    }

    /// Returns `cpu`, in thousandths of a core, as a share of the worker's CPU capacity.
    pub(crate) fn cpu_share(&self, cpu: u64) -> f64 {
        cpu as f64 / self.capacity().cpu.max(1) as f64
    }

    /// Records that no poll is in flight any more.
    pub(crate) fn end_poll(&mut self) {
        self.poll_in_flight = false;
        self.poll_drops_ends = false;
    }

    /// Returns whether new runs may be placed on the worker.
    pub(crate) fn accepts_runs(&self, now: u64) -> bool {
        self.is_available() && !self.contested && self.closed_until <= now
    }

    /// Returns whether the worker's capacity counts for its service. It may accept no runs for now.
    pub(crate) fn is_available(&self) -> bool {
        let ready = self.info.as_ref().is_some_and(|i| i.ready);
        ready && !self.evacuated && self.is_live()
    }

    /// Returns whether the worker is announced and answers.
    pub(crate) fn is_live(&self) -> bool {
        self.announced && !self.dead && self.silent_since.is_none() && self.clock.is_some()
    }

    /// Returns whether a suspect runs here in isolation.
    pub(crate) fn is_isolating(&self) -> bool {
        self.isolated_task.is_some() && self.is_live()
    }

    /// Returns whether orders may be sent: the worker has reported, and the incarnation has not
    /// ended.
    pub(crate) fn can_take_orders(&self) -> bool {
        !self.dead && self.info.is_some() && self.clock.is_some()
    }

    /// Returns the end of a lease that is granted now, on the worker's clock, or `None` if the
    /// last contact with the store was too long ago.
    ///
    /// The lease counts from the last reported reading of the worker's clock, so that a delayed
    /// order grants no more than its sender accounts for.
    pub(crate) fn deadline(&self, settings: &Settings, store_contact: u64) -> Option<u64> {
        let (reading, at) = self.clock?;
        let remaining = (store_contact + settings.store_grace).saturating_sub(at);
        (remaining > 0).then_some(reading + settings.lease.min(remaining))
    }

    /// Returns when every lease that any owner granted has expired, on the local clock.
    pub(crate) fn leases_end(&self) -> u64 {
        let others = self.prior_leases_end.max(self.misdirected_lease_end);
        let Some((reading, at)) = self.clock else {
            return others;
        };
        let remaining = self.granted_until.saturating_sub(reading);
        let own = at + lease_upper_bound(remaining);
        own.max(others)
    }

    /// Records the reading of the worker's clock in an answer.
    ///
    /// From its first answer on, the worker refuses orders of earlier owners. So a lease that
    /// they granted lasts at most one lease duration from that answer, and less if their last
    /// contact with the store was long ago.
    pub(crate) fn record_clock(&mut self, reading: u64, now: u64, settings: &Settings) {
        if self.clock.is_none() {
            let latest = now + lease_upper_bound(settings.lease);
            self.prior_leases_end = self.prior_leases_end.min(latest);
        }
        self.clock = Some((reading, now));
    }

    /// Returns whether the runs are lost without a report: all leases have expired, and a recent
    /// poll got no answer.
    ///
    /// Expired leases alone are not enough: a worker that the owner has not polled yet may report
    /// runs as done, and these would be started again. A worker that only records name can't be
    /// polled.
    pub(crate) fn is_lost(&self, now: u64) -> bool {
        let missed_recently = self
            .unanswered_poll
            .is_some_and(|at| now <= at + UNANSWERED_POLL_VALID_MS);
        let is_silent = self.silent_since.is_some() && missed_recently;
        let is_unannounced = self.info.is_none();
        (is_silent || is_unannounced) && now > self.leases_end()
    }

    /// Reserves capacity for a run of a step.
    pub(crate) fn reserve(&mut self, task: TaskId, step: &Step) {
        if let Err(at) = self.runs.binary_search(&task) {
            self.runs.insert(at, task);
        }
        self.slack = None;
        self.used.add(demand(step));
        self.best_effort_cpu += best_effort_cpu(step);
        self.serving_tasks += u32::from(step.latency_target > 0);
        if step.long_running {
            self.long_running_tasks += 1;
            self.long_running_size.add(demand(step));
        }
        self.serving_cpu += serving_cpu(step);
        self.spare_cpu += unused_cpu(step);
    }

    /// Releases the capacity of a run of a step.
    pub(crate) fn release(&mut self, task: TaskId, step: &Step) {
        let Ok(at) = self.runs.binary_search(&task) else {
            return;
        };
        self.runs.remove(at);
        self.slack = None;
        self.used.subtract(demand(step));
        self.best_effort_cpu -= best_effort_cpu(step).min(self.best_effort_cpu);
        self.serving_tasks -= u32::from(step.latency_target > 0).min(self.serving_tasks);
        if step.long_running {
            self.long_running_tasks -= self.long_running_tasks.min(1);
            self.long_running_size.subtract(demand(step));
        }
        self.serving_cpu -= serving_cpu(step).min(self.serving_cpu);
        self.spare_cpu -= unused_cpu(step).min(self.spare_cpu);
    }

    /// Records that capacity is lent until `due_at`.
    pub(crate) fn lend(&mut self, size: Capacity, due_at: u64) {
        self.lent_until = match self.lent == Capacity::default() {
            true => due_at,
            false => self.lent_until.min(due_at),
        };
        self.lent.add(size);
    }

    /// Returns whether a task of a step fits into what is neither used nor lent, but for what the
    /// step itself has lent. Where nothing is lent, this is not checked.
    pub(crate) fn has_room_beside_lent(&self, step: &Step, own: Capacity) -> bool {
        let mut taken = self.used;
        taken.add(self.lent);
        taken.subtract(own);
        let is_lent = self.lent != Capacity::default();
        !is_lent || self.capacity().has_room(taken, demand(step))
    }

    /// Returns whether a task of a step leaves lent capacity soon after it is due.
    pub(crate) fn is_back_in_time(&self, step: &Step, now: u64) -> bool {
        let is_late = now + step.estimate > self.lent_until + MAX_OVERRUN_MS;
        !is_late || self.has_room_beside_lent(step, Capacity::default())
    }

    /// Adds an orphan and reserves its capacity.
    pub(crate) fn add_orphan(&mut self, orphan: Orphan) {
        self.used.add(orphan.size);
        self.orphans.push(orphan);
    }

    /// Removes orphans that have ended and releases their capacity.
    pub(crate) fn drop_orphans(&mut self, is_gone: impl Fn(&Orphan) -> bool) {
        let mut at = 0;
        while at < self.orphans.len() {
            if !is_gone(&self.orphans[at]) {
                at += 1;
                continue;
            }
            let orphan = self.orphans.remove(at);
            self.used.subtract(orphan.size);
        }
    }
}

/// Returns the capacity that a task of a step uses. Best-effort tasks use no reserved CPU.
pub(crate) fn demand(step: &Step) -> Capacity {
    Capacity {
        cpu: if step.best_effort { 0 } else { step.cpu },
        memory: step.memory,
        gpu: step.gpu,
    }
}

fn serving_cpu(step: &Step) -> u64 {
    if step.latency_target > 0 { step.cpu } else { 0 }
}

fn best_effort_cpu(step: &Step) -> u64 {
    if step.best_effort { step.cpu } else { 0 }
}
