//! Decides which new jobs to accept, from the figures that the owner publishes.
//!
//! The load pattern is more callers than capacity: a burst, or workers that leave. A job that
//! can't be served in time fails late if it is accepted, and its caller learns too late to act on
//! it. So an instance refuses it at once and says when to come back.
//!
//! Limits: instances don't know what others accept until the owner's next figures, so a burst over
//! many instances is accepted beyond the capacity by what arrives within a second. A job that is sent
//! twice, or whose write fails, counts as accepted for that time. Accelerators are not counted.
//! Without recent figures, all jobs are accepted.

use gorsespur_jobs::{QueueFigures, Spec, WaitForecast};

/// Age from which figures count as unknown, in milliseconds. The owner writes them every 400 ms; an
/// owner that has missed three times may be gone, and jobs must not be refused for its load.
const MAX_AGE_MS: u64 = 1500;

/// Time between two reads of the figures, in milliseconds. The owner renews them every 400 ms.
/// After a failed read the last figures hold for a few further attempts.
const READ_PERIOD_MS: u64 = 300;

/// The same while jobs are far from being refused, in milliseconds.
const LONG_READ_PERIOD_MS: u64 = 1000;

/// Time until the owner's figures include a job accepted here, in milliseconds: it follows
/// accepted jobs, divides the capacity and renews the lease, one after another.
const SETTLE_MS: u64 = 1000;

/// Time after which a refused caller of a long-running job returns at the earliest, in
/// milliseconds. Capacity becomes free when another caller cancels such a job, so a caller that
/// returns every few seconds gets it soon after that.
const LONG_RUNNING_RETRY_MS: u64 = 2000;

/// A job that takes at most this part of the capacity, or waits for at most this part of its slack,
/// is clear of a refusal.
const CLEAR_PART: u64 = 4;

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// Short tasks would start too late.
    Short,
    /// Best-effort tasks would start too late.
    BestEffort,
    /// Others are entitled to the capacity that the long-running tasks would take.
    LongRunning,
}

impl Reason {
    /// Returns the name of the kind of work that can't be served.
    pub(crate) fn kind(self) -> &'static str {
        match self {
            Reason::Short => "short",
            Reason::BestEffort => "best-effort",
            Reason::LongRunning => "long-running",
        }
    }
}

/// What a job needs to be served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Needs {
    /// Whether it has short tasks.
    pub(crate) short: bool,
    /// Whether it has best-effort tasks.
    pub(crate) best_effort: bool,
    /// Whether it has long-running tasks; if so, only these decide, since they take capacity from
    /// others for as long as their callers like.
    pub(crate) long_running: bool,
    /// CPU that its long-running tasks reserve, in thousandths of a core.
    pub(crate) cpu: u64,
    /// Memory of its long-running tasks, in MB.
    pub(crate) memory: u64,
}

impl Needs {
    /// Returns what a job with this specification needs.
    pub(crate) fn of(spec: &Spec) -> Needs {
        let mut needs = Needs::default();
        for step in &spec.steps {
            if !step.long_running {
                needs.short |= !step.best_effort;
                needs.best_effort |= step.best_effort;
                continue;
            }
            // Callers choose these numbers freely.
            let count = u64::from(step.count);
            let cpu = if step.best_effort { 0 } else { step.cpu };
            needs.long_running = true;
            needs.cpu = needs.cpu.saturating_add(cpu.saturating_mul(count));
            needs.memory = needs
                .memory
                .saturating_add(step.memory.saturating_mul(count));
        }
        needs
    }
}

/// Whether a job is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It is accepted.
    Accept,
    /// It is accepted because nothing recent is known of its queue.
    Unknown,
    /// It is refused.
    Refuse(Refusal),
}

/// A refusal and what it is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Why the job is refused.
    pub(crate) reason: Reason,
    /// Time after which the caller may come back at the earliest, in milliseconds.
    pub(crate) earliest: u64,
    /// Expected wait of a new job, in milliseconds; 0 for a long-running one.
    pub(crate) wait: u64,
    /// CPU that was left for new long-running tasks, in thousandths of a core.
    pub(crate) cpu: u64,
    /// Memory that was left for new long-running tasks, in MB.
    pub(crate) memory: u64,
    /// Age of the figures, in milliseconds.
    pub(crate) age: u64,
}

/// Capacity for long-running tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Room {
    /// In thousandths of a core.
    cpu: u64,
    /// In MB.
    memory: u64,
}

impl Room {
    fn of(figures: &QueueFigures) -> Room {
        Room {
            cpu: figures.long_running_cpu,
            memory: figures.long_running_memory,
        }
    }

    fn min(self, other: Room) -> Room {
        Room {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
        }
    }

    fn minus(self, other: Room) -> Room {
        Room {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
        }
    }
}

/// What the owner told at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: u64,
    room: Room,
    /// What was accepted here before.
    admitted: Room,
}

/// What is left of a queue's figures after the jobs accepted here.
#[derive(Debug, Clone)]
struct QueueState {
    figures: QueueFigures,
    /// Sum of the long-running jobs accepted here since the first sample.
    admitted: Room,
    /// When a long-running job was last accepted here, in milliseconds; `None` if none was.
    admitted_at: Option<u64>,
    /// What the owner told since jobs were accepted that its figures may not include, oldest
    /// first.
    samples: Vec<Sample>,
}

/// The last attempt to read the figures.
#[derive(Debug, Clone, Copy)]
struct Read {
    at: u64,
    done: bool,
}

