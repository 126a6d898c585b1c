//! Reads and replays trace files.

use std::path::Path;

use gorsespur_core::shard::{ShardScheduler, TaskState};
use gorsespur_wire::codec::decode;
use snafu::{OptionExt, ResultExt};

use crate::{
    Frame, Header, Outcome,
    error::{CodecSnafu, EmptySnafu, FileSnafu, TraceError},
    recorder::hash_actions,
};

/// A trace in memory.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Initial state of the scheduler.
    pub header: Header,
    /// Recorded steps, in order.
    pub frames: Vec<Frame>,
}

impl Trace {
    /// Reads a trace file. An incomplete frame at the end is ignored, since a recording process
    /// can be killed during a write.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, has no complete header, or contains malformed data.
    pub fn read(path: &Path) -> Result<Trace, TraceError> {
        let bytes = std::fs::read(path).context(FileSnafu { path })?;
        let mut rest = &bytes[..];
        let header_bytes = next_chunk(&mut rest).context(EmptySnafu)?;
        let header: Header = decode(header_bytes).context(CodecSnafu)?;
        let mut frames = Vec::new();
        while let Some(chunk) = next_chunk(&mut rest) {
            frames.push(decode(chunk).context(CodecSnafu)?);
        }
        Ok(Trace { header, frames })
    }
}

/// Splits off the next chunk, which follows its length as a little-endian `u32`. Returns `None` at
/// the end and for an incomplete chunk.
fn next_chunk<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (len, tail) = rest.split_first_chunk::<4>()?;
    let len = u32::from_le_bytes(*len) as usize;
    let (chunk, tail) = tail.split_at_checked(len)?;
    *rest = tail;
    Some(chunk)
}

/// Replays a trace and returns its outcome.
///
/// # Errors
///
/// Fails at the first step whose actions differ from the recorded ones.
pub fn replay(trace: &Trace) -> Result<Outcome, TraceError> {
    let header = &trace.header;
    let mut scheduler = ShardScheduler::new(
        header.place.clone(),
        header.settings.clone(),
        header.seed,
        header.takeover.clone(),
        header.now,
    );
    let mut outcome = Outcome::default();
    for (step, frame) in trace.frames.iter().enumerate() {
        let actions = scheduler.step(frame.now, &frame.event);
        if hash_actions(&actions) != frame.actions_hash {
            let now_ms = frame.now;
            return Err(TraceError::ActionsDiffer { step, now_ms });
        }
        outcome.count(&actions);
        count_violations(&scheduler, &mut outcome);
    }
    Ok(outcome)
}

/// Counts violations of the invariants after a step.
fn count_violations(scheduler: &ShardScheduler, outcome: &mut Outcome) {
    for worker in scheduler.workers() {
        let mut used = gorsespur_core::size::Size::default();
        for resident in &worker.allocations {
            used = used.saturating_add(&resident.size);
            let id = resident.attempt;
            let task = scheduler
                .state()
                .job(id.job)
                .and_then(|j| j.tasks.get(id.task as usize));
            let is_current = task.is_some_and(|t| {
                t.attempt == id.attempt && t.state == TaskState::Active(worker.name.clone())
            });
            outcome.doubled += u64::from(!is_current);
        }
        let is_size_known = worker.capacity.cpu > 0;
        outcome.overcommitted += u64::from(is_size_known && !used.fits_in(&worker.capacity));
    }
}
