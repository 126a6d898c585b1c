//! Starting, stopping and fault injection of the fleet.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use gorsespur_core::{name::Name, shard::WorkerInfo, size::Size};
use gorsespur_runtime::{client::Call, clock::wall_ms};
use gorsespur_stand::{Entry, EntryKind, Ledger, PlatformFaults, WorkerFaults};
use gorsespur_wire::{
    codec::encode,
    members::{InstanceInfo, MemberList},
};
use snafu::ResultExt;

use super::{ChildProcess, FleetSize, plan::FleetPlan, settings};
use crate::{
    args::TrialArgs,
    error::{FileSnafu, LedgerSnafu, LoadError, SpawnSnafu},
};

/// Size of a stand-in worker: 30 cores and 125 GiB.
const WORKER_CORES: u64 = 30;
const WORKER_MEMORY_MIB: u64 = 128_000;

/// Timeout for each part of the fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for one process to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The running processes of the system and its stand-ins.
pub(crate) struct Fleet {
    pub plan: FleetPlan,
    _platform: ChildProcess,
    pub entries: Vec<ChildProcess>,
    pub scheds: Vec<ChildProcess>,
    pub workers: Vec<ChildProcess>,
    args: TrialArgs,
    bin: PathBuf,
    leaving: Vec<String>,
    removed: Vec<String>,
}

impl Fleet {
    /// Empties the output directory, starts all processes, applies the templates of both
    /// organisations and waits until their services answer.
    pub fn start(args: &TrialArgs, size: &FleetSize) -> Result<Fleet, LoadError> {
        let bin = match &args.bin {
            Some(bin) => bin.clone(),
            None => program_dir()?,
        };
        let out = &args.out;
        let _ = fs::remove_dir_all(out);
        for dir in ["settings", "logs", "ledgers", "traces"] {
            let path = out.join(dir);
            fs::create_dir_all(&path).context(FileSnafu { path })?;
        }
        let plan = FleetPlan::new(size)?;
        let platform = start_platform(&bin, out, &plan, args.seed)?;
        let mut fleet = Fleet {
            plan,
            _platform: platform,
            entries: Vec::new(),
            scheds: Vec::new(),
            workers: Vec::new(),
            args: args.clone(),
            bin,
            leaving: Vec::new(),
            removed: Vec::new(),
        };
        fleet.wait_for("platform", |f| f.set_members().is_some())?;
        for i in 0..fleet.plan.workers.len() {
            let worker = fleet.start_worker(i)?;
            fleet.workers.push(worker);
        }
        for i in 0..fleet.plan.scheds.len() {
            let sched = fleet.start_sched(i)?;
            fleet.scheds.push(sched);
        }
        for i in 0..fleet.plan.entries.len() {
            let entry = fleet.start_entry(i)?;
            fleet.entries.push(entry);
        }
        for name in ["weld", "taipei"] {
            fleet.apply_template(&args.templates.join(format!("{name}.yaml")), 0)?;
        }
        fleet.wait_for("entries", |f| {
            let entries = &f.plan.entries;
            entries
                .iter()
                .all(|e| get_status(e.caller_addr, "/readyz") == Some(200))
        })?;
        fleet.wait_for("services", |f| f.services_answer())?;
        Ok(fleet)
    }

