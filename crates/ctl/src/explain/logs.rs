//! Collected logs of all instances.

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

/// Lines of all logs, and counts of lines that are missing.
#[derive(Debug, Default)]
pub struct CollectedLogs {
    /// Parsed lines; [`CollectedLogs::read`] sorts them by time.
    pub lines: Vec<LogLine>,
    /// Number of lines that are truncated or were written by other programs.
    pub unparsed: u64,
    /// Number of lines that instances dropped, according to their own log lines.
    pub dropped: u64,
}

impl CollectedLogs {
    /// Reads log files, or standard input if no path is given.
    ///
    /// # Errors
    ///
    /// Fails if an input can't be read.
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

    /// Adds the lines of one log, without sorting.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read; lines that can't be parsed are only counted.
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

    /// Prints how many lines were read, were not parsed and were dropped.
    pub(crate) fn print_summary(&self) {
        println!(
            "from {} lines of {} instances; {} lines cut or foreign, {} dropped by instances",
            self.lines.len(),
            self.nodes().len(),
            self.unparsed,
            self.dropped
        );
    }

    /// Returns the lines that report a lease taken by another instance.
    pub(crate) fn takeovers(&self) -> Vec<&LogLine> {
        self.lines.iter().filter(|l| l.msg == LEASE_TAKEN).collect()
    }

    /// Returns the timelines of all jobs, sorted by job id.
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

    /// Returns the names of the instances that wrote lines, sorted.
    pub fn nodes(&self) -> Vec<Arc<str>> {
        let mut nodes: Vec<Arc<str>> = self.lines.iter().map(|l| l.node.clone()).collect();
        nodes.retain(|n| !n.is_empty());
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
