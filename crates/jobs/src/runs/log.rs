//! The log: rows that tell what changed of the jobs' tasks.
//!
//! The load pattern that this answers: thousands of starts and ends a second, each of which
//! changes one task of a job that has a hundred; and a store that takes half a second for a
//! write. What a commit carries follows the tasks that changed: neither the size of their jobs
//! nor the number of jobs that changed.
//!
//! Limits: a new owner reads all rows. So they are bounded by what still holds: the oldest row is
//! dropped once what of it still holds was written anew.

use std::collections::VecDeque;

use crate::{
    model::{
        changes::{Changes, Replayed, RowNumber, StepAt},
        ids::JobId,
        record::{Record, RecordError, TaskRecord},
    },
    sorted_map::SortedMap,
};

/// Bytes of a row at most: the users' store takes 64 KB.
const MAX_ROW_BYTES: usize = 60_000;

/// Rows that one commit appends at most: a transaction holds 1 MB, and text of a third more.
const MAX_APPENDED_ROWS: usize = 8;

/// Rows that one commit drops at most.
const MAX_DROPPED_ROWS: usize = 8;

/// The log is shortened where it is larger than this and twice what still holds, in bytes.
const MIN_COMPACTION_BYTES: usize = 500_000;

/// Bytes that a task takes up in the log, about.
pub(crate) const TASK_BYTES: usize = 64;

/// A row as it is remembered.
#[derive(Debug, Default)]
struct Row {
    bytes: usize,
    /// Jobs that it tells of.
    jobs: Vec<JobId>,
}

/// The log's rows, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Log {
    rows: VecDeque<Row>,
    /// Number of the oldest one.
    first_number: RowNumber,
    bytes: usize,
    /// What earlier owners wrote of jobs that are not restored yet.
    replayed: SortedMap<JobId, Replayed>,
}

impl Log {
    /// Takes the next row that an earlier owner wrote.
    pub(crate) fn replay(&mut self, row: &[u8]) -> Result<(), RecordError> {
        let number = self.next();
        // One that can't be read tells nothing; it is dropped in its turn.
        let changes = Changes::decode_all(row);
        let jobs = changes.iter().flatten().map(|c| c.job).collect();
        self.push(row.len(), jobs);
        for changes in changes? {
            self.replayed
                .or_default(&changes.job)
                .apply(number, changes);
        }
        Ok(())
    }

    /// Returns the record of a job as the log brings it up to date; nothing if neither tells of
    /// the job.
    pub(crate) fn current_record(&self, id: JobId, record: Option<Record>) -> Option<Record> {
        let Some(replayed) = self.replayed.get(&id) else {
            return record;
        };
        let mut record = record.unwrap_or_else(Record::pending);
        replayed.apply_to(&mut record);
        Some(record)
    }

    /// Returns what earlier owners wrote of a job, once.
    pub(crate) fn take_replayed(&mut self, id: JobId) -> Replayed {
        // In its place an empty one stays: thousands of removals would move the rest each time.
        self.replayed
            .get_mut(&id)
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Returns the number of the oldest row and the jobs that it tells of.
    pub(crate) fn oldest(&self) -> Option<(RowNumber, &[JobId])> {
        let row = self.rows.front()?;
        Some((self.first_number, &row.jobs))
    }

    /// Returns how many rows there are.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether the rows are so large that it matters how much of them still holds.
    pub(crate) fn is_large(&self) -> bool {
        self.bytes > MIN_COMPACTION_BYTES
    }

    /// Tells whether the rows are too large for `live` bytes that still hold.
    pub(crate) fn is_too_large(&self, live: usize) -> bool {
        self.bytes > MIN_COMPACTION_BYTES + 2 * live
    }

    /// Drops the oldest row.
    pub(crate) fn drop_oldest(&mut self) {
        if let Some(row) = self.rows.pop_front() {
            self.first_number += 1;
            self.bytes -= row.bytes;
        }
    }

    /// Returns the number of the next row.
    fn next(&self) -> RowNumber {
        self.first_number + self.rows.len() as RowNumber
    }

    fn push(&mut self, bytes: usize, jobs: Vec<JobId>) {
        self.bytes += bytes;
        self.rows.push_back(Row { bytes, jobs });
    }
}

/// The rows of one commit as they are written.
#[derive(Debug)]
pub(crate) struct Appender {
    /// Number of the row that is written.
    number: RowNumber,
    rows: Vec<Vec<u8>>,
    jobs: Vec<Vec<JobId>>,
    /// What is written of one job.
    open_changes: Option<Changes>,
    /// Bytes of that, about.
    pending_bytes: usize,
    dropped: usize,
}

impl Appender {
    /// Begins a commit behind the log's last row.
    pub(crate) fn new(log: &Log) -> Appender {
        Appender {
            number: log.next(),
            rows: vec![Vec::new()],
            jobs: vec![Vec::new()],
            open_changes: None,
            pending_bytes: 0,
            dropped: 0,
        }
    }

