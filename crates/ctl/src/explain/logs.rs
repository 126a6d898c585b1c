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
        Line,
        timeline::{Story, TAKEN},
    },
};

/// Lines by time, and what could not be read.
#[derive(Debug, Default)]
pub struct Book {
    /// The lines, the earliest first.
    pub lines: Vec<Line>,
    /// Lines that are cut or of other programs.
    pub foreign: u64,
    /// Lines that instances dropped, as they say.
    pub dropped: u64,
}

impl Book {
    /// Reads files, or standard input if there are none.
    ///
    /// Errors: a file can't be read.
    pub fn read(paths: &[PathBuf]) -> Result<Book, CtlError> {
        let mut book = Book::default();
        if paths.is_empty() {
            let path = PathBuf::from("standard input");
            book.take(io::stdin().lock()).context(ReadSnafu { path })?;
        }
        for path in paths {
            let file = File::open(path).context(ReadSnafu { path })?;
            book.take(BufReader::new(file))
                .context(ReadSnafu { path })?;
        }
        book.lines.sort_by_key(|l| l.ms);
        Ok(book)
    }

    /// Takes the lines of one log.
    pub fn take(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut text = Vec::new();
        while log.read_until(b'\n', &mut text)? > 0 {
            match Line::parse(&String::from_utf8_lossy(&text)) {
                Some(line) => {
                    self.dropped += line
                        .count
                        .filter(|_| line.msg == "log: lines dropped")
                        .unwrap_or(0);
                    self.lines.push(line);
                }
                None => self.foreign += 1,
            }
            text.clear();
        }
        Ok(())
    }

    /// Prints how much was read, and what could not be.
    pub(crate) fn print_size(&self) {
        println!(
            "from {} lines of {} instances; {} lines cut or foreign, {} dropped by instances",
            self.lines.len(),
            self.nodes().len(),
            self.foreign,
            self.dropped
        );
    }

    /// Returns the lines that tell of a change of owner.
    pub(crate) fn takeovers(&self) -> Vec<&Line> {
        self.lines.iter().filter(|l| l.msg == TAKEN).collect()
    }

    /// Returns what the logs tell of each job, by its id.
    pub fn stories(&self) -> Vec<Story> {
        let mut about: Vec<(&str, &Line)> = Vec::new();
        for line in &self.lines {
            about.extend(line.about().map(|job| (job, line)));
        }
        about.sort_by_key(|(job, _)| *job);
        let takeovers = self.takeovers();
        let mut stories = Vec::new();
        for job in about.chunk_by(|a, b| a.0 == b.0) {
            let lines: Vec<&Line> = job.iter().map(|(_, line)| *line).collect();
            stories.push(Story::told(&lines, &takeovers));
        }
        stories
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
