//! Writes traces.

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

/// Writes a trace to a file.
#[derive(Debug)]
pub struct Recorder {
    out: BufWriter<File>,
    path: std::path::PathBuf,
}

/// Returns a hash of actions that is the same in every process.
pub fn hash_actions(actions: &[Action]) -> u64 {
    let mut h = StableHasher::new();
    let bytes = encode(&actions).unwrap_or_default();
    h.write(&bytes);
    h.finish()
}

impl Recorder {
    /// Creates a file and writes what the machine starts from.
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

    /// Adds a step; steps without effect at a tick are left out by the caller
    /// at its own risk, since they may change the machine.
    pub fn add(
        &mut self,
        now: Millis,
        event: &Event,
        actions: &[Action],
    ) -> Result<(), TraceError> {
        self.write(&Frame {
            now,
            event: event.clone(),
            actions: hash_actions(actions),
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
