//! The lines of all logs.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::PathBuf,
    sync::Arc,
};

use snafu::ResultExt;

use crate::{
    error::{CtlError, ReadSnafu},
    explain::{
        LogLine,
        timeline::{JobTimeline, LEASE_TAKEN},
    },
};

/// Lines by time, and what could not be read.
#[derive(Debug, Default)]
pub struct CollectedLogs {
    /// The lines, the earliest first.
    pub lines: Vec<LogLine>,
    /// Lines that are cut or of other programs.
    pub unparsed: u64,
    /// Lines that instances dropped, as they say.
    pub dropped: u64,
}

impl CollectedLogs {
    /// Reads files, or standard input if there are none.
    ///
    /// Errors: a file can't be read.
    pub fn read(paths: &[PathBuf]) -> Result<CollectedLogs, CtlError> {
        let mut logs = CollectedLogs::default();
        if paths.is_empty() {
            let path = PathBuf::from("standard input");
            logs.add_log(io::stdin().lock())
                .context(ReadSnafu { path })?;
        }
        for path in paths {
            let file = File::open(path).context(ReadSnafu { path })?;
            logs.add_log(BufReader::new(file))
                .context(ReadSnafu { path })?;
        }
        logs.lines.sort_by_key(|l| l.ms);
        Ok(logs)
    }

    /// Takes the lines of one log.
    pub fn add_log(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut text = Vec::new();
        while log.read_until(b'\n', &mut text)? > 0 {
            match LogLine::parse(&String::from_utf8_lossy(&text)) {
                Some(line) => {
                    self.dropped += line
                        .count
                        .filter(|_| line.msg == "log: lines dropped")
                        .unwrap_or(0);
                    self.lines.push(line);
                }
                None => self.unparsed += 1,
            }
            text.clear();
        }
        Ok(())
    }

    /// Prints how much was read, and what could not be.
    pub(crate) fn print_summary(&self) {
        println!(
            "from {} lines of {} instances; {} lines cut or foreign, {} dropped by instances",
            self.lines.len(),
            self.nodes().len(),
            self.unparsed,
            self.dropped
        );
    }

    /// Returns the lines that tell of a change of owner.
    pub(crate) fn takeovers(&self) -> Vec<&LogLine> {
        self.lines.iter().filter(|l| l.msg == LEASE_TAKEN).collect()
    }

    /// Returns what the logs tell of each job, by its id.
    pub fn timelines(&self) -> Vec<JobTimeline> {
        let mut by_job: Vec<(&str, &LogLine)> = Vec::new();
        for line in &self.lines {
            by_job.extend(line.job_id().map(|job| (job, line)));
        }
        by_job.sort_by_key(|(job, _)| *job);
        let takeovers = self.takeovers();
        let mut timelines = Vec::new();
        for job in by_job.chunk_by(|a, b| a.0 == b.0) {
            let lines: Vec<&LogLine> = job.iter().map(|(_, line)| *line).collect();
            timelines.push(JobTimeline::from_lines(&lines, &takeovers));
        }
        timelines
    }

    /// Returns the instances that wrote something, sorted.
    pub fn nodes(&self) -> Vec<Arc<str>> {
        let mut nodes: Vec<Arc<str>> = self.lines.iter().map(|l| l.node.clone()).collect();
        nodes.retain(|n| !n.is_empty());
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
