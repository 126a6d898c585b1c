//! What the threads of a node share.

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
    census::Census,
    config::Config,
    long_poll,
    metrics::{Duty, Metrics},
    protocol::Protocol,
    settings::NodeSettings,
    store::{DutyStore, Store},
};

/// After a call without an answer, callers are not held up by another for this long
/// unless one is answered meanwhile, in milliseconds.
const PROBE_PAUSE_MS: u64 = 1000;

/// Leave to call the store; given back when it is dropped.
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

/// Which availability zones are evacuated.
#[derive(Debug, Default)]
struct Evacuated {
    /// The store's version up to which changes are known.
    version: u64,
    /// Their names, sorted.
    zones: Arc<[Arc<str>]>,
}

/// What the threads of a node share.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    store: Box<dyn Store>,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    config: Mutex<Option<Arc<Config>>>,
    evacuated: Mutex<Evacuated>,
    /// The instances as this one counted them when it last was the owner.
    census: Mutex<Option<Census>>,
    /// Held by a caller who reads the configuration whole.
    pub(crate) config_read: Mutex<()>,
    /// When the store last answered, in milliseconds.
    answered_at: AtomicU64,
    /// For how long nothing comes from a store that answers, in milliseconds.
    max_silence: AtomicU64,
    /// When a call to the store last got no answer, in milliseconds.
    failed_at: AtomicU64,
    /// Whether a caller tries a store that did not answer.
    probing: AtomicBool,
    /// Whether the process is about to end.
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
            config_read: Mutex::new(()),
            answered_at: AtomicU64::new(0),
            max_silence: AtomicU64::new(0),
            failed_at: AtomicU64::new(0),
            probing: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        };
        shared.set_poll_wait(wait);
        shared
    }

    /// Takes note that the store is asked anew after `wait` at the latest.
    pub(crate) fn set_poll_wait(&self, wait: Duration) {
        let silence = long_poll::max_silence(wait).as_millis() as u64;
        self.max_silence.store(silence, Ordering::Relaxed);
    }

    /// Returns how long questions about the configuration wait.
    pub(crate) fn config_wait(&self) -> Duration {
        long_poll::wait(self.settings.apply)
    }

    /// Returns the store for the calls of a duty.
    pub(crate) fn store(&self, duty: Duty) -> DutyStore<'_> {
        DutyStore::new(&*self.store, self.metrics.traffic(duty))
    }

    /// Returns the newest configuration, if any was read.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.clone()
    }

    /// Puts a configuration in force unless that or a newer one is.
    pub(crate) fn apply_config(&self, new: Config) {
        let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        if config.as_ref().is_some_and(|c| c.version >= new.version) {
            return;
        }
        log::info!(version = new.version, queues = new.queues.len(); "config: in force");
        *config = Some(Arc::new(new));
    }

    /// Returns the store's version up to which changes of the configuration's table are known;
    /// nothing if it was never read.
    pub(crate) fn config_known(&self) -> Option<u64> {
        let evacuated = self.evacuated.lock();
        let version = evacuated.unwrap_or_else(PoisonError::into_inner).version;
        (version > 0).then_some(version)
    }

    /// Returns the availability zones that are evacuated, sorted.
    pub(crate) fn evacuated(&self) -> Arc<[Arc<str>]> {
        let evacuated = self.evacuated.lock();
        evacuated
            .unwrap_or_else(PoisonError::into_inner)
            .zones
            .clone()
    }

    /// Takes over which zones are evacuated, as of a version of the store.
    ///
    /// Two threads read them: what is older than what is known changes nothing.
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

    /// Returns the number of instances, if this one has counted them.
    pub(crate) fn census(&self) -> Option<Census> {
        *self.census.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note of the number of instances.
    pub(crate) fn set_census(&self, census: Census) {
        *self.census.lock().unwrap_or_else(PoisonError::into_inner) = Some(census);
    }

    /// Takes note that the store answered.
    pub(crate) fn record_store_answer(&self) {
        self.answered_at.store(self.clock.now(), Ordering::Relaxed);
    }

    /// Takes note that the store did not answer.
    pub(crate) fn record_store_failure(&self) {
        self.failed_at.store(self.clock.now(), Ordering::Relaxed);
    }

    /// Tells whether the store's last call got no answer, or none came lately.
    pub(crate) fn is_store_lost(&self) -> bool {
        let failed_at = self.failed_at.load(Ordering::Relaxed);
        failed_at > self.answered_at.load(Ordering::Relaxed) || self.is_store_silent()
    }

    /// Tells whether nothing came from the store for longer than a question takes.
    pub(crate) fn is_store_silent(&self) -> bool {
        self.silence() > self.max_silence.load(Ordering::Relaxed)
    }

    /// Gives leave to hold a caller up by a call to the store: while that does not
    /// answer only one at a time, and after a pause.
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

    /// Tells whether the process is about to end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