/// The figures that an instance knows, and what it has decided by them.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    read: Option<Read>,
    /// Version of the row that contains the figures.
    version: u64,
    /// When this version was first read, in milliseconds.
    first_read: u64,
    /// Sorted by queue.
    queues: Vec<QueueState>,
}

impl Admission {
    /// Returns whether the figures have to be read again before a decision about such a job.
    pub(crate) fn is_read_due(&self, now: u64, queue: &str, needs: &Needs) -> bool {
        let Some(read) = self.read else {
            return true;
        };
        let is_clear = self.state(queue).is_none_or(|s| s.is_clear(needs));
        let period = match read.done && is_clear {
            true => LONG_READ_PERIOD_MS,
            false => READ_PERIOD_MS,
        };
        now >= read.at + period
    }

    /// Records an attempt to read the figures.
    pub(crate) fn record_read(&mut self, now: u64, done: bool) {
        self.read = Some(Read { at: now, done });
    }

    /// Takes over the figures that were read in a version of their row.
    pub(crate) fn update(&mut self, now: u64, version: u64, figures: Vec<QueueFigures>) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.first_read = now;
        let mut queues = Vec::with_capacity(figures.len());
        for row in figures {
            let previous = self.state(&row.queue);
            queues.push(QueueState::next(previous, row, now));
        }
        queues.sort_by(|a, b| a.figures.queue.cmp(&b.figures.queue));
        self.queues = queues;
    }

    /// Decides about a job, and counts it as accepted if it is not refused.
    pub(crate) fn decide(&mut self, now: u64, queue: &str, needs: &Needs) -> Decision {
        let age = now.saturating_sub(self.first_read);
        if age > MAX_AGE_MS {
            return Decision::Unknown;
        }
        let Some(at) = self.position(queue) else {
            return Decision::Unknown;
        };
        let state = &mut self.queues[at];
        let Some(reason) = state.refusal(needs) else {
            state.admit(now, needs);
            return Decision::Accept;
        };
        let forecast = state.forecast(reason);
        Decision::Refuse(Refusal {
            reason,
            earliest: forecast.map_or(LONG_RUNNING_RETRY_MS, |f| f.retry_after),
            wait: forecast.map_or(0, |f| f.wait),
            cpu: state.figures.long_running_cpu,
            memory: state.figures.long_running_memory,
            age,
        })
    }

    fn state(&self, queue: &str) -> Option<&QueueState> {
        self.position(queue).map(|at| &self.queues[at])
    }

    fn position(&self, queue: &str) -> Option<usize> {
        let at = self
            .queues
            .binary_search_by(|s| (*s.figures.queue).cmp(queue));
        at.ok()
    }
}

impl QueueState {
    /// Returns the state with new figures.
    ///
    /// They may lack jobs accepted here in the last moment. So no more is left than an earlier
    /// figure less all that was accepted since: many small jobs don't take the same capacity twice.
    /// That figure is at most a moment old as well, so capacity that becomes free is seen soon,
    /// though jobs are accepted all the time.
    fn next(previous: Option<&QueueState>, mut figures: QueueFigures, now: u64) -> QueueState {
        let recent = previous.filter(|p| p.admitted_at.is_some_and(|at| now < at + SETTLE_MS));
        let (mut samples, admitted) = recent.map_or((Vec::new(), Room::default()), |r| {
            (r.samples.clone(), r.admitted)
        });
        let room = Room::of(&figures);
        samples.push(Sample {
            at: now,
            room,
            admitted,
        });
        let settled = samples.iter().rposition(|s| s.at + SETTLE_MS <= now);
        samples.drain(..settled.unwrap_or(0));
        let taken = admitted.minus(samples[0].admitted);
        let left = room.min(samples[0].room.minus(taken));
        (figures.long_running_cpu, figures.long_running_memory) = (left.cpu, left.memory);
        QueueState {
            figures,
            admitted,
            admitted_at: recent.and_then(|p| p.admitted_at),
            samples,
        }
    }

    fn refusal(&self, needs: &Needs) -> Option<Reason> {
        let figures = &self.figures;
        if needs.long_running {
            let fits = needs.cpu <= figures.long_running_cpu
                && needs.memory <= figures.long_running_memory;
            return (!fits).then_some(Reason::LongRunning);
        }
        if needs.short && figures.short.closed {
            return Some(Reason::Short);
        }
        let is_refused = needs.best_effort && figures.best_effort.closed;
        is_refused.then_some(Reason::BestEffort)
    }

    fn forecast(&self, reason: Reason) -> Option<&WaitForecast> {
        match reason {
            Reason::Short => Some(&self.figures.short),
            Reason::BestEffort => Some(&self.figures.best_effort),
            Reason::LongRunning => None,
        }
    }

    fn admit(&mut self, now: u64, needs: &Needs) {
        if !needs.long_running {
            return;
        }
        self.figures.long_running_cpu -= needs.cpu;
        self.figures.long_running_memory -= needs.memory;
        self.admitted.cpu += needs.cpu;
        self.admitted.memory += needs.memory;
        self.admitted_at = Some(now);
    }

    /// Returns whether such a job is far from being refused, so that older figures will do.
    fn is_clear(&self, needs: &Needs) -> bool {
        let figures = &self.figures;
        if needs.long_running {
            return needs.cpu <= figures.long_running_cpu / CLEAR_PART
                && needs.memory <= figures.long_running_memory / CLEAR_PART;
        }
        let is_clear = |f: &WaitForecast| !f.closed && f.wait <= f.slack / CLEAR_PART;
        (!needs.short || is_clear(&figures.short))
            && (!needs.best_effort || is_clear(&figures.best_effort))
    }
}
