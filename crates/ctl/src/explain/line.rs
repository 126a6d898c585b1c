//! Log lines.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits in a job id.
const JOB_ID_DIGITS: usize = 16;

/// A log line with its keys about jobs, runs and lease owners; other keys are ignored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogLine {
    /// Time of the line, in milliseconds since the Unix epoch.
    pub ms: u64,
    /// Instance that wrote the line.
    pub node: Arc<str>,
    /// Message, which starts with the name of the component and a colon.
    pub msg: String,
    /// Job id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// Queue of the job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<Arc<str>>,
    /// Task, as `job.time.step.index`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub task: Option<String>,
    /// Number of the run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run: Option<u32>,
    /// Worker of the run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker: Option<Arc<str>>,
    /// Outcome of a run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub how: Option<String>,
    /// Time from when the owner placed or restored a run until its end, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
    /// Time since the last renewal of a lease when it was taken, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// HTTP method of a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// HTTP path of a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// HTTP status of a response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// New pace of a run, in percent of full speed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<u64>,
    /// Outcome of a job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// Kind of work that a refused job would need.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Error text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub err: Option<String>,
    /// Number of dropped lines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
}

impl LogLine {
    /// Parses a line. Text before the JSON object is skipped, since log collectors can add a
    /// prefix. Returns `None` if the line is truncated or was written by another program.
    pub fn parse(text: &str) -> Option<LogLine> {
        let start = text.find('{')?;
        let line: LogLine = serde_json::from_str(&text[start..]).ok()?;
        Some(line).filter(|l| !l.msg.is_empty())
    }

    /// Returns whether the line concerns a job.
    pub fn is_about(&self, job: &str) -> bool {
        self.job_id() == Some(job)
    }

    /// Returns the id of the job that the line concerns, from its job, task or path.
    pub fn job_id(&self) -> Option<&str> {
        let task = || self.task.as_deref()?.split('.').next();
        let path = || self.path.as_deref()?.rsplit('/').next();
        let id = self.job.as_deref().or_else(task).or_else(path)?;
        let digits = id.len() == JOB_ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit());
        digits.then_some(id)
    }
}
