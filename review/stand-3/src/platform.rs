//! A small installation: the store, workers and instances, and requesters' calls.

use std::{
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use gorsespur_http::{Client, Method, Request, Server};
use serde_json::{Value, json};

use crate::{
    node::{Node, Site},
    proxy::{Mode, Proxy},
    record::Record,
    store::Store,
    worker::{Jobs, Step, Work, Worker},
};

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/q/";
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

pub struct Platform {
    pub store: Arc<Store>,
    pub nodes: Vec<Arc<Node>>,
    pub workers: Vec<Arc<Worker>>,
    /// Before each worker: its entry names the proxy's address.
    pub proxies: Vec<Arc<Proxy>>,
    pub jobs: Arc<Jobs>,
    pub record: Arc<Record>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
    servers: Vec<Server>,
    dir: PathBuf,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

fn manifest(admission_check: bool) -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "q", "host": HOST, "pathPrefix": PREFIX, "type": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 1000, "prio": 0, "service": "s",
            "attempts": 4, "extension": 1.5
        }],
        "services": [{
            "name": "s", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1",
            "tls": false, "admissionCheck": admission_check, "headroom": false
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000
        }
    })
}

impl Platform {
    /// Starts the store, `workers` workers of 32 cores and 128 GB, and three instances.
    pub fn start(
        root: &Path,
        folder: &Path,
        workers: usize,
        site: &Site,
    ) -> Result<Platform, String> {
        if !root.join("target/release/gorsespur").exists() {
            return Err("the program is not built".into());
        }
        let dir = env::temp_dir().join(format!("review-stand-3-{}", process::id()));
        fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let record = Arc::new(Record::create(&folder.join("record.txt")));
        let store = Store::start();
        store.put("op", "config", &manifest(true));
        let jobs = Arc::new(Jobs::default());
        let (mut all, mut servers, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        let mut proxies = Vec::new();
        let stop = Arc::new(AtomicBool::new(false));
        for index in 0..workers {
            let (id, size) = (format!("i-{index:04}"), (32_000, 128_000));
            let hold_max = Duration::from_secs(10);
            let (worker, server, addr) =
                Worker::start(&id, unix_ms(), size, hold_max, &jobs, &record);
            let zone = ZONES[index % ZONES.len()];
            let proxy = Proxy::start(addr);
            threads.push(beat(&worker, proxy.addr, zone, &store, &stop));
            proxies.push(proxy);
            all.push(worker);
            servers.push(server);
        }
        let mut nodes = Vec::new();
        for zone in ZONES {
            let (server, addr) = store.listen();
            servers.push(server);
            let name = format!("edge-{zone}-1");
            let node = Node::start(root, &dir, &name, zone, addr, site, &record);
            threads.push(node.watch(&stop));
            nodes.push(node);
        }
        let platform = Platform {
            store,
            nodes,
            workers: all,
            proxies,
            jobs,
            record,
            stop,
            threads,
            servers,
            dir,
        };
        platform.await_ready()?;
        Ok(platform)
    }

    fn await_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.nodes.iter().all(|n| is_ready(n.ready)) {
                // Traffic starts some seconds after the machines do.
                thread::sleep(Duration::from_secs(3));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the instances don't become ready".into())
    }

    /// Starts a worker that crashed again, under its `id`.
    pub fn restart_worker(&mut self, at: usize) {
        let (id, size) = (self.workers[at].id.clone(), (32_000, 128_000));
        let hold_max = Duration::from_secs(10);
        let (worker, server, addr) =
            Worker::start(&id, unix_ms(), size, hold_max, &self.jobs, &self.record);
        self.proxies[at].set_target(addr);
        self.proxies[at].set(Mode::Pass);
        let zone = ZONES[at % ZONES.len()];
        let thread = beat(
            &worker,
            self.proxies[at].addr,
            zone,
            &self.store,
            &self.stop,
        );
        self.threads.push(thread);
        self.servers.push(server);
        self.workers[at] = worker;
    }

    /// Ends all processes.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        for node in &self.nodes {
            node.end();
        }
        self.record.flush();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.end();
    }
}

/// Writes a worker's entry into the store each heartbeat.
fn beat(
    worker: &Arc<Worker>,
    addr: SocketAddr,
    zone: &'static str,
    store: &Arc<Store>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (worker, store, stop) = (worker.clone(), store.clone(), stop.clone());
    store.put("servers", &worker.id, &worker.entry(addr, zone, 0));
    thread::spawn(move || {
        for turn in 1_u64.. {
            thread::sleep(Duration::from_millis(100));
            if stop.load(Ordering::Relaxed) {
                return;
            }
            if worker.is_dead() {
                return;
            }
            if turn % 15 == 0 {
                store.put("servers", &worker.id, &worker.entry(addr, zone, turn / 15));
            }
        }
    })
}

fn is_ready(addr: SocketAddr) -> bool {
    let request = Request::new(Method::Get, "/readyz", Vec::new());
    let answer = Client::new(addr).call(&request, Duration::from_millis(500));
    answer.is_ok_and(|r| r.status == 200)
}

