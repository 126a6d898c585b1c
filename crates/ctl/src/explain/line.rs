//! One line of a log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Digits of a job's id.
const JOB_ID_DIGITS: usize = 16;

/// One line of a log, with the fields that tell of jobs, runs and owners.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Time of day in milliseconds since 1970.
    pub ms: u64,
    /// The instance that wrote it.
    pub node: Arc<str>,
    /// What happened: a part's prefix and a few words.
    pub msg: String,
    /// The job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// The queue of a job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<Arc<str>>,
    /// The task, written `job.time.step.index`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<String>,
    /// Number of the run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run: Option<u32>,
    /// The worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker: Option<Arc<str>>,
    /// How a run ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub how: Option<String>,
    /// For how long a run was known when it ended, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
    /// For how long the lease had not been renewed when it was taken, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// Method of a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Path of a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Status of an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Pace that a run was told, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<u64>,
    /// What became of a job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// An error.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub err: Option<String>,
    /// Lines that were dropped.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
}

impl LogLine {
    /// Reads a line; collectors may have put something before the object. Nothing if it is
    /// cut or foreign.
    pub fn parse(text: &str) -> Option<LogLine> {
        let start = text.find('{')?;
        let line: LogLine = serde_json::from_str(&text[start..]).ok()?;
        Some(line).filter(|l| !l.msg.is_empty())
    }

    /// Tells whether it is about a job.
    pub fn is_about(&self, job: &str) -> bool {
        self.job_id() == Some(job)
    }

    /// Returns the job that it is about, if it is about one.
    pub fn job_id(&self) -> Option<&str> {
        let task = || self.task.as_deref()?.split('.').next();
        let path = || self.path.as_deref()?.rsplit('/').next();
        let id = self.job.as_deref().or_else(task).or_else(path)?;
        let digits = id.len() == JOB_ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit());
        digits.then_some(id)
    }
}
