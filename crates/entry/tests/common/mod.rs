//! A test zone in one process: platform, worker, scheduler and entry.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use gorsespur_core::{name::Name, shard::WorkerInfo, size::Size};
use gorsespur_ctl::{
    apply::{Change, apply},
    document::Document,
};
use gorsespur_entry::{program as entry, settings as entry_settings};
use gorsespur_runtime::{
    cancel::CancelToken,
    client::{Call, Response},
    settings::parse_yaml,
};
use gorsespur_sched::{program as sched, settings as sched_settings};
use gorsespur_services::{HttpTable, fake::unique_addr};
use gorsespur_stand::{
    Ledger, Platform, PlatformFaults, SimSettings, SimTarget, SimWorker, Slowdown,
    StoredCheckpoints, WorkerServer, ZoneEndpoint, serve_platform, serve_worker,
};
use gorsespur_wire::members::MemberList;

/// Maximum number of checks for a state, at intervals of 50 ms.
const MAX_CHECKS: u32 = 400;

/// A running zone, which stops when it is dropped.
pub struct Zone {
    pub callers: SocketAddr,
    pub ledger: Arc<Ledger>,
    pub worker: WorkerServer,
    pub entry: Option<entry::Running>,
    platform: Arc<Mutex<Platform>>,
    sched: Option<sched::Running>,
    cancel: CancelToken,
}

fn common_settings(id: &str, listen: SocketAddr, seed: SocketAddr, gate: SocketAddr) -> String {
    format!(
        "instance: {{id: {id}, zone: home, listen: '{listen}', seeds: ['{seed}'], \
         zones: [{{name: home}}], \
         platform: {{table: '{gate}', objects: '{gate}', members: '{gate}'}}}}\n"
    )
}

impl Zone {
    /// Starts everything and waits until requests are served.
    pub fn start() -> Zone {
        let cancel = CancelToken::new();
        let platform = Platform::new(5_000, 5_000, Duration::ZERO, 1);
        let platform = Arc::new(Mutex::new(platform));
        let any_addr: SocketAddr = ([127, 0, 0, 1], 0).into();
        let gates = [ZoneEndpoint {
            zone: "home".into(),
            addr: any_addr,
        }];
        let gates = serve_platform(platform.clone(), &gates, &cancel).expect("a platform");
        let gate = gates[0].addr;
        let ledger = Arc::new(Ledger::default());
        let worker = start_worker(gate, &ledger, &cancel);
        let list = MemberList {
            instances: Vec::new(),
            workers: vec![WorkerInfo {
                name: "w1".into(),
                zone: "home".into(),
                rack: "r1".into(),
                addr: worker.addr,
                target: worker.target,
                size: Size::new(30_000, 125 << 30, 0),
                leaving: false,
            }],
        };
        lock(&platform).set_members(list);
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/first.yaml");
        let change = Change {
            document: Document::read(&PathBuf::from(file)).expect("a good template"),
            base_version: 0,
            author: "test".to_owned(),
            reason: String::new(),
        };
        let table = HttpTable::new(gate, Duration::from_secs(2));
        apply(&table, &change).expect("accepted");
        let free_addr = || unique_addr().expect("an address");
        let (sched_listen, entry_listen) = (free_addr(), free_addr());
        let raw = parse_yaml(&common_settings("sched1", sched_listen, entry_listen, gate))
            .expect("good settings");
        let settings = sched_settings::check(raw).expect("good settings");
        let sched = sched::start(&settings, None, &CancelToken::new()).expect("a scheduler");
        let text = format!(
            "{}callers: '{any_addr}'\ndrain_ms: 100\n",
            common_settings("entry1", entry_listen, sched_listen, gate)
        );
        let raw = parse_yaml(&text).expect("good settings");
        let settings = entry_settings::check(raw).expect("good settings");
        let entry = entry::start(settings).expect("an entry");
        let zone = Zone {
            callers: entry.callers,
            ledger,
            worker,
            entry: Some(entry),
            platform,
            sched: Some(sched),
            cancel,
        };
        zone.wait_until("requests are served", || {
            zone.call("GET", "/s/first/hello/")
                .send()
                .is_ok_and(|a| a.status == 200)
        });
        zone
    }

    /// Returns a call to the entry.
    pub fn call(&self, method: &str, path: &str) -> Call {
        Call::new(method, self.callers, path).timeout(Duration::from_secs(10))
    }

    /// Sends a request with a body and returns the answer.
    pub fn send(&self, method: &str, path: &str, body: &str) -> Response {
        let call = self.call(method, path).body(body.as_bytes().to_vec());
        call.send().expect("an answer")
    }

    /// Sets the platform's faults.
    pub fn platform_faults(&self, faults: PlatformFaults) {
        lock(&self.platform).set_faults(faults);
    }

    /// Waits for a state; panics if it is not reached in time.
    pub fn wait_until(&self, what: &str, is_reached: impl Fn() -> bool) {
        for _ in 0..MAX_CHECKS {
            if is_reached() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("not reached: {what}");
    }
}

impl Drop for Zone {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.take() {
            entry.stop();
        }
        if let Some(sched) = self.sched.take() {
            sched.stop();
        }
        self.cancel.cancel();
    }
}

fn lock(platform: &Mutex<Platform>) -> std::sync::MutexGuard<'_, Platform> {
    platform.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_worker(gate: SocketAddr, ledger: &Arc<Ledger>, cancel: &CancelToken) -> WorkerServer {
    let settings = SimSettings {
        name: Name::from("w1"),
        size: Size::new(30_000, 125 << 30, 0),
        period: 1_000,
        lag: 500,
        slowdown: Slowdown {
            seed: 1,
            strength: 0.0,
            shift: 0,
        },
    };
    let objects = gorsespur_services::HttpObjects::new(gate, Duration::from_secs(1));
    let checkpoints = Arc::new(StoredCheckpoints::new(objects));
    let sim = SimWorker::new(settings, 9, ledger.clone(), checkpoints);
    let any_addr: SocketAddr = ([127, 0, 0, 1], 0).into();
    let target = SimTarget::new(8, 1.0);
    serve_worker(
        any_addr,
        any_addr,
        sim,
        target,
        ledger.clone(),
        "w1",
        cancel,
    )
    .expect("a worker")
}
