//! Names of jobs and tasks.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// Digits of a job's name.
const JOB_ID_DIGITS: usize = 16;

/// Why a text is no name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("not a name of a job or task: {text}"))]
pub struct IdError {
    text: String,
}

/// A job's name: 16 hexadecimal digits in lower case, chosen by its caller.
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

/// A task's name, written `job.time.step.index`.
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
