//! State that the agent's threads share with the program.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use gorsespur_core::{
    config::Configs,
    member::{Peers, ShardOwnership},
};
use gorsespur_runtime::clock::{Clock, wall_ms};
use gorsespur_wire::members::MemberList;

use crate::AgentSettings;

/// Membership and configuration as one instance sees them, and its own state.
#[derive(Debug)]
pub struct AgentState {
    /// Settings.
    pub settings: AgentSettings,
    /// Clock of all decisions.
    pub clock: Clock,
    /// Start time of the instance, which distinguishes its starts.
    pub incarnation: u64,
    peers: Mutex<Peers>,
    configs: Mutex<Configs>,
    list: Mutex<MemberList>,
    claims: Mutex<Vec<ShardOwnership>>,
    leaving: AtomicBool,
    config_changes: AtomicU64,
    list_changes: AtomicU64,
    loaded: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AgentState {
    /// Creates the state of an instance without known peers.
    pub fn new(settings: AgentSettings) -> AgentState {
        AgentState {
            clock: Clock::new(),
            incarnation: wall_ms(),
            peers: Mutex::new(Peers::new(
                settings.membership.clone(),
                settings.zone.clone(),
            )),
            configs: Mutex::default(),
            list: Mutex::default(),
            claims: Mutex::default(),
            leaving: AtomicBool::new(false),
            config_changes: AtomicU64::new(0),
            list_changes: AtomicU64::new(0),
            loaded: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the known instances.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the templates in force.
    pub fn configs(&self) -> MutexGuard<'_, Configs> {
        lock(&self.configs)
    }

    /// Returns the membership list of the last successful read.
    pub fn member_list(&self) -> MutexGuard<'_, MemberList> {
        lock(&self.list)
    }

    /// Returns the shards that this instance owns, as sent in its heartbeats.
    pub fn claims(&self) -> MutexGuard<'_, Vec<ShardOwnership>> {
        lock(&self.claims)
    }

    /// Marks this instance as leaving, which its next heartbeats report.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns a counter of the changes of the templates.
    pub fn config_changes(&self) -> u64 {
        self.config_changes.load(Ordering::Acquire)
    }

    /// Returns a counter of the changes of the membership list.
    pub fn list_changes(&self) -> u64 {
        self.list_changes.load(Ordering::Acquire)
    }

    /// Returns whether the templates were read from the platform or a peer.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    pub(crate) fn config_changed(&self) {
        self.config_changes.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn list_changed(&self) {
        self.list_changes.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Release);
    }

    /// Returns the sorted ids of the live instances with the same role in the same zone, this
    /// one included unless it is leaving.
    pub fn same_role_ids(&self) -> Vec<gorsespur_core::name::Name> {
        let s = &self.settings;
        let now = self.clock.now();
        let mut out = Vec::new();
        for p in self.peers().available(now, s.role, &s.zone) {
            out.push(p.heartbeat.id.clone());
        }
        out.retain(|id| *id != s.id);
        if !self.is_leaving() {
            out.push(s.id.clone());
        }
        out.sort();
        out
    }
}