    fn wait_for(&self, what: &str, is_ready: impl Fn(&Fleet) -> bool) -> Result<(), LoadError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !is_ready(self) {
            if Instant::now() >= deadline {
                let what = what.to_owned();
                return Err(LoadError::NotReady { what });
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    fn services_answer(&self) -> bool {
        let mut ok = true;
        for e in &self.plan.entries {
            for path in ["/s/weld/qualification/ready", "/s/taipei/booking/ready"] {
                ok = ok && get_status(e.caller_addr, path) == Some(200);
            }
        }
        ok
    }

    /// Starts the worker at index `i` of the plan.
    pub fn start_worker(&self, i: usize) -> Result<ChildProcess, LoadError> {
        let w = &self.plan.workers[i];
        let platform_addr = self.platform_addr(&w.zone);
        let args = [
            "worker".to_owned(),
            format!("--name={}", w.name),
            format!("--addr={}", w.addr),
            format!("--target={}", w.target_addr),
            format!("--objects={platform_addr}"),
            format!("--cores={WORKER_CORES}"),
            format!("--memory={WORKER_MEMORY_MIB}"),
            format!("--table-seed={}", self.args.seed),
            format!("--ledger={}", self.ledger_path(&w.name).display()),
        ];
        self.start_process("gorsespur-stand", &args, &w.name)
    }

    /// Starts the scheduler at index `i` of the plan.
    pub fn start_sched(&self, i: usize) -> Result<ChildProcess, LoadError> {
        let instance = &self.plan.scheds[i];
        let settings_path =
            self.write_settings(&instance.id, &settings::sched(&self.plan, instance))?;
        let mut args = vec![format!("--settings={}", settings_path.display())];
        if self.args.record {
            args.push(format!(
                "--record={}",
                self.args.out.join("traces").display()
            ));
        }
        self.start_process("gorsespur-sched", &args, &instance.id)
    }

    /// Starts the entry at index `i` of the plan.
    pub fn start_entry(&self, i: usize) -> Result<ChildProcess, LoadError> {
        let instance = &self.plan.entries[i];
        let settings_path =
            self.write_settings(&instance.id, &settings::entry(&self.plan, instance))?;
        let args = [format!("--settings={}", settings_path.display())];
        self.start_process("gorsespur-entry", &args, &instance.id)
    }

    fn write_settings(&self, id: &str, text: &str) -> Result<PathBuf, LoadError> {
        let path = self.args.out.join("settings").join(format!("{id}.yaml"));
        fs::write(&path, text).context(FileSnafu { path: &path })?;
        Ok(path)
    }

    fn start_process(
        &self,
        program: &str,
        args: &[String],
        name: &str,
    ) -> Result<ChildProcess, LoadError> {
        let log = self.args.out.join("logs").join(format!("{name}.log"));
        ChildProcess::start(&self.bin.join(program), args, name, &log)
    }

    /// Returns the path of a worker's ledger.
    pub fn ledger_path(&self, worker: &str) -> PathBuf {
        self.args
            .out
            .join("ledgers")
            .join(format!("{worker}.jsonl"))
    }

    /// Returns the platform's address in a zone.
    pub fn platform_addr(&self, zone: &str) -> SocketAddr {
        let i = self.plan.zones.iter().position(|z| z == zone).unwrap_or(0);
        self.plan.platform_addrs[i]
    }

    /// Applies a template on top of version `base_version`.
    pub fn apply_template(&self, file: &Path, base_version: u64) -> Result<(), LoadError> {
        self.apply_template_avoiding(file, base_version, &[])
    }

    /// Applies a template through a zone that is not in `cut_zones`.
    pub fn apply_template_avoiding(
        &self,
        file: &Path,
        base_version: u64,
        cut_zones: &[String],
    ) -> Result<(), LoadError> {
        let zone_index = self.plan.zones.iter().position(|z| !cut_zones.contains(z));
        let platform_addr = self.plan.platform_addrs[zone_index.unwrap_or(0)];
        let program = self.bin.join("gorsespur-ctl");
        let output = Command::new(&program)
            .arg(format!("--table={platform_addr}"))
            .args(["apply", "--who=trial", &format!("--on={base_version}")])
            .arg(file)
            .output();
        let output = output.context(SpawnSnafu {
            program: program.display().to_string(),
        })?;
        if output.status.success() {
            return Ok(());
        }
        let message = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        Err(LoadError::Ctl { message })
    }

    /// Sends the membership list to the platform. Returns `None` if that fails.
    pub fn set_members(&self) -> Option<()> {
        let mut list = MemberList::default();
        for i in self.plan.entries.iter().chain(&self.plan.scheds) {
            list.instances.push(InstanceInfo {
                id: Name::from(&*i.id),
                role: i.role,
                zone: Name::from(&*i.zone),
                addr: i.peer_addr,
                leaving: self.leaving.contains(&i.id),
            });
        }
        for w in &self.plan.workers {
            if self.removed.contains(&w.name) {
                continue;
            }
            list.workers.push(WorkerInfo {
                name: Name::from(&*w.name),
                zone: Name::from(&*w.zone),
                rack: Name::from(&*w.rack),
                addr: w.addr,
                target: w.target_addr,
                size: Size::new(WORKER_CORES * 1000, WORKER_MEMORY_MIB << 20, 0),
                leaving: self.leaving.contains(&w.name),
            });
        }
        let body = encode(&list).ok()?;
        let answer = Call::new("POST", self.plan.platform_addrs[0], "/members/set")
            .body(body)
            .send();
        (answer.ok()?.status == 200).then_some(())
    }

    /// Replaces the faults that the platform injects.
    pub fn set_platform_faults(&self, faults: &PlatformFaults) {
        post_json(self.plan.platform_addrs[0], faults);
    }

    /// Replaces the faults that a worker injects.
    pub fn set_worker_faults(&self, i: usize, faults: &WorkerFaults) {
        post_json(self.plan.workers[i].addr, faults);
    }

    /// Kills a worker, records the kill in its ledger, and then removes the worker from the
    /// membership list.
    pub fn kill_worker(&mut self, i: usize) -> Result<(), LoadError> {
        self.workers[i].kill();
        let name = self.plan.workers[i].name.clone();
        let path = self.ledger_path(&name);
        let ledger = Ledger::open(Some(&path)).context(LedgerSnafu)?;
        ledger.append(Entry {
            ms: wall_ms(),
            worker: name.clone(),
            what: EntryKind::Killed,
            name: String::new(),
            attempt: String::new(),
            service: false,
        });
        self.removed.push(name);
        self.set_members();
        Ok(())
    }

    /// Marks a worker as leaving in the membership list.
    pub fn mark_leaving(&mut self, i: usize) {
        self.leaving.push(self.plan.workers[i].name.clone());
        self.set_members();
    }

    /// Reads the entries of all ledgers.
    pub fn read_ledgers(&self) -> Result<Vec<Entry>, LoadError> {
        let mut out = Vec::new();
        for w in &self.plan.workers {
            let path = self.ledger_path(&w.name);
            if path.exists() {
                out.extend(Ledger::read(&path).context(LedgerSnafu)?);
            }
        }
        Ok(out)
    }

    /// Terminates the instances of the system. Returns the names of those that do not exit with
    /// code 0 in time.
    pub fn stop_instances(&mut self) -> Vec<String> {
        let mut failed = Vec::new();
        let instances = self.entries.iter_mut().chain(self.scheds.iter_mut());
        let mut instances: Vec<&mut ChildProcess> = instances.collect();
        for instance in &instances {
            instance.terminate();
        }
        for instance in &mut instances {
            if instance.wait_for_exit(STOP_TIMEOUT) != Some(true) {
                failed.push(instance.name.clone());
            }
        }
        failed
    }
}

fn program_dir() -> Result<PathBuf, LoadError> {
    let path = std::env::current_exe().context(FileSnafu {
        path: "gorsespur-load",
    })?;
    Ok(path.parent().map(Path::to_owned).unwrap_or_default())
}

fn start_platform(
    bin: &Path,
    out: &Path,
    plan: &FleetPlan,
    seed: u64,
) -> Result<ChildProcess, LoadError> {
    let mut args = vec!["platform".to_owned(), format!("--seed={seed}")];
    for (zone, addr) in plan.zones.iter().zip(&plan.platform_addrs) {
        args.push(format!("--gate={zone}={addr}"));
    }
    let log = out.join("logs").join("platform.log");
    ChildProcess::start(&bin.join("gorsespur-stand"), &args, "platform", &log)
}

fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    let answer = Call::new("GET", addr, path).send().ok()?;
    Some(answer.status)
}

fn post_json<T: serde::Serialize>(addr: SocketAddr, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let _ = Call::new("POST", addr, "/faults").body(body).send();
}
