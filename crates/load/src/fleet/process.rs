//! Child processes.

use std::{
    fs::{File, OpenOptions},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;

use crate::error::{FileSnafu, LoadError, SpawnSnafu};

/// A child process, killed when dropped.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    pub name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts a program and appends its standard error to the file `log`.
    pub fn start(
        program: &Path,
        args: &[String],
        name: &str,
        log: &Path,
    ) -> Result<ChildProcess, LoadError> {
        let opened = OpenOptions::new().create(true).append(true).open(log);
        let file: File = opened.context(FileSnafu { path: log })?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn();
        let program = program.display().to_string();
        let child = child.context(SpawnSnafu { program })?;
        Ok(ChildProcess {
            name: name.to_owned(),
            child,
        })
    }

    fn signal(&self, signal: Signal) {
        let Some(pid) = Pid::from_raw(self.child.id() as i32) else {
            return;
        };
        let _ = kill_process(pid, signal);
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a clean exit with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process to exit. Returns whether its exit code is 0, or `None` if it is still
    /// running after `timeout`.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<bool> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the resident memory in KiB and the CPU time in milliseconds.
    pub fn usage(&self) -> Option<(u64, u64)> {
        let pid = self.child.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        let rss = line.split_whitespace().nth(1)?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let rest = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some((rss, ticks * 10))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            self.resume();
            self.kill();
        }
    }
}