    /// Tells whether nothing was written.
    pub(crate) fn is_empty(&self) -> bool {
        self.open_changes.is_none() && self.rows.iter().all(Vec::is_empty)
    }

    /// Tells whether the commit holds as much as it may.
    pub(crate) fn is_full(&self) -> bool {
        self.rows.len() >= MAX_APPENDED_ROWS
            && self.row_bytes() + self.pending_bytes > MAX_ROW_BYTES / 2
    }

    /// Takes note that the commit drops a row.
    pub(crate) fn note_dropped(&mut self) {
        self.dropped += 1;
    }

    /// Returns how many rows the commit drops.
    pub(crate) fn dropped(&self) -> usize {
        self.dropped
    }

    /// Tells whether the commit drops as many rows as it may.
    pub(crate) fn is_drop_limit_reached(&self) -> bool {
        self.dropped >= MAX_DROPPED_ROWS
    }

    /// Writes a step that is done whole; returns its row.
    pub(crate) fn add_step(&mut self, job: JobId, step: StepAt) -> RowNumber {
        self.changes_of(job, TASK_BYTES / 4).steps.push(step);
        self.number
    }

    /// Writes a task as it is now; returns its row.
    pub(crate) fn add_task(&mut self, job: JobId, task: TaskRecord) -> RowNumber {
        let bytes = task.size();
        self.changes_of(job, bytes).tasks.push(task);
        self.number
    }

    /// Returns the job's changes in a row that has room for so many bytes more.
    fn changes_of(&mut self, job: JobId, bytes: usize) -> &mut Changes {
        let is_other_job = self.open_changes.as_ref().is_some_and(|c| c.job != job);
        let is_full = self.row_bytes() + self.pending_bytes + bytes > MAX_ROW_BYTES;
        if is_other_job || is_full {
            self.flush();
        }
        if is_full && self.row_bytes() > 0 {
            self.rows.push(Vec::new());
            self.jobs.push(Vec::new());
            self.number += 1;
        }
        self.pending_bytes += bytes;
        self.open_changes.get_or_insert_with(|| Changes {
            job,
            steps: Vec::new(),
            tasks: Vec::new(),
        })
    }

    /// Ends what is written of one job.
    fn flush(&mut self) {
        self.pending_bytes = 0;
        let Some(changes) = self.open_changes.take() else {
            return;
        };
        if let (Some(row), Some(jobs)) = (self.rows.last_mut(), self.jobs.last_mut()) {
            row.extend(changes.encode());
            jobs.push(changes.job);
        }
    }

    fn row_bytes(&self) -> usize {
        self.rows.last().map_or(0, Vec::len)
    }

    /// Ends the commit: the log remembers its rows, which are returned.
    pub(crate) fn finish(mut self, log: &mut Log) -> Vec<Vec<u8>> {
        self.flush();
        self.rows.retain(|row| !row.is_empty());
        for (row, jobs) in self.rows.iter().zip(self.jobs) {
            log.push(row.len(), jobs);
        }
        self.rows
    }
}
