//! Identifiers of jobs and tasks.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

const JOB_ID_DIGITS: usize = 16;

/// The error for a text that is not an identifier of a job or a task.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("invalid job or task ID: {text}"))]
pub struct IdError {
    text: String,
}

/// Identifier of a job, chosen by the caller and written as 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<JobId, IdError> {
        let context = IdSnafu { text };
        let digits = text.len() == JOB_ID_DIGITS && text.bytes().all(is_digit);
        let value = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        Ok(JobId(value.context(context)?))
    }
}

fn is_digit(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}

/// Identifier of a task, written as `job.repetition.step.index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Repetition, counted from 0.
    pub repetition: u32,
    /// Step, counted from 0.
    pub step: u32,
    /// Index in the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.repetition, self.step, self.index
        )
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<TaskId, IdError> {
        let mut parts = text.split('.');
        let job = parts.next().context(IdSnafu { text })?.parse()?;
        let mut number = || parts.next()?.parse().ok();
        let (repetition, step, index) = (number(), number(), number());
        let id = TaskId {
            job,
            repetition: repetition.context(IdSnafu { text })?,
            step: step.context(IdSnafu { text })?,
            index: index.context(IdSnafu { text })?,
        };
        match parts.next() {
            None => Ok(id),
            Some(_) => IdSnafu { text }.fail(),
        }
    }
}
