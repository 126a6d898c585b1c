//! Instances of the real program as processes, with the store and the workers of a small deployment.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    store::{Store, READS_PER_S, ROW_BYTES, WRITES_PER_S},
    worker::Worker,
};

/// `memoryMb` of the settings: a process that goes over it is killed.
pub const MEMORY_LIMIT_MB: u64 = 260;
/// Delay after which a process that ended is started again.
const RESTART: Duration = Duration::from_millis(1000);

pub const SERVICE: &str = "weldcert";
const READY_LIMIT: Duration = Duration::from_secs(30);

const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// An instance of the program.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// The process, and since when it has ended if it was killed.
    process: Mutex<Process>,
}

struct Process {
    child: Child,
    killed_at: Option<Instant>,
    restarts: bool,
}

fn spawn(settings: &Path, log: &Path) -> Option<Child> {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .ok()?;
    let child = Command::new("target/release/gorsespur")
        .env("GORSESPUR_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn()
        .ok()?;
    STARTED.lock().expect("lock").push(child.id());
    Some(child)
}

/// Ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one if the case takes too long.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for &pid in STARTED.lock().expect("lock").iter() {
            // SAFETY: `kill` takes plain numbers; the process was started here.
            unsafe { kill(pid as i32, SIGKILL) };
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

impl Instance {
    fn signal(&self, signal: i32) {
        let process = self.process.lock().expect("lock");
        // SAFETY: `kill` takes plain numbers; the child was started here and is not reaped yet.
        unsafe { kill(process.child.id() as i32, signal) };
    }

    /// Ends the process; it is not started again unless `restarts`.
    pub fn kill(&self, restarts: bool) {
        self.signal(SIGKILL);
        let mut process = self.process.lock().expect("lock");
        process.killed_at = Some(Instant::now());
        process.restarts = restarts;
    }

    /// Kills the process if it is over its memory, and starts one again that has ended. Returns
    /// what was done.
    fn enforce_limits(&self) -> Option<String> {
        let memory = self.memory_mb();
        let killed_at = self.process.lock().expect("lock").killed_at;
        match killed_at {
            None if memory > MEMORY_LIMIT_MB => {
                self.kill(true);
                Some(format!("{} is killed: {memory} MB", self.name))
            }
            Some(at) if at.elapsed() > RESTART => {
                let mut process = self.process.lock().expect("lock");
                if !process.restarts {
                    return None;
                }
                let _ = process.child.wait();
                process.child = spawn(&self.settings, &self.log)?;
                process.killed_at = None;
                Some(format!("{} starts again", self.name))
            }
            _ => None,
        }
    }

    /// Returns the resident memory of the process in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!(
            "/proc/{}/status",
            self.process.lock().expect("lock").child.id()
        ))
        .unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kb = line
            .split_whitespace()
            .nth(1)
            .and_then(|n| n.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/readyz",
            "ready",
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|a| a.0 == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.process.lock().expect("lock").child.wait();
    }
}

