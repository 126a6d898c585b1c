//! Identifier of one attempt to run a task.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, SeqAccess, Visitor},
    ser::SerializeTuple,
};

/// Number of fields of an [`AttemptId`].
const PARTS: usize = 3;

/// Identifier of one attempt of one task; never reused in its shard.
///
/// Serialized as a tuple of its fields to keep records, exchanges and samples small, since each of
/// them contains it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Number of the job in its shard.
    pub job: u32,
    /// Index of the task in its job.
    pub task: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.task, self.attempt)
    }
}

impl Serialize for AttemptId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(PARTS)?;
        tuple.serialize_element(&self.job)?;
        tuple.serialize_element(&self.task)?;
        tuple.serialize_element(&self.attempt)?;
        tuple.end()
    }
}

struct AttemptVisitor;

impl<'de> Visitor<'de> for AttemptVisitor {
    type Value = AttemptId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("job, task and attempt")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<AttemptId, A::Error> {
        let short = |n| A::Error::invalid_length(n, &"three numbers");
        Ok(AttemptId {
            job: seq.next_element()?.ok_or_else(|| short(0))?,
            task: seq.next_element()?.ok_or_else(|| short(1))?,
            attempt: seq.next_element()?.ok_or_else(|| short(2))?,
        })
    }
}

impl<'de> Deserialize<'de> for AttemptId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<AttemptId, D::Error> {
        deserializer.deserialize_tuple(PARTS, AttemptVisitor)
    }
}
