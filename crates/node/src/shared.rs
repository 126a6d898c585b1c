//! State that the threads of a node share.

use std::{
    fmt,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use gorsespur_runtime::clock::Clock;

use crate::{
    admission_control::AdmissionControl,
    census::Census,
    config::Config,
    heartbeat::Heartbeat,
    long_poll,
    metrics::{Duty, Metrics},
    protocol::Protocol,
    settings::NodeSettings,
    store::{DutyStore, Store},
};

/// Pause after a failed call to the store before another request may probe it, in milliseconds.
const PROBE_PAUSE_MS: u64 = 1000;

/// Permission to call the store, returned when dropped.
pub(crate) struct StorePermit<'a> {
    probing: Option<&'a AtomicBool>,
}

impl Drop for StorePermit<'_> {
    fn drop(&mut self) {
        if let Some(probing) = self.probing {
            probing.store(false, Ordering::SeqCst);
        }
    }
}

/// The evacuated availability zones.
#[derive(Debug, Default)]
struct Evacuated {
    /// Store version up to which changes have been read.
    version: u64,
    /// Names of the zones, sorted.
    zones: Arc<[Arc<str>]>,
}

/// State that the threads of a node share.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    store: Box<dyn Store>,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    config: Mutex<Option<Arc<Config>>>,
    evacuated: Mutex<Evacuated>,
    /// The counts of instances from this instance's last time as the owner.
    census: Mutex<Option<Census>>,
    /// What is known of the jobs that can be served.
    pub(crate) admission: AdmissionControl,
    /// Held while a request reads the whole configuration.
    pub(crate) config_read: Mutex<()>,
    /// When the store last answered, in milliseconds.
    answered_at: AtomicU64,
    /// Longest time between answers of a reachable store, in milliseconds.
    max_silence: AtomicU64,
    /// How long the store took for its last answer to a call for a request, in milliseconds.
    answer_ms: AtomicU64,
    /// When a call to the store last failed, in milliseconds.
    failed_at: AtomicU64,
    /// When the store was asked for the last renewal of this instance's lease, in milliseconds.
    renewed_at: AtomicU64,
    /// The highest epoch of an owner that sent a sign of life.
    heard_epoch: AtomicU64,
    /// When that owner is known to have held the lease, in milliseconds.
    heard_at: AtomicU64,
    /// Whether a request is probing an unreachable store.
    probing: AtomicBool,
    /// Whether the process is stopping.
    pub(crate) leaving: AtomicBool,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("Shared");
        out.field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Shared {
    pub(crate) fn new(
        settings: NodeSettings,
        store: Box<dyn Store>,
        protocol: Box<dyn Protocol>,
    ) -> Shared {
        let wait = long_poll::wait(settings.apply);
        let shared = Shared {
            settings,
            store,
            protocol,
            clock: Clock::new(),
            metrics: Metrics::default(),
            config: Mutex::new(None),
            evacuated: Mutex::default(),
            census: Mutex::default(),
            admission: AdmissionControl::default(),
            config_read: Mutex::new(()),
            answered_at: AtomicU64::new(0),
            answer_ms: AtomicU64::new(0),
            max_silence: AtomicU64::new(0),
            failed_at: AtomicU64::new(0),
            renewed_at: AtomicU64::new(0),
            heard_epoch: AtomicU64::new(0),
            heard_at: AtomicU64::new(0),
            probing: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        };
        shared.set_poll_wait(wait);
        shared
    }

    /// Sets the longest wait of long polls, from which the longest silence of a reachable store
    /// follows.
    pub(crate) fn set_poll_wait(&self, wait: Duration) {
        let silence = long_poll::max_silence(wait).as_millis() as u64;
        self.max_silence.store(silence, Ordering::Relaxed);
    }

    /// Returns the wait of long polls for the configuration.
    pub(crate) fn config_wait(&self) -> Duration {
        long_poll::wait(self.settings.apply)
    }

    /// Returns the store, with calls counted under `duty`.
    pub(crate) fn store(&self, duty: Duty) -> DutyStore<'_> {
        DutyStore::new(&*self.store, self.metrics.traffic(duty))
    }

    /// Returns the configuration in force, if one has been read.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.clone()
    }

    /// Puts a configuration in force unless it is older than, or the same as, the current one.
    pub(crate) fn apply_config(&self, new: Config) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if config.as_ref().is_some_and(|c| c.version >= new.version) {
            return;
        }
        log::info!(version = new.version, queues = new.queues.len(); "config: in force");
        *config = Some(Arc::new(new));
    }

    /// Returns the store version up to which changes of the configuration's table have been read;
    /// `None` if it was never read.
    pub(crate) fn config_version(&self) -> Option<u64> {
        let evacuated = self.evacuated.lock();
        let version = evacuated.unwrap_or_else(PoisonError::into_inner).version;
        (version > 0).then_some(version)
    }

    /// Returns the evacuated availability zones, sorted.
    pub(crate) fn evacuated(&self) -> Arc<[Arc<str>]> {
        let evacuated = self.evacuated.lock();
        evacuated
            .unwrap_or_else(PoisonError::into_inner)
            .zones
            .clone()
    }

    /// Updates the evacuated zones, as of a version of the store.
    ///
    /// Two threads read them, so an update older than the current state is ignored.
    pub(crate) fn update_evacuated(&self, version: u64, change: impl FnOnce(&mut Vec<Arc<str>>)) {
        let evacuated = self.evacuated.lock();
        let mut evacuated = evacuated.unwrap_or_else(PoisonError::into_inner);
        if version < evacuated.version {
            return;
        }
        evacuated.version = version;
        let mut zones = evacuated.zones.to_vec();
        change(&mut zones);
        if *zones == *evacuated.zones {
            return;
        }
        log::info!(version, zones = zones.join(",").as_str(); "zones: evacuated");
        evacuated.zones = zones.into();
    }

    /// Returns the counts of instances, if this instance has counted them.
    pub(crate) fn census(&self) -> Option<Census> {
        *self.census.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the counts of instances.
    pub(crate) fn set_census(&self, census: Census) {
        *self.census.lock().unwrap_or_else(PoisonError::into_inner) = Some(census);
    }

    /// Records that the store has renewed this instance's lease, for which it was asked at
    /// `asked_at`.
    pub(crate) fn record_renewal(&self, asked_at: u64) {
        self.renewed_at.store(asked_at, Ordering::Relaxed);
    }

    /// Returns when the store was asked for the last renewal of this instance's lease, in
    /// milliseconds.
    pub(crate) fn renewed_at(&self) -> u64 {
        self.renewed_at.load(Ordering::Relaxed)
    }

    /// Records a sign of life of an owner, unless a later owner was heard of. Only the receiving
    /// thread calls this.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat) {
        if heartbeat.epoch < self.heard_epoch.load(Ordering::Relaxed) {
            return;
        }
        self.heard_epoch.store(heartbeat.epoch, Ordering::Relaxed);
        let renewed_at = self.clock.now().saturating_sub(heartbeat.age);
        self.heard_at.fetch_max(renewed_at, Ordering::Relaxed);
    }

    /// Returns when an owner is known to have held the lease by its signs of life, in
    /// milliseconds; 0 if none was received.
    pub(crate) fn heard_at(&self) -> u64 {
        self.heard_at.load(Ordering::Relaxed)
    }

    /// Records that the store answered.
    pub(crate) fn record_store_answer(&self) {
        self.answered_at.store(self.clock.now(), Ordering::Relaxed);
    }

    /// Records that the store answered a call for a request that was sent at `sent`.
    pub(crate) fn record_caller_answer(&self, sent: u64) {
        let took = self.clock.now().saturating_sub(sent);
        self.answer_ms.store(took, Ordering::Relaxed);
    }

    /// Returns how long the store took for its last answer to a call for a request, in
    /// milliseconds.
    pub(crate) fn answer_ms(&self) -> u64 {
        self.answer_ms.load(Ordering::Relaxed)
    }

    /// Records that a call to the store failed.
    pub(crate) fn record_store_failure(&self) {
        self.failed_at.store(self.clock.now(), Ordering::Relaxed);
    }

    /// Returns whether the last call to the store failed, or no answer came for longer than a long
    /// poll takes.
    pub(crate) fn is_store_lost(&self) -> bool {
        let failed_at = self.failed_at.load(Ordering::Relaxed);
        failed_at > self.answered_at.load(Ordering::Relaxed) || self.is_store_silent()
    }

    /// Returns whether no answer came from the store for longer than a long poll takes.
    pub(crate) fn is_store_silent(&self) -> bool {
        self.silence() > self.max_silence.load(Ordering::Relaxed)
    }

    /// Returns permission for a request to call the store. While the store is lost, only one
    /// request at a time gets it, and only after [`PROBE_PAUSE_MS`].
    pub(crate) fn store_permit(&self) -> Option<StorePermit<'_>> {
        if !self.is_store_lost() {
            return Some(StorePermit { probing: None });
        }
        let has_paused =
            self.clock.now() >= self.failed_at.load(Ordering::Relaxed) + PROBE_PAUSE_MS;
        let probing = has_paused && !self.probing.swap(true, Ordering::SeqCst);
        probing.then_some(StorePermit {
            probing: Some(&self.probing),
        })
    }

    /// Returns the milliseconds since the store last answered.
    fn silence(&self) -> u64 {
        let last = self.answered_at.load(Ordering::Relaxed);
        self.clock.now().saturating_sub(last)
    }

    /// Returns whether the process is stopping.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
