//! What is known of one worker.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    model::{ids::TaskId, incarnation::Incarnation, spec::Step},
    runs::{late_start::LateStart, orphan::Orphan},
    settings::{Settings, lease_upper_bound},
    share::{own_load::OwnLoad, slack::Slack, spare_cpu::unused_cpu},
};

/// A look without an answer tells something for this long after it was sent, in
/// milliseconds: its time limit with the longest wait of a worker that has runs, and a
/// late wake-up. One from before a pause of the process tells nothing.
const UNANSWERED_POLL_VALID_MS: u64 = 2000;

/// What a worker can hold, or a task asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Capacity {
    /// Adds another one.
    pub(crate) fn add(&mut self, other: Capacity) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Tells whether it has room for another one beside what is `used` of it.
    pub(crate) fn has_room(&self, used: Capacity, other: Capacity) -> bool {
        self.cpu >= used.cpu + other.cpu
            && self.memory >= used.memory + other.memory
            && self.gpu >= used.gpu + other.gpu
    }

    /// Takes another one off; stops at zero.
    pub(crate) fn subtract(&mut self, other: Capacity) {
        self.cpu -= other.cpu.min(self.cpu);
        self.memory -= other.memory.min(self.memory);
        self.gpu -= other.gpu.min(self.gpu);
    }
}

/// What a worker announces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Its name; other lives may have the same one if they say when they began.
    pub id: Arc<str>,
    /// When this life began, in milliseconds since 1970, if it says so.
    pub start_time: Option<u64>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its labels.
    pub labels: Vec<Arc<str>>,
    /// Its rack.
    pub rack: Arc<str>,
    /// What it can hold.
    pub capacity: Capacity,
    /// Whether it takes new work; else it is about to leave.
    pub ready: bool,
    /// While it leaves: milliseconds until everything on it dies, at least.
    pub remaining_ms: u64,
}

/// A worker in one of its lives.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    /// Its name, which it may share with other lives.
    pub(crate) id: Arc<str>,
    /// When this life began, if it says so.
    pub(crate) start_time: Option<u64>,
    /// This life's own name.
    pub(crate) incarnation_name: Arc<str>,
    /// When this life was first announced; 0 if it was not.
    pub(crate) registered_at: u64,
    /// Whether another life of its name may be there instead: nothing new begins meanwhile.
    pub(crate) contested: bool,
    /// What it announced; nothing if only records name it.
    pub(crate) info: Option<WorkerInfo>,
    /// Whether its announcement is still there.
    pub(crate) registered: bool,
    /// Whether its availability zone is evacuated: it gets nothing new.
    pub(crate) evacuated: bool,
    /// Whether its life has ended.
    pub(crate) dead: bool,
    /// Whether it is among those that changed.
    pub(crate) changed: bool,
    /// Its clock's last reading and when that arrived.
    pub(crate) clock: Option<(u64, u64)>,
    /// The latest end of a lease that was sent, on its clock.
    pub(crate) granted_until: u64,
    /// When leases of earlier owners are over on it.
    pub(crate) prior_leases_end: u64,
    /// When leases are over that it took from orders meant for an earlier life.
    pub(crate) misdirected_lease_end: u64,
    /// When leases are over that a later life of its name may have taken from orders for this
    /// one.
    pub(crate) successor_lease_end: u64,
    /// Highest end that was counted.
    pub(crate) counted_end: u64,
    /// Highest end whose count is durable.
    pub(crate) durable_end: u64,
    /// The first end that it listed last.
    pub(crate) first_end: Option<u64>,
    /// Whether a look is under way.
    pub(crate) poll_in_flight: bool,
    /// When the last look was sent.
    pub(crate) polled_at: u64,
    /// No look before this time.
    pub(crate) next_poll_at: u64,
    /// In how many milliseconds a run here has stood still for too long, if none moves.
    pub(crate) stall_due: Option<u64>,
    /// The latest time for which a reminder is set.
    pub(crate) timer_at: u64,
    /// Since when it has not answered.
    pub(crate) silent_since: Option<u64>,
    /// Whether its machine has refused a connection since: its process has ended.
    pub(crate) process_ended: bool,
    /// Whether that was taken note of for the tasks there.
    pub(crate) crash_recorded: bool,
    /// When the last look was sent that got no answer.
    pub(crate) unanswered_poll: Option<u64>,
    /// When it began to leave.
    pub(crate) leaving_since: Option<u64>,
    /// Runs on it, sorted.
    pub(crate) runs: Vec<TaskId>,
    /// The suspect that runs on it apart: nothing else begins there meanwhile.
    pub(crate) isolated_task: Option<TaskId>,
    /// Runs on it that nobody wants.
    pub(crate) orphans: Vec<Orphan>,
    /// Starts that may still be carried out, by this life or the next, whose runs were given up.
    pub(crate) late_starts: Vec<LateStart>,
    /// Room that is taken; `cpu` without tasks that fill.
    pub(crate) used: Capacity,
    /// Thousandths of a core that its filling tasks ask for.
    pub(crate) best_effort_cpu: u64,
    /// Tasks on it that serve under a target.
    pub(crate) serving_tasks: u32,
    /// Tasks on it that last.
    pub(crate) long_running_tasks: u32,
    /// Room that these take up.
    pub(crate) long_running_size: Capacity,
    /// Runs that failed or hung on it since one did well.
    pub(crate) failures: u32,
    /// When the last of them did.
    pub(crate) failed_at: u64,
    /// Runs placed on it since then.
    pub(crate) probes: u32,
    /// When the last of these was placed.
    pub(crate) probed_at: u64,
    /// No new runs before this time.
    pub(crate) closed_until: u64,
    /// Time that its tasks take against their estimate, in percent, averaged.
    pub(crate) slowness: u64,
    /// Thousandths of a core that its serving tasks ask for.
    pub(crate) serving_cpu: u64,
    /// Thousandths of a core that its serving tasks are thought to leave.
    pub(crate) spare_cpu: u64,
    /// When its figures were last used.
    pub(crate) metrics_at: u64,
    /// Whether a tail on it was over its target then, and something filled.
    pub(crate) is_over_target: bool,
    /// What its figures tell of the load of what serves there.
    pub(crate) own_load: OwnLoad,
    /// What its serving tasks bear; nothing if that has to be worked out anew.
    pub(crate) slack: Option<Slack>,
}

