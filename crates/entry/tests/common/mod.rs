//! One zone in this process: platform, worker, scheduler and entry.

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
use gorsespur_services::{HttpTable, fake::own_addr};
use gorsespur_stand::{
    Gate, Ledger, Platform, PlatformFaults, SimSettings, SimWorker, Slowdown, StoredCheckpoints,
    TargetLoad, WorkerStand, serve_platform, serve_worker,
};
use gorsespur_wire::members::MemberList;

/// Tries to reach a state, 50 ms apart.
const TRIES: u32 = 400;

/// The zone.
pub struct Zone {
    pub callers: SocketAddr,
    pub ledger: Arc<Ledger>,
    pub worker: WorkerStand,
    pub entry: Option<entry::Running>,
    platform: Arc<Mutex<Platform>>,
    sched: Option<sched::Running>,
    cancel: CancelToken,
}

fn common(id: &str, listen: SocketAddr, seed: SocketAddr, gate: SocketAddr) -> String {
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
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let gates = [Gate {
            zone: "home".into(),
            addr: any,
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
        let own = || own_addr().expect("an address");
        let (s, e) = (own(), own());
        let raw = parse_yaml(&common("sched1", s, e, gate)).expect("good settings");
        let settings = sched_settings::check(raw).expect("good settings");
        let sched = sched::start(&settings, None, &CancelToken::new()).expect("a scheduler");
        let text = format!(
            "{}callers: '{any}'\ndrain_ms: 100\n",
            common("entry1", e, s, gate)
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
        zone.until("requests are served", || {
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

    /// Makes a call with a body and returns the answer.
    pub fn send(&self, method: &str, path: &str, body: &str) -> Response {
        let call = self.call(method, path).body(body.as_bytes().to_vec());
        call.send().expect("an answer")
    }

    /// Sets the platform's faults.
    pub fn platform_faults(&self, faults: PlatformFaults) {
        lock(&self.platform).set_faults(faults);
    }

    /// Waits for a state; panics if it is not reached.
    pub fn until(&self, what: &str, ok: impl Fn() -> bool) {
        for _ in 0..TRIES {
            if ok() {
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

fn start_worker(gate: SocketAddr, ledger: &Arc<Ledger>, cancel: &CancelToken) -> WorkerStand {
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
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let load = TargetLoad::new(8, 1.0);
    serve_worker(any, any, sim, load, ledger.clone(), "w1", cancel).expect("a worker")
}
