//! Test doubles: stores, and a protocol without content.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use gorsespur_http::{HttpError, Method, Request, Response, Traffic};
use gorsespur_jobs::{Answer, Outcome, Settings, Spec, Started, WorkerInfo, WorkerReport};

use crate::{
    config::Config,
    protocol::{Order, Protocol, ProtocolError},
    rows::{FIGURES, FiguresRow, JOBS, LEASE, LeaseRow, OWNER_KEY, decode, encode},
    settings::NodeSettings,
    shared::Shared,
    store::{Changes, Commit, Page, Range, Row, Store, StoreError, Tx},
};

/// A store that is unavailable.
#[derive(Debug)]
pub(crate) struct UnavailableStore;

fn away<T>() -> Result<T, StoreError> {
    Err(StoreError::Unavailable {
        reason: "away".into(),
    })
}

impl Store for UnavailableStore {
    fn read(&self, _: Range<'_>, _: &Traffic) -> Result<Page, StoreError> {
        away()
    }

    fn read_within(&self, _: Range<'_>, _: Duration, _: &Traffic) -> Result<Page, StoreError> {
        away()
    }

    fn changes(&self, _: &str, _: u64, _: Duration, _: &Traffic) -> Result<Changes, StoreError> {
        away()
    }

    fn commit(&self, _: &Tx, _: Duration, _: &Traffic) -> Result<Commit, StoreError> {
        away()
    }
}

/// A protocol whose orders name their worker in the path, and whose answers depend on the status
/// only.
#[derive(Debug)]
pub(crate) struct StubProtocol;

fn unread<T>() -> Result<T, ProtocolError> {
    Err(ProtocolError::Malformed {
        what: "anything",
        reason: "not read here".into(),
    })
}

impl Protocol for StubProtocol {
    fn config_row(&self) -> (&'static str, &'static str) {
        ("t", "k")
    }

    fn evacuation(&self, _: &Row) -> Result<Option<Arc<str>>, ProtocolError> {
        unread()
    }

    fn workers_table(&self) -> &'static str {
        "w"
    }

    fn config(&self, _: &Row) -> Result<Config, ProtocolError> {
        unread()
    }

    fn worker(&self, _: &Row) -> Result<WorkerInfo, ProtocolError> {
        unread()
    }

    fn order(&self, order: &Order, _: u64, worker: &Arc<str>) -> Request {
        let path = match order {
            Order::Start(start) => format!("/{worker}/{}", start.task.job),
            Order::Poll { observed, .. } => format!("/{worker}/look/{observed}"),
            _ => format!("/{worker}/other"),
        };
        Request::new(Method::Post, path, Vec::new())
    }

    fn answer(&self, order: &Order, result: Result<Response, HttpError>) -> Answer {
        if let Order::Start(start) = order {
            let started = match result.map(|r| r.status) {
                Ok(200) => Started::Done,
                Ok(409) => Started::NoRoom,
                Ok(_) => Started::Refused,
                Err(_) => Started::Unknown,
            };
            return Answer::Started(start.task, start.run, started);
        }
        match result {
            Ok(_) => Answer::Report(WorkerReport {
                start_time: None,
                clock: 1,
                running: Vec::new(),
                finished: Vec::new(),
            }),
            Err(_) => Answer::NoReply,
        }
    }

    fn submission(&self, _: &[u8]) -> Result<Spec, ProtocolError> {
        unread()
    }

    fn outcome(&self, _: Outcome) -> Vec<u8> {
        Vec::new()
    }

    fn pending(&self, _: u64) -> Vec<u8> {
        Vec::new()
    }

    fn caller_timeout(&self, _: &Request) -> Option<u64> {
        None
    }
}

/// Returns the shared state of a node called "n" with this store.
pub(crate) fn shared(store: impl Store) -> Arc<Shared> {
    shared_with(store, |_| {})
}

/// As [`shared`], with changed settings.
pub(crate) fn shared_with(
    store: impl Store,
    change: impl FnOnce(&mut NodeSettings),
) -> Arc<Shared> {
    let mut settings = NodeSettings {
        name: "n".into(),
        front: None,
        ready: None,
        metrics: None,
        peer: None,
        linger: Duration::ZERO,
        connections: 1,
        apply: Duration::from_secs(2),
        jobs: Settings::default(),
        admission: true,
        share: 500,
    };
    change(&mut settings);
    Arc::new(Shared::new(
        settings,
        Box::new(store),
        Box::new(StubProtocol),
    ))
}