impl Worker {
    pub(crate) fn new(incarnation: Incarnation, prior_leases_end: u64) -> Worker {
        Worker {
            incarnation_name: incarnation.name(),
            id: incarnation.id,
            start_time: incarnation.start_time,
            registered_at: 0,
            contested: false,
            info: None,
            registered: false,
            evacuated: false,
            dead: false,
            changed: false,
            clock: None,
            granted_until: 0,
            prior_leases_end,
            misdirected_lease_end: 0,
            successor_lease_end: 0,
            counted_end: 0,
            durable_end: 0,
            first_end: None,
            poll_in_flight: false,
            polled_at: 0,
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
            late_starts: Vec::new(),
            used: Capacity::default(),
            best_effort_cpu: 0,
            serving_tasks: 0,
            long_running_tasks: 0,
            long_running_size: Capacity::default(),
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

    /// Returns what it can hold.
    pub(crate) fn capacity(&self) -> Capacity {
        self.info.as_ref().map(|i| i.capacity).unwrap_or_default()
    }

    /// Tells whether it has more than it can hold, since its room has shrunk.
    pub(crate) fn is_overcommitted(&self) -> bool {
        let (capacity, used) = (self.capacity(), self.used);
        used.cpu > capacity.cpu || used.memory > capacity.memory || used.gpu > capacity.gpu
    }

    /// Returns what share of its processors so many thousandths of a core are.
    pub(crate) fn cpu_share(&self, cpu: u64) -> f64 {
        cpu as f64 / self.capacity().cpu.max(1) as f64
    }

    /// Tells whether new runs may be placed here.
    pub(crate) fn accepts_runs(&self, now: u64) -> bool {
        let ready = self.info.as_ref().is_some_and(|i| i.ready);
        ready && !self.evacuated && !self.contested && self.is_live() && self.closed_until <= now
    }

    /// Tells whether it is listed and answers.
    pub(crate) fn is_live(&self) -> bool {
        self.registered && !self.dead && self.silent_since.is_none() && self.clock.is_some()
    }

    /// Tells whether a suspect runs on it apart.
    pub(crate) fn is_isolating(&self) -> bool {
        self.isolated_task.is_some() && self.is_live()
    }

    /// Tells whether it may be sent orders: it has been heard, and its life has not ended.
    pub(crate) fn can_take_orders(&self) -> bool {
        !self.dead && self.info.is_some() && self.clock.is_some()
    }

    /// Returns the end of a lease that is granted now, on the worker's clock, by an owner
    /// with this last contact with the store; nothing if that was too long ago.
    ///
    /// It counts from a reading of that clock that is already past, so that a
    /// delayed order grants no more than its sender knows of.
    pub(crate) fn deadline(&self, settings: &Settings, store_contact: u64) -> Option<u64> {
        let (reading, at) = self.clock?;
        let remaining = (store_contact + settings.store_grace).saturating_sub(at);
        (remaining > 0).then_some(reading + settings.lease.min(remaining))
    }

    /// Returns when every lease that any owner granted here is over, on our clock.
    pub(crate) fn leases_end(&self) -> u64 {
        let others = self.prior_leases_end.max(self.misdirected_lease_end);
        let Some((reading, at)) = self.clock else {
            return others;
        };
        let remaining = self.granted_until.saturating_sub(reading);
        let own = at + lease_upper_bound(remaining);
        own.max(others)
    }

    /// Takes note of an answer that showed `reading` on its clock.
    ///
    /// From the first one on it refuses earlier owners; what they granted before is a lease
    /// from then on at the most. An owner whose last contact with the store is long past
    /// promises less than that.
    pub(crate) fn note_clock(&mut self, reading: u64, now: u64, settings: &Settings) {
        if self.clock.is_none() {
            let latest = now + lease_upper_bound(settings.lease);
            self.prior_leases_end = self.prior_leases_end.min(latest);
        }
        self.clock = Some((reading, now));
    }

    /// Tells whether its runs are over without its word: its life's leases are, and it was
    /// asked just before and gave no answer.
    ///
    /// Time alone tells nothing: a worker that an owner had not asked yet listed runs
    /// that were done, and these were started again. One that only records name can't
    /// be asked.
    pub(crate) fn is_lost(&self, now: u64) -> bool {
        let is_unanswered = self
            .unanswered_poll
            .is_some_and(|at| now <= at + UNANSWERED_POLL_VALID_MS);
        let is_silent = self.silent_since.is_some() && is_unanswered;
        let is_unannounced = self.info.is_none();
        (is_silent || is_unannounced) && now > self.leases_end()
    }

    /// Takes up room for a run of a step.
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

    /// Gives back the room of a run of a step.
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

    /// Takes up room for a run that is not wanted.
    pub(crate) fn add_orphan(&mut self, orphan: Orphan) {
        self.used.add(orphan.size);
        self.orphans.push(orphan);
    }

    /// Gives back the room of runs that are not wanted and gone.
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

/// Returns the room that a task of a step takes up.
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
