//! The project's program as processes, as the deploy file starts it, on a small deployment of
//! stand-ins.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, free_addr},
    json::Json,
    record,
    store::Store,
    worker::{Ids, Seen, Shared, Worker},
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const SERVICE: &str = "service-a";
const START_LIMIT: Duration = Duration::from_secs(20);

/// The metric that counts how often an instance has taken the lease.
const TAKEOVERS: &str = "gorsespur_takeovers";
pub const HOST: &str = "jobs.example";

/// A route of the manifest.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
}

/// The workers: their number and what their names begin with.
pub struct Fleet {
    pub count: usize,
    pub name: &'static str,
    pub ids: Ids,
}

pub const SIX_WORKERS: Fleet = Fleet {
    count: 6,
    name: "w",
    ids: Ids::New,
};

pub struct System {
    pub workers: Vec<Arc<Worker>>,
    pub store: Arc<Store>,
    /// What all workers saw and share.
    pub shared: Shared,
    pub fronts: Vec<SocketAddr>,
    metrics: Vec<SocketAddr>,
    children: Vec<Child>,
    dir: PathBuf,
}

impl System {
    /// Starts the stand-ins and three instances, one a zone. Fails if these don't serve.
    pub fn start(root: &Path, routes: &[Route], fleet: &Fleet) -> Result<System, String> {
        let store = Store::new();
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let mut system = System {
            workers: Vec::new(),
            store,
            shared: Shared::default(),
            fronts: Vec::new(),
            metrics: Vec::new(),
            children: Vec::new(),
            dir,
        };
        system.write_manifest(1, routes, 3000);
        for index in 0..fleet.count {
            let (host, rack) = (
                format!("{}-{index}", fleet.name),
                format!("r1-{}", index % 3),
            );
            let place = [SERVICE, ZONES[index % ZONES.len()], &rack];
            let worker = Worker::start(&host, fleet.ids, place, &system.store, &system.shared);
            system.workers.push(worker);
        }
        for index in 0..ZONES.len() {
            system.spawn(root, index)?;
        }
        system.wait_until_serving(routes)?;
        Ok(system)
    }

