//! The crashes of workers under a task, as evidence that the task causes them.
//!
//! A crashed worker does not report which of its tasks caused the crash, and most of them did
//! not. So a crash is weighed by the other tasks on the worker, and a task is given up only
//! after crashes that no other task explains.
//!
//! A refused connection or a silence may be a cut, behind which the worker runs on. So a crash is
//! suspected until a later incarnation of the worker confirms it, and is withdrawn if the same
//! incarnation answers again. Suspected crashes isolate a task, but only confirmed ones end its
//! job, since that can't be undone.

use std::{fmt, sync::Arc};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, Visitor},
};

/// A task is given up only after this many crashes that nothing else explains, since a single
/// one may be a coincidence ...
const MIN_OWN_CRASHES: usize = 2;

/// ... and after this many crashes that followed its start or that nothing else explains. As
/// many crashes of a weaker blame make the task a likely cause.
const MIN_CRASHES: usize = 3;

/// After this many crashes that are not explained by the loss of many workers at once, whatever they
/// looked like, the task is given up, since a sixth start is not allowed.
const MAX_CRASHES: usize = 5;

/// After this many crashes of any kind the task is given up, even if many other workers were lost
/// at each of them: a task that crashes its workers may do so among others.
const MAX_COINCIDENCES: usize = 12;

/// How long a run of a suspect is isolated after its worker first reported it. The time doubles
/// with each crash that suggests the task as its cause, so that a task that crashes its workers
/// later is found as well.
const PROBATION_MS: u64 = 1500;

/// Largest encoded size of a crash without the name of the worker: the heads of an array and of
/// two texts, and the name of a blame.
const MAX_CRASH_BYTES: usize = 13;

/// How strongly a worker's crash suggests that a task on it was the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Blame {
    /// Hardly: many workers were lost at once, and the task had run for a while or the machines said
    /// nothing.
    Unseen,
    /// Weakly: the task had run for a while, or had just begun when many workers crashed at once, or
    /// the machine said nothing and may have lost power.
    Shared,
    /// Moderately: the task had just begun, as had others on the worker.
    Close,
    /// Strongly: no other task on the worker had just begun, or there was no other task.
    Own,
}

/// All blames, by their numbers.
const BLAMES: [Blame; 4] = [Blame::Unseen, Blame::Shared, Blame::Close, Blame::Own];

impl Blame {
    /// Returns the name under which the blame is written.
    fn name(self) -> &'static str {
        match self {
            Blame::Unseen => "Unseen",
            Blame::Shared => "Shared",
            Blame::Close => "Close",
            Blame::Own => "Own",
        }
    }
}

/// How certain it is that a worker's incarnation has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// It does not answer.
    Suspected,
    /// A later incarnation has answered in its place.
    Confirmed,
}

/// What a crash shows about a task.
///
/// Written as the name of the blame if the crash is confirmed, and else as its number. Earlier
/// versions wrote names only, and read both.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Charge {
    blame: Blame,
    evidence: Evidence,
}

impl Serialize for Charge {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.evidence {
            Evidence::Confirmed => serializer.serialize_str(self.blame.name()),
            Evidence::Suspected => serializer.serialize_u8(self.blame as u8),
        }
    }
}

impl<'de> Deserialize<'de> for Charge {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Charge, D::Error> {
        deserializer.deserialize_any(ChargeVisitor)
    }
}

/// Reads a [`Charge`].
struct ChargeVisitor;

impl Visitor<'_> for ChargeVisitor {
    type Value = Charge;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the name or the number of a blame")
    }

    fn visit_str<E: de::Error>(self, name: &str) -> Result<Charge, E> {
        let blame = BLAMES.iter().find(|b| b.name() == name);
        let blame = blame.ok_or_else(|| E::invalid_value(de::Unexpected::Str(name), &self))?;
        Ok(Charge {
            blame: *blame,
            evidence: Evidence::Confirmed,
        })
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Charge, E> {
        let blame = usize::try_from(number).ok().and_then(|n| BLAMES.get(n));
        let blame =
            blame.ok_or_else(|| E::invalid_value(de::Unexpected::Unsigned(number), &self))?;
        Ok(Charge {
            blame: *blame,
            evidence: Evidence::Suspected,
        })
    }
}

/// A worker that crashed while a task was on it. Written as an array, to save bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Crash {
    /// Name of the worker's incarnation.
    worker: Arc<str>,
    charge: Charge,
}

