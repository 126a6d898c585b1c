//! Writes trace files.

use std::{
    fs::File,
    hash::Hasher,
    io::{BufWriter, Write},
    path::Path,
};

use gorsespur_core::{
    Millis,
    hashing::StableHasher,
    shard::{Action, Event, ShardId, ShardSettings, Takeover},
};
use gorsespur_wire::codec::encode;
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    Frame, Header,
    error::{CodecSnafu, FileSnafu, TraceError},
};

/// Writes a trace to a file, one step at a time.
#[derive(Debug)]
pub struct Recorder {
    out: BufWriter<File>,
    path: std::path::PathBuf,
}

/// Returns a hash of actions that doesn't depend on the process, so that it can be compared with
/// a recorded one.
pub fn hash_actions(actions: &[Action]) -> u64 {
    let mut h = StableHasher::new();
    let bytes = encode(&actions).unwrap_or_default();
    h.write(&bytes);
    h.finish()
}

impl Recorder {
    /// Creates a trace file and writes the initial state of the scheduler as its header.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created or written.
    pub fn create(
        path: &Path,
        place: &ShardId,
        settings: &ShardSettings,
        seed: u64,
        takeover: &Takeover,
        now: Millis,
    ) -> Result<Recorder, TraceError> {
        let file = File::create(path).context(FileSnafu { path })?;
        let mut recorder = Recorder {
            out: BufWriter::new(file),
            path: path.to_owned(),
        };
        recorder.write(&Header {
            place: place.clone(),
            settings: settings.clone(),
            seed,
            takeover: takeover.clone(),
            now,
        })?;
        Ok(recorder)
    }

    /// Appends a step and flushes it.
    ///
    /// Callers should record every step: a tick without actions can still change the state of
    /// the scheduler, and a replay without that tick can then differ.
    ///
    /// # Errors
    ///
    /// Fails if the step can't be encoded or written.
    pub fn add_step(
        &mut self,
        now: Millis,
        event: &Event,
        actions: &[Action],
    ) -> Result<(), TraceError> {
        self.write(&Frame {
            now,
            event: event.clone(),
            actions_hash: hash_actions(actions),
        })
    }

    fn write<T: Serialize>(&mut self, value: &T) -> Result<(), TraceError> {
        let bytes = encode(value).context(CodecSnafu)?;
        let len = (bytes.len() as u32).to_le_bytes();
        let path = &self.path;
        self.out.write_all(&len).context(FileSnafu { path })?;
        self.out.write_all(&bytes).context(FileSnafu { path })?;
        self.out.flush().context(FileSnafu { path })
    }
}