/// A small deployment.
pub struct Cluster {
    pub origin: Instant,
    pub store: Arc<Store>,
    pub instances: Vec<Instance>,
    pub workers: Vec<Worker>,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.instances.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Starts the store, the workers and the instances; `None` if these don't get ready.
    pub fn start(case: &str, instances: usize, workers: usize) -> Option<Cluster> {
        let origin = Instant::now();
        let dir = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&dir).ok()?;
        let (store, store_addr) = Store::start();
        store.put("op", "config", &manifest());
        let start = |i: usize| Worker::start(&format!("w-{i:02}"), SERVICE, i / 8, &store, origin);
        let workers = (0..workers).map(start).collect();
        let mut cluster = Cluster {
            origin,
            store,
            instances: Vec::new(),
            workers,
            dir,
        };
        for index in 0..instances {
            let instance = cluster.spawn(&format!("edge-{index}"), store_addr)?;
            cluster.instances.push(instance);
        }
        let end = Instant::now() + READY_LIMIT;
        while Instant::now() < end {
            if cluster.instances.iter().all(Instance::is_ready) && cluster.owner().is_some() {
                return Some(cluster);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    fn spawn(&self, name: &str, store: SocketAddr) -> Option<Instance> {
        let [front, ready, control, metrics] = free_addrs()?;
        let (first, last) = (metrics.port(), metrics.port());
        let settings = format!(
            "node: \"{name}\"\nrole: \"node\"\nclass: \"edge\"\nserves:\n  - \"edge\"\nip: \"127.0.0.1\"\nzone: \"zone-a\"\nregion: \"area-a\"\nzones:\n  zone-a: \"area-a\"\nlisten:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\nportRange:\n  - {first}\n  - {last}\nseeds:\n  - \"{control}\"\nbootstrap: true\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1500\nfaultTolerance:\n  machines: 2\n  zones: 1\n  regions: 0\nbounds:\n  seedLagS: 3\n  contactMs: 3000\n  ackMs: 4000\n  drainMs: 2000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n  downgradeMs: 250\n  maxSkewMs: 5000\n  recoveryS: 12\n  holdMaxMs: 10000\n  stopMs: 900\n  gangWaitMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  checkpointS: 0.5\n  restoreMs: 250\n  noticeMs: 4500\n  requireFence: false\n  leaseMs: 3000\n  paceMs: 100\n  harmMs: 4000\ncommands: \"invoke\"\nplatform:\n  address: \"{store}\"\n  form: \"table\"\n  writesPerS: {WRITES_PER_S}\n  readsPerS: {READS_PER_S}\n  txMs: 8.0\n  partWritesS: 150\n  rowBytes: {ROW_BYTES}\n  crossShard: false\n  historyS: 20\n",
        );
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, settings).ok()?;
        let log = self.dir.join(format!("{name}.log"));
        let child = spawn(&path, &log)?;
        let process = Mutex::new(Process {
            child,
            killed_at: None,
            restarts: false,
        });
        Some(Instance {
            name: name.to_owned(),
            front,
            ready,
            settings: path,
            log,
            process,
        })
    }

    /// Kills processes over their memory and starts ended ones again; returns what was done.
    pub fn enforce_limits(&self) -> Vec<String> {
        self.instances
            .iter()
            .filter_map(Instance::enforce_limits)
            .collect()
    }

    /// Kills an instance, which is started again.
    pub fn kill(&self, index: usize) {
        self.instances[index].kill(true);
    }

    /// Kills all instances but one, for good.
    pub fn lose_all_but(&self, survivor: usize) {
        let others = (0..)
            .zip(&self.instances)
            .filter(|(index, _)| *index != survivor);
        for (_, instance) in others {
            instance.kill(false);
        }
    }

    pub fn name(&self, index: usize) -> &str {
        &self.instances[index].name
    }

    /// Returns the address of the front of an instance, counted around.
    pub fn front(&self, number: usize) -> SocketAddr {
        self.instances[number % self.instances.len()].front
    }

    pub fn memory_mb(&self) -> Vec<u64> {
        self.instances.iter().map(Instance::memory_mb).collect()
    }

    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Returns the index of the instance that holds the lease, by its row in the store.
    pub fn owner(&self) -> Option<usize> {
        let lease = self.store.value("lease", "all", "owner");
        let names = |i: &Instance| {
            lease
                .windows(i.name.len() + 1)
                .any(|w| &w[1..] == i.name.as_bytes() && usize::from(w[0] & 0x1f) == i.name.len())
        };
        self.instances.iter().position(names)
    }

    /// Returns the runs of all workers, in the order of their starts.
    pub fn runs(&self) -> Vec<crate::worker::Run> {
        let mut runs: Vec<_> = self.workers.iter().flat_map(Worker::runs).collect();
        runs.sort_by_key(|r| r.start_ms);
        runs
    }
}

/// Ports below the range from which outgoing channels take theirs, so that no instance takes the
/// port that another one is about to listen on.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

fn free_addrs() -> Option<[SocketAddr; 4]> {
    Some([free_addr()?, free_addr()?, free_addr()?, free_addr()?])
}

fn free_addr() -> Option<SocketAddr> {
    let count = PORTS.end - PORTS.start;
    for _ in 0..count {
        let number = NEXT_PORT.fetch_add(1, Ordering::SeqCst)
            + std::process::id().wrapping_mul(1009) % count;
        let port = (PORTS.start + number % count) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().ok();
        }
    }
    None
}

/// The first manifest: the three queues of a small deployment.
fn manifest() -> String {
    let route = |name: &str, prefix: &str, prio: u32, attempts: u32, latency: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"yard.example\",\"pathPrefix\":\"/{prefix}/\",\"type\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":{latency},\"prio\":{prio},\"service\":\"{SERVICE}\",\"attempts\":{attempts},\"extension\":1.5}}"
        )
    };
    let routes = [
        route("r-check", "check", 0, 4, 250),
        route("r-renewal", "renewal", 2, 2, 1000),
        route("r-log", "log", 0, 3, 2500),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"admissionCheck\":true,\"headroom\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
