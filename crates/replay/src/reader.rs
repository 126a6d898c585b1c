//! Reads and replays traces.

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
    /// What the machine started from.
    pub header: Header,
    /// The steps.
    pub frames: Vec<Frame>,
}

impl Trace {
    /// Reads a file; a last part that was cut by a kill is left out.
    pub fn read(path: &Path) -> Result<Trace, TraceError> {
        let bytes = std::fs::read(path).context(FileSnafu { path })?;
        let mut rest = &bytes[..];
        let head = next_part(&mut rest).context(EmptySnafu)?;
        let header: Header = decode(head).context(CodecSnafu)?;
        let mut frames = Vec::new();
        while let Some(part) = next_part(&mut rest) {
            frames.push(decode(part).context(CodecSnafu)?);
        }
        Ok(Trace { header, frames })
    }
}

fn next_part<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (len, tail) = rest.split_first_chunk::<4>()?;
    let len = u32::from_le_bytes(*len) as usize;
    let (part, tail) = tail.split_at_checked(len)?;
    *rest = tail;
    Some(part)
}

/// Replays a trace and returns what it led to.
///
/// Errors: a step led to other actions than recorded.
pub fn replay(trace: &Trace) -> Result<Outcome, TraceError> {
    let h = &trace.header;
    let mut machine = ShardScheduler::new(
        h.place.clone(),
        h.settings.clone(),
        h.seed,
        h.takeover.clone(),
        h.now,
    );
    let mut outcome = Outcome::default();
    for (step, frame) in trace.frames.iter().enumerate() {
        let actions = machine.step(frame.now, &frame.event);
        if hash_actions(&actions) != frame.actions {
            let now = frame.now;
            return Err(TraceError::Differs { step, now });
        }
        outcome.count(&actions);
        inspect(&machine, &mut outcome);
    }
    Ok(outcome)
}

/// Looks for broken invariants.
fn inspect(machine: &ShardScheduler, outcome: &mut Outcome) {
    for w in machine.workers() {
        let mut sum = gorsespur_core::size::Size::default();
        for r in &w.allocations {
            sum = sum.saturating_add(&r.size);
            let id = r.attempt;
            let task = machine
                .state()
                .job(id.job)
                .and_then(|j| j.tasks.get(id.task as usize));
            let here = task.is_some_and(|t| {
                t.attempt == id.attempt && t.state == TaskState::Active(w.name.clone())
            });
            outcome.doubled += u64::from(!here);
        }
        let known = w.capacity.cpu > 0;
        outcome.overcommitted += u64::from(known && !sum.fits_in(&w.capacity));
    }
}