/// The workers that crashed under a task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Crashes {
    /// Sorted by worker.
    list: Vec<Crash>,
}

impl Crashes {
    /// Returns whether there are no crashes.
    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the number of crashes.
    pub(crate) fn count(&self) -> usize {
        self.list.len()
    }

    /// Returns an upper bound of the encoded size in bytes, without the head of the list.
    pub(crate) fn size(&self) -> usize {
        let each = self.list.iter().map(|c| c.worker.len() + MAX_CRASH_BYTES);
        each.sum()
    }

    /// Adds a suspected crash. An incarnation of a worker counts once.
    pub(crate) fn add(&mut self, worker: &Arc<str>, blame: Blame) {
        let Err(at) = self.list.binary_search_by(|c| c.worker.cmp(worker)) else {
            return;
        };
        let worker = worker.clone();
        let charge = Charge {
            blame,
            evidence: Evidence::Suspected,
        };
        self.list.insert(at, Crash { worker, charge });
    }

    /// Confirms the crash of an incarnation; returns whether it was only suspected.
    pub(crate) fn confirm(&mut self, worker: &str) -> bool {
        let Ok(at) = self.list.binary_search_by(|c| (*c.worker).cmp(worker)) else {
            return false;
        };
        let evidence = &mut self.list[at].charge.evidence;
        std::mem::replace(evidence, Evidence::Confirmed) == Evidence::Suspected
    }

    /// Returns the names of the incarnations that crashed.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.list.iter().map(|c| &c.worker)
    }

    /// Removes the crash of an incarnation; returns whether there was one.
    pub(crate) fn remove(&mut self, worker: &str) -> bool {
        let found = self.list.binary_search_by(|c| (*c.worker).cmp(worker));
        if let Ok(at) = found {
            self.list.remove(at);
        }
        found.is_ok()
    }

    /// Removes all crashes, after the task has run for long enough to be cleared.
    pub(crate) fn clear(&mut self) {
        self.list.clear();
    }

    /// Returns whether the task may be the cause, so that it has to run in isolation. A worker that
    /// is cut off for long makes no suspects of all its tasks.
    pub(crate) fn is_suspect(&self) -> bool {
        self.is_likely_cause() || self.confirmed(Blame::Unseen) > 1
    }

    /// Returns whether the crashes suggest more than a coincidence.
    pub(crate) fn is_likely_cause(&self) -> bool {
        self.count_at_least(Blame::Close) > 0 || self.confirmed(Blame::Shared) >= MIN_CRASHES
    }

    /// Returns whether the task is the cause, as far as confirmed crashes can prove it.
    pub(crate) fn is_proven_cause(&self) -> bool {
        let own = self.confirmed(Blame::Own);
        let close = self.confirmed(Blame::Close);
        let at_limit = self.confirmed(Blame::Unseen) >= MAX_CRASHES;
        own >= MIN_OWN_CRASHES && close >= MIN_CRASHES
            || at_limit && own > 0 && close > 1
            || self.confirmed(Blame::Shared) >= MAX_CRASHES
            || self.confirmed(Blame::Unseen) >= MAX_COINCIDENCES
    }

    /// Returns whether the task will be given up if its suspected crashes are confirmed.
    pub(crate) fn awaits_verdict(&self) -> bool {
        self.count_at_least(Blame::Shared) >= MAX_CRASHES && !self.is_proven_cause()
    }

    /// Returns the number of confirmed crashes with at least this blame.
    fn confirmed(&self, min_blame: Blame) -> usize {
        let charges = self.list.iter().map(|c| c.charge);
        let confirmed = charges.filter(|c| c.evidence == Evidence::Confirmed);
        confirmed.filter(|c| c.blame >= min_blame).count()
    }

    /// Returns the number of crashes with at least this blame, suspected ones included.
    fn count_at_least(&self, min_blame: Blame) -> usize {
        let charges = self.list.iter().map(|c| c.charge);
        charges.filter(|c| c.blame >= min_blame).count()
    }

    /// Returns how long a run is isolated after its worker first reported it, in milliseconds.
    pub(crate) fn isolation_ms(&self) -> u64 {
        let crashes = self.count_at_least(Blame::Shared);
        let doublings = crashes.clamp(1, MIN_CRASHES * 2) - 1;
        PROBATION_MS << doublings
    }
}
