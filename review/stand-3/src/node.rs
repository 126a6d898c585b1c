//! Instances of the real program as separate processes, and what the platform does to them.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::record::Record;

/// Time after which the platform starts a process that has ended again.
const RESTART_AFTER: Duration = Duration::from_secs(2);

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Most memory in MB that the platform lets the process have.
    memory_mb: u64,
    /// The highest memory seen, in MB, and how often the platform killed the process for it.
    pub peak_mb: AtomicU64,
    pub over_memory: AtomicU64,
    record: Arc<Record>,
}

/// Range of the ports that instances listen on: below those that the system gives to outgoing
/// connections, which would take a port between the check and the start.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 18_000;

/// Number of ports that were tried.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Returns an address whose TCP and UDP ports are free.
fn free_addr() -> SocketAddr {
    let first = process::id().wrapping_mul(97) as u16;
    loop {
        let offset = first.wrapping_add(TRIED.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Settings of a small installation beyond addresses.
pub struct Site {
    pub cpu_share: f64,
    pub memory_mb: u64,
}

impl Node {
    pub fn start(
        root: &Path,
        dir: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        site: &Site,
        record: &Arc<Record>,
    ) -> Arc<Node> {
        let (front, ready, control, own) = (free_addr(), free_addr(), free_addr(), free_addr());
        let text = format!(
            "node: \"{name}\"\nrole: \"node\"\nclass: \"edge\"\nserves:\n  - \"edge\"\n\
             ip: \"127.0.0.1\"\nzone: \"{zone}\"\nregion: \"r\"\nzones:\n  {zone}: \"r\"\n\
             listen:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\n\
             portRange:\n  - {port}\n  - {port}\nseeds: []\nbootstrap: true\n\
             limits:\n  cpuShare: {share}\n  cores: 1\n  memoryMb: {memory}\n  maxFds: 4100\n\
             \x20 linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\n\
             entry: \"vip\"\nheartbeatMs: 1500\n\
             bounds:\n  contactMs: 3000\n  ackMs: 4000\n  drainMs: 2000\n  graceS: 6\n\
             \x20 lossSlackMs: 200\n  configApplyMs: 2000\n  downgradeMs: 250\n  recoveryS: 12\n\
             \x20 holdMaxMs: 10000\n  stopMs: 900\n  gangWaitMs: 3000\n  cancel_ms: 3000\n\
             \x20 visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n\
             \x20 checkpointS: 0.5\n  restoreMs: 250\n  noticeMs: 4500\n  paceMs: 100\n\
             \x20 harmMs: 4000\n  requireFence: false\n  leaseMs: 3000\ncommands: \"invoke\"\n\
             platform:\n  address: \"{store}\"\n  form: \"table\"\n  writesPerS: 800\n\
             \x20 readsPerS: 2000\n  txMs: 8.0\n  partWritesS: 150\n  rowBytes: 65536\n\
             \x20 crossShard: false\n  historyS: 20\n",
            port = own.port(),
            share = site.cpu_share,
            memory = site.memory_mb,
        );
        let settings = dir.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings");
        let node = Arc::new(Node {
            name: name.to_owned(),
            front,
            ready,
            program: root.join("target/release/gorsespur"),
            settings,
            log: dir.join(format!("{name}.log")),
            child: Mutex::default(),
            memory_mb: site.memory_mb,
            peak_mb: AtomicU64::new(0),
            over_memory: AtomicU64::new(0),
            record: record.clone(),
        });
        node.spawn();
        node
    }

    /// Starts the process as the deploy file does: without arguments, with the settings' path.
    pub fn spawn(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let child = Command::new(&self.program)
            .env("GORSESPUR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.note(&format!(
            "node  {} started, process {}",
            self.name,
            child.id()
        ));
        *self.child.lock().expect("lock") = Some(child);
    }

    /// Kills the process with SIGKILL; the platform starts it again.
    pub fn kill(&self, why: &str) {
        let mut child = self.child.lock().expect("lock");
        if let Some(child) = child.as_mut() {
            self.record
                .note(&format!("node  {} SIGKILL: {why}", self.name));
            child.kill().expect("own process");
        }
    }

    /// Ends the process for good.
    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().expect("lock").take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn memory(&self) -> Option<u64> {
        let child = self.child.lock().expect("lock");
        let id = child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace()
            .nth(1)?
            .parse::<u64>()
            .ok()
            .map(|kb| kb / 1024)
    }

    /// Does what the platform does until `stop`: kills the process while it is over its memory, and
    /// starts it again when it has ended.
    pub fn watch(self: &Arc<Node>, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let (node, stop) = (self.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
                if let Some(mb) = node.memory() {
                    node.peak_mb.fetch_max(mb, Ordering::Relaxed);
                    if mb > node.memory_mb {
                        node.over_memory.fetch_add(1, Ordering::Relaxed);
                        node.kill(&format!(
                            "its memory is {mb} MB, over memoryMb {}",
                            node.memory_mb
                        ));
                    }
                }
                let mut child = node.child.lock().expect("lock");
                let ended = child
                    .as_mut()
                    .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))));
                drop(child);
                if ended {
                    node.record.note(&format!("node  {} has ended", node.name));
                    thread::sleep(RESTART_AFTER);
                    if !stop.load(Ordering::Relaxed) {
                        node.spawn();
                    }
                }
            }
        })
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}