/// A store that holds the lease, maybe figures and a job, and accepts each write, unless it is set
/// to be unavailable.
#[derive(Debug)]
pub(crate) struct LeaseStore {
    /// Whether all calls fail.
    pub(crate) away: AtomicBool,
    /// Whether every job exists.
    pub(crate) has_jobs: AtomicBool,
    /// All versions of the figures, oldest first.
    pub(crate) figures: Mutex<Vec<FiguresRow>>,
    /// Reads of the figures end while nobody holds this.
    pub(crate) figures_gate: Mutex<()>,
    /// Time that reads of the figures take, in milliseconds.
    pub(crate) figures_delay: AtomicU64,
    /// Time that reads of jobs take, in milliseconds.
    pub(crate) job_delay: AtomicU64,
    /// Number of reads of the figures that were begun.
    pub(crate) figures_reads: AtomicU64,
    /// All versions of the lease, oldest first.
    pub(crate) leases: Mutex<Vec<LeaseRow>>,
}

impl LeaseStore {
    pub(crate) fn new(lease: LeaseRow) -> Arc<LeaseStore> {
        Arc::new(LeaseStore {
            away: AtomicBool::new(false),
            has_jobs: AtomicBool::new(false),
            figures: Mutex::default(),
            figures_gate: Mutex::default(),
            figures_delay: AtomicU64::new(0),
            job_delay: AtomicU64::new(0),
            figures_reads: AtomicU64::new(0),
            leases: Mutex::new(vec![lease]),
        })
    }

    /// Returns the newest lease.
    pub(crate) fn newest(&self) -> LeaseRow {
        let leases = self.leases.lock().expect("not poisoned");
        leases.last().expect("written").clone()
    }

    /// Returns the version of the newest lease.
    fn version(&self) -> u64 {
        self.leases.lock().expect("not poisoned").len() as u64
    }

    fn check(&self) -> Result<(), StoreError> {
        match self.away.load(Ordering::SeqCst) {
            true => away(),
            false => Ok(()),
        }
    }
}

impl Store for Arc<LeaseStore> {
    fn read(&self, range: Range<'_>, _: &Traffic) -> Result<Page, StoreError> {
        self.check()?;
        let figures = self.figures.lock().expect("not poisoned");
        let found = match range.table {
            LEASE => Some((encode(&self.newest()), self.version())),
            FIGURES => figures.last().map(|f| (encode(f), figures.len() as u64)),
            JOBS if self.has_jobs.load(Ordering::SeqCst) => Some((Vec::new(), 1)),
            _ => None,
        };
        let row = found.map(|(value, version)| Row {
            part: range.part.into(),
            key: OWNER_KEY.into(),
            value,
            version,
            removed: false,
        });
        let rows = row.into_iter().collect();
        Ok(Page {
            rows,
            more: false,
            version: self.version(),
        })
    }

    fn read_within(
        &self,
        range: Range<'_>,
        limit: Duration,
        traffic: &Traffic,
    ) -> Result<Page, StoreError> {
        let delay = match range.table {
            FIGURES => &self.figures_delay,
            _ => &self.job_delay,
        };
        if range.table == FIGURES {
            self.figures_reads.fetch_add(1, Ordering::SeqCst);
            drop(self.figures_gate.lock().expect("not poisoned"));
        }
        let delay = Duration::from_millis(delay.load(Ordering::SeqCst));
        thread::sleep(delay.min(limit));
        if delay > limit {
            return away();
        }
        self.read(range, traffic)
    }

    fn changes(
        &self,
        _: &str,
        after: u64,
        _: Duration,
        _: &Traffic,
    ) -> Result<Changes, StoreError> {
        self.check()?;
        Ok(Changes {
            rows: Vec::new(),
            version: after,
            is_complete: true,
        })
    }

    fn commit(&self, tx: &Tx, _: Duration, _: &Traffic) -> Result<Commit, StoreError> {
        self.check()?;
        let row = tx.writes.iter().find(|w| w.table == LEASE);
        let lease = row.and_then(|w| decode("lease", &w.value));
        self.leases.lock().expect("not poisoned").extend(lease);
        let row = tx.writes.iter().find(|w| w.table == FIGURES);
        let figures = row.and_then(|w| decode("figures", &w.value));
        self.figures.lock().expect("not poisoned").extend(figures);
        Ok(Commit::Done(self.version()))
    }
}