/// A job of one step, as the requester sends it.
#[derive(Default)]
pub struct Job {
    pub id: String,
    pub spec: String,
    pub count: u32,
    pub cpu: u64,
    pub mem: u64,
    pub time: Duration,
    pub image: Option<String>,
    /// For tasks that last and serve: the target and the tail of their answers' times.
    pub serves: Option<(u64, u64)>,
    pub fills: bool,
    /// Whether each worker takes one task at most.
    pub apart: bool,
}

impl Job {
    pub fn body(&self) -> Vec<u8> {
        let mut step = json!({
            "count": self.count, "cpu": self.cpu, "memMb": self.mem,
            "estMs": self.time.as_millis() as u64
        });
        if let Some(image) = &self.image {
            step["image"] = image.as_str().into();
        }
        if let Some((target, _)) = self.serves {
            step["longRunning"] = true.into();
            step["targetMs"] = target.into();
        }
        if self.fills {
            step["fill"] = true.into();
        }
        if self.apart {
            step["antiAffinity"] = 1.into();
        }
        json!({"spec": self.spec, "steps": [step]})
            .to_string()
            .into_bytes()
    }

    pub fn work(&self) -> Arc<Work> {
        Arc::new(Work {
            steps: vec![Step {
                cpu: self.cpu,
                mem: self.mem,
                time: self.time,
                lasts: self.serves.is_some(),
                tail_ms: self.serves.map_or(0, |s| s.1),
                fills: self.fills,
            }],
        })
    }
}

impl Platform {
    /// Sends a job until it is accepted, to one instance after the other. Returns whether it was.
    pub fn submit(&self, job: &Job, clients: &[Client], first: usize, tries: usize) -> bool {
        let mut jobs = self.jobs.by_id.lock().expect("lock");
        jobs.insert(job.id.clone(), job.work());
        drop(jobs);
        for turn in 0..tries {
            let client = &clients[(first + turn) % clients.len()];
            let (status, _) = call(client, Method::Post, &job.id, job.body());
            self.record
                .line(&format!("sent  POST {} answered {status}", job.id));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(400));
        }
        false
    }

    /// Returns a requester's connections to all instances.
    pub fn clients(&self) -> Vec<Client> {
        self.nodes.iter().map(|n| Client::new(n.front)).collect()
    }

    /// Notes the memory of all instances.
    pub fn log_memory(&self) {
        for node in &self.nodes {
            self.record.note(&format!(
                "node  {}: at most {} MB, killed {} times for its memory",
                node.name,
                node.peak_mb.load(Ordering::Relaxed),
                node.over_memory.load(Ordering::Relaxed)
            ));
        }
    }

    /// Sends `count` small jobs, and returns whether an accepted one had no run for longer than
    /// `max_wait`, while most of the workers' room was free.
    pub fn judge(&self, count: u64, max_wait: Duration) -> bool {
        let (record, clients) = (&self.record, self.clients());
        let mut waiting: Vec<(String, Duration)> = Vec::new();
        for number in 0..count {
            let job = small_job(10_000_000 + number, "judged");
            if self.submit(&job, &clients, number as usize, 12) {
                waiting.push((job.id, record.now()));
            }
            thread::sleep(Duration::from_millis(300));
        }
        thread::sleep(max_wait);
        let used: u64 = self.workers.iter().map(|w| w.used()).sum();
        let room = self.workers.len() as u64 * 32_000;
        let mut broken = false;
        for (id, sent) in &waiting {
            let first = record.first(id);
            let waited = first.unwrap_or(record.now()).saturating_sub(*sent);
            let late = waited > max_wait && used * 2 < room;
            broken |= late;
            let (status, body) = call(&clients[1], Method::Get, id, Vec::new());
            record.note(&format!(
                "job   {id} accepted at {:.3}, first run {}, waited {:.1} s{}; GET answered {status} {}",
                sent.as_secs_f64(),
                first.map_or("never".into(), |f| format!("at {:.3}", f.as_secs_f64())),
                waited.as_secs_f64(),
                if late { ": LOST" } else { "" },
                String::from_utf8_lossy(&body),
            ));
        }
        record.note(&format!(
            "workers use {used} of {room} thousandths of a core"
        ));
        broken
    }
}

/// Returns the ID of a job: spread over all IDs, as requesters choose them.
pub fn job_id(number: u64) -> String {
    format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A job of one short task.
pub fn small_job(number: u64, spec: &str) -> Job {
    Job {
        id: job_id(number),
        spec: spec.to_owned(),
        count: 1,
        cpu: 500,
        mem: 64,
        time: Duration::from_millis(50),
        ..Job::default()
    }
}

/// Returns a number from the environment, for trials with other sizes.
pub fn setting(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

/// A requester's call; returns the status of the answer, or 0 without one.
pub fn call(client: &Client, method: Method, id: &str, body: Vec<u8>) -> (u16, Vec<u8>) {
    let request = Request::new(method, format!("{PREFIX}{id}"), body)
        .with_header("host", HOST)
        .with_header("content-type", "application/json")
        .with_header("x-deadline-ms", "3000");
    match client.call(&request, Duration::from_millis(3000)) {
        Ok(response) => (response.status, response.body),
        Err(_) => (0, Vec::new()),
    }
}
