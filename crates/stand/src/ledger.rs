//! A worker's ledger of starts and ends.
//!
//! The scheduler never writes to ledgers, so that checks of its guarantees can rely
//! on them.

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

/// Kind of a ledger entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryKind {
    /// A worker started.
    Boot,
    /// A worker was killed; the process that kills it appends this entry.
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
    /// A start was refused because the worker lacks capacity.
    NoRoom,
    /// A start was refused because its lease had already expired.
    Stale,
    /// A request that must not be repeated ran.
    Request,
}

/// An entry of a ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time in milliseconds; since the Unix epoch unless [`Ledger::set_time`] was called.
    pub ms: u64,
    /// Name of the worker.
    pub worker: String,
    /// Kind of the entry.
    pub what: EntryKind,
    /// Organisation, job and task, or the id of a request; empty for a worker.
    pub name: String,
    /// Attempt of the task; empty without one.
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
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
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
    /// Opens a file to append to; without a path, entries stay in memory.
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

    /// Fixes the time of later entries, for simulations; 0 returns to the wall clock.
    pub fn set_time(&self, ms: u64) {
        self.fixed_ms.store(ms, Ordering::Release);
    }

    /// Returns the fixed time if one is set, else that of the wall clock.
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

    /// Returns the entries in memory; none if the ledger writes to a file.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Reads the entries of a file.
    ///
    /// Lines that can't be decoded are skipped, since a kill can truncate the last line.
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