    /// Writes the manifest, as the operator does.
    pub fn write_manifest(&self, version: u64, routes: &[Route], timeout_ms: u64) {
        let rows: Vec<String> = routes
            .iter()
            .map(|r| {
                format!(
                    "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\
                     \"type\":\"non_idempotent\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":250,\
                     \"prio\":0,\"service\":\"{SERVICE}\",\"attempts\":3,\"extension\":1.5}}",
                    r.name, r.prefix
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admissionCheck\":true,\"headroom\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            rows.join(",")
        );
        let row = Json::parse(text.as_bytes()).expect("a manifest");
        self.store.put("op", "config", &row);
        let names: Vec<&str> = routes.iter().map(|r| r.name).collect();
        record::line(&format!(
            "operator: manifest {version} is confirmed: routes {}, timeoutMs {timeout_ms}",
            names.join(" ")
        ));
    }

    fn spawn(&mut self, root: &Path, index: usize) -> Result<(), String> {
        let [front, ready, control, metrics] = [(); 4].map(|()| free_addr());
        let store = self.store.listen(index);
        let (name, zone) = (format!("edge-{}-1", ZONES[index]), ZONES[index]);
        let text = format!(
            "node: \"{name}\"\nrole: \"node\"\nclass: \"edge\"\nserves: [\"edge\"]\nip: \"127.0.0.1\"\n\
             zone: \"{zone}\"\nregion: \"region-a\"\n\
             listen:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\n\
             portRange: [{port}, {port}]\nseeds: []\nbootstrap: true\ncountsAsLoss: false\n\
             limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n\
             \x20 linkMbps: 1000.0\n  diskMb: 0\n\
             dataDir: null\nheartbeatMs: 1500\n\
             bounds:\n  contactMs: 3000\n  ackMs: 4000\n  drainMs: 2000\n  graceS: 6\n\
             \x20 configApplyMs: 2000\n  holdMaxMs: 10000\n  stopMs: 900\n  gangWaitMs: 3000\n\
             \x20 cancel_ms: 3000\n  visible_ms: 3000\n  finish_s: 14\n  status_s: 120\n\
             \x20 noticeMs: 4500\n  leaseMs: 3000\n\
             commands: \"invoke\"\n\
             platform:\n  address: \"{store}\"\n  form: \"table\"\n  writesPerS: 800\n\
             \x20 readsPerS: 2000\n  txMs: 8.0\n  partWritesS: 150\n  rowBytes: 65536\n\
             \x20 crossShard: false\n  historyS: 20\n",
            port = metrics.port()
        );
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, text).map_err(|err| err.to_string())?;
        let log = fs::File::create(self.dir.join(format!("{name}.log")));
        let log = log.map_err(|err| err.to_string())?;
        let errors = log.try_clone().map_err(|err| err.to_string())?;
        let child = Command::new(root.join("target/release/gorsespur"))
            .current_dir(root)
            .env("GORSESPUR_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|err| format!("the program doesn't start: {err}"))?;
        record::line(&format!("instance {name} starts as process {}", child.id()));
        self.children.push(child);
        self.fronts.push(front);
        self.metrics.push(metrics);
        Ok(())
    }

    /// Waits until each instance knows the manifest and a small job has been run on each route.
    fn wait_until_serving(&self, routes: &[Route]) -> Result<(), String> {
        let start = Instant::now();
        for (index, _) in self.fronts.iter().enumerate() {
            for route in routes {
                while self.call(index, "GET", route.prefix, "").0 != 200 {
                    if start.elapsed() > START_LIMIT {
                        return Err("an instance doesn't serve".into());
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
        for (index, route) in routes.iter().enumerate() {
            let path = format!("{}00000000000000{:02x}", route.prefix, index + 1);
            let body =
                r#"{"spec":"work 100","steps":[{"count":1,"cpu":500,"memMb":256,"estMs":100}]}"#;
            while self.call(0, "POST", &path, body).0 != 200
                || !self.wait_for_state(&path, "complete", Duration::from_secs(5))
            {
                if start.elapsed() > START_LIMIT {
                    return Err("a first job doesn't run".into());
                }
            }
        }
        Ok(())
    }

    /// Calls an instance, as a requester does; the status is 0 if no answer came in time.
    pub fn call(&self, instance: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let limit = Duration::from_millis(3000);
        let answer = call(self.fronts[instance], method, path, &headers, body, limit);
        let answer = answer.unwrap_or((0, String::new()));
        record::line(&format!(
            "requester: {method} {path} to {}: {} {}",
            ZONES[instance],
            if answer.0 == 0 {
                "no answer".to_owned()
            } else {
                answer.0.to_string()
            },
            answer.1
        ));
        answer
    }

    /// Returns an instance that has not given an order yet, as its metrics say.
    pub fn bystander(&self) -> Option<usize> {
        self.find_by_takeovers(|count| count == 0)
    }

    /// Returns the instance that gives the orders.
    pub fn owner(&self) -> Option<usize> {
        self.find_by_takeovers(|count| count > 0)
    }

    /// Kills an instance.
    pub fn kill(&mut self, instance: usize) {
        record::line(&format!("SIGKILL to the instance of {}", ZONES[instance]));
        let _ = self.children[instance].kill();
    }

    fn find_by_takeovers(&self, fits: impl Fn(u64) -> bool) -> Option<usize> {
        let limit = Duration::from_secs(1);
        (0..self.metrics.len()).find(|&index| {
            let answer = call(self.metrics[index], "GET", "/metrics", &[], "", limit);
            answer.is_some_and(|(_, text)| {
                let line = text.lines().find(|l| l.starts_with(TAKEOVERS));
                let count = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
                count.is_some_and(&fits)
            })
        })
    }

    pub fn wait_for_state(&self, path: &str, state: &str, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self
                .call(0, "GET", path, "")
                .1
                .contains(&format!("\"{state}\""))
            {
                return true;
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Returns what the workers saw of the tasks of one step of a job.
    pub fn seen_of(&self, job: &str, step: usize) -> Vec<Seen> {
        let seen = self.shared.seen.lock().expect("lock");
        let prefix = format!("{job}.0.{step}.");
        let found = seen.iter().filter(|s| s.task.starts_with(&prefix));
        found.cloned().collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
