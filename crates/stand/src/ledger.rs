//! A worker's ledger of starts and ends.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::{Path, PathBuf},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use gorsespur_runtime::clock::wall_ms;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryKind {
    /// A worker began.
    Boot,
    /// A worker was killed; written by whoever killed it.
    Killed,
    /// A task started.
    Start,
    /// A task finished.
    Done,
    /// A task failed.
    Failed,
    /// A task was stopped with a checkpoint.
    Saved,
    /// A task was stopped without a checkpoint.
    Stopped,
    /// A start was refused since there is no room.
    NoRoom,
    /// A start was refused since its lease would have lapsed.
    Stale,
    /// A request ran that may run once only.
    Request,
}

/// An entry of a ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the Unix epoch.
    pub ms: u64,
    /// Worker.
    pub worker: String,
    /// What happened.
    pub what: EntryKind,
    /// Organisation, job and task, or the request's id.
    pub name: String,
    /// Attempt, if a task.
    pub attempt: String,
    /// Whether the task is a replica of a service.
    pub service: bool,
}

/// Why a ledger can't be used.
#[derive(Debug, Snafu)]
pub enum LedgerError {
    /// The file can't be opened or read.
    #[snafu(display("{}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: std::io::Error,
    },
}

/// Appends entries to a file, or keeps them in memory.
#[derive(Debug, Default)]
pub struct Ledger {
    fixed_ms: AtomicU64,
    file: Option<Mutex<File>>,
    entries: Mutex<Vec<Entry>>,
}

impl Ledger {
    /// Opens a file to append to; without one the entries stay in memory.
    pub fn open(path: Option<&Path>) -> Result<Ledger, LedgerError> {
        let Some(path) = path else {
            return Ok(Ledger::default());
        };
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.context(FileSnafu { path })?;
        Ok(Ledger {
            fixed_ms: AtomicU64::new(0),
            file: Some(Mutex::new(file)),
            entries: Mutex::default(),
        })
    }

    /// Sets the time of the entries to come, where no real time passes.
    pub fn set_time(&self, ms: u64) {
        self.fixed_ms.store(ms, Ordering::Release);
    }

    /// Returns the time for an entry: the one that was set, or the wall's.
    pub fn now_ms(&self) -> u64 {
        match self.fixed_ms.load(Ordering::Acquire) {
            0 => wall_ms(),
            ms => ms,
        }
    }

    /// Appends an entry.
    pub fn append(&self, entry: Entry) {
        let Some(file) = &self.file else {
            self.entries
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(entry);
            return;
        };
        let mut line = serde_json::to_vec(&entry).unwrap_or_default();
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(err) = file.write_all(&line) {
            log::error!("ledger: can't write an entry: {err}");
        }
    }

    /// Returns the entries in memory.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Reads the entries of a file; a last line that was cut by a kill is left out.
    pub fn read(path: &Path) -> Result<Vec<Entry>, LedgerError> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let mut entries = Vec::new();
        for line in text.lines() {
            let Ok(entry) = serde_json::from_str(line) else {
                continue;
            };
            entries.push(entry);
        }
        Ok(entries)
    }
}
