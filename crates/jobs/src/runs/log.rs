//! The log: rows with the changes of jobs' tasks.
//!
//! Thousands of runs start and end in a second, each of which changes one task of a job with a
//! hundred tasks, and the store takes half a second for a write. The size of a commit grows with
//! the number of changed tasks, neither with the size of their jobs nor with the number of changed
//! jobs.
//!
//! Limits: a new owner reads all rows, so their size is bounded by the entries that are still
//! valid. The oldest row is dropped once its valid entries were written again.

use std::collections::VecDeque;

use crate::{
    model::{
        changes::{Changes, Replayed, RowNumber, StepAt},
        ids::JobId,
        record::{Record, RecordError, TaskRecord},
    },
    sorted_map::SortedMap,
};

/// Largest encoded size of a job's changes without the steps and tasks: heads of three arrays, and
/// the job's ID.
const MAX_CHANGES_BYTES: usize = 20;

/// Rows that one commit appends at most: a transaction holds 1 MB, and text takes a third more.
const MAX_APPENDED_ROWS: usize = 8;

/// Rows that one commit drops at most.
const MAX_DROPPED_ROWS: usize = 8;

/// The log is compacted once it is larger than this plus twice the size of its valid entries.
const MIN_COMPACTION_BYTES: usize = 500_000;

/// Approximate size of a task in the log.
pub(crate) const TASK_BYTES: usize = 64;

/// The metadata of a row.
#[derive(Debug, Default)]
struct Row {
    bytes: usize,
    /// Jobs with entries in the row.
    jobs: Vec<JobId>,
}

/// The rows of the log, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Log {
    rows: VecDeque<Row>,
    /// Number of the oldest row.
    first_number: RowNumber,
    bytes: usize,
    /// Entries by earlier owners for jobs that are not restored yet.
    replayed: SortedMap<JobId, Replayed>,
}

impl Log {
    /// Adds the next row that an earlier owner wrote. Fails if the row can't be decoded.
    pub(crate) fn replay(&mut self, row: &[u8]) -> Result<(), RecordError> {
        let number = self.next();
        // A row that can't be decoded has no entries; it is dropped in its turn.
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

    /// Returns the record of a job as updated by the log, or `None` if neither mentions the job.
    pub(crate) fn current_record(&self, id: JobId, record: Option<Record>) -> Option<Record> {
        let Some(replayed) = self.replayed.get(&id) else {
            return record;
        };
        let mut record = record.unwrap_or_else(Record::pending);
        replayed.apply_to(&mut record);
        Some(record)
    }

    /// Removes and returns the entries by earlier owners for a job.
    pub(crate) fn take_replayed(&mut self, id: JobId) -> Replayed {
        // Leaves an empty value, since each of thousands of removals would move the entries behind
        // it.
        self.replayed
            .get_mut(&id)
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Returns the number of the oldest row and the jobs with entries in it.
    pub(crate) fn oldest(&self) -> Option<(RowNumber, &[JobId])> {
        let row = self.rows.front()?;
        Some((self.first_number, &row.jobs))
    }

    /// Returns the jobs with entries in a row.
    pub(crate) fn jobs(&self, number: RowNumber) -> &[JobId] {
        let at = number.checked_sub(self.first_number);
        let row = at.and_then(|at| self.rows.get(at as usize));
        row.map_or(&[], |r| &r.jobs)
    }

    /// Records that a row was rejected by the store, which holds an empty row in its place.
    pub(crate) fn clear_row(&mut self, number: RowNumber) {
        let at = number.checked_sub(self.first_number);
        let row = at.and_then(|at| self.rows.get_mut(at as usize));
        if let Some(row) = row {
            self.bytes -= row.bytes;
            *row = Row::default();
        }
    }

    /// Returns the number of rows.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the log is so large that the size of its valid entries matters.
    pub(crate) fn is_large(&self) -> bool {
        self.bytes > MIN_COMPACTION_BYTES
    }

    /// Returns whether the log is too large for `live` bytes of valid entries.
    pub(crate) fn is_too_large(&self, live: usize) -> bool {
        self.bytes > MIN_COMPACTION_BYTES + 2 * live
    }

    pub(crate) fn drop_oldest(&mut self) {
        if let Some(row) = self.rows.pop_front() {
            self.first_number += 1;
            self.bytes -= row.bytes;
        }
    }

    /// Returns the number of the next row.
    pub(crate) fn next(&self) -> RowNumber {
        self.first_number + self.rows.len() as RowNumber
    }

    fn push(&mut self, bytes: usize, jobs: Vec<JobId>) {
        self.bytes += bytes;
        self.rows.push_back(Row { bytes, jobs });
    }
}

/// The rows of one commit while they are written.
#[derive(Debug)]
pub(crate) struct Appender {
    /// Number of the row that is being written.
    number: RowNumber,
    rows: Vec<Vec<u8>>,
    jobs: Vec<Vec<JobId>>,
    /// Changes of the current job that are not encoded yet.
    open_changes: Option<Changes>,
    /// Approximate size of these changes.
    pending_bytes: usize,
    dropped: usize,
    /// Largest size of a row.
    max_row_bytes: usize,
}

impl Appender {
    /// Starts a commit after the log's last row, with rows of at most `max_row_bytes`.
    pub(crate) fn new(log: &Log, max_row_bytes: usize) -> Appender {
        Appender {
            max_row_bytes,
            number: log.next(),
            rows: vec![Vec::new()],
            jobs: vec![Vec::new()],
            open_changes: None,
            pending_bytes: 0,
            dropped: 0,
        }
    }

    /// Returns whether nothing was written.
    pub(crate) fn is_empty(&self) -> bool {
        self.open_changes.is_none() && self.rows.iter().all(Vec::is_empty)
    }

    /// Returns whether the commit is as large as it may be.
    pub(crate) fn is_full(&self) -> bool {
        self.rows.len() >= MAX_APPENDED_ROWS
            && self.row_bytes() + self.pending_bytes > self.max_row_bytes / 2
    }

    /// Begins a row for a single job; returns false if the commit has no room for one.
    pub(crate) fn begin_own_row(&mut self) -> bool {
        if self.rows.len() >= MAX_APPENDED_ROWS {
            return false;
        }
        self.end_row();
        true
    }

    /// Ends the row that is being written, unless it is empty.
    pub(crate) fn end_row(&mut self) {
        self.flush();
        if self.row_bytes() > 0 {
            self.rows.push(Vec::new());
            self.jobs.push(Vec::new());
            self.number += 1;
        }
    }

    /// Records that the commit drops a row.
    pub(crate) fn record_dropped_row(&mut self) {
        self.dropped += 1;
    }

    /// Returns how many rows the commit drops.
    pub(crate) fn dropped(&self) -> usize {
        self.dropped
    }

    /// Returns whether the commit drops as many rows as it may.
    pub(crate) fn is_drop_limit_reached(&self) -> bool {
        self.dropped >= MAX_DROPPED_ROWS
    }

    /// Writes a step whose tasks are all done; returns the number of its row.
    pub(crate) fn add_step(&mut self, job: JobId, step: StepAt) -> RowNumber {
        self.changes_of(job, TASK_BYTES / 4).steps.push(step);
        self.number
    }

    /// Writes the current state of a task; returns the number of its row.
    pub(crate) fn add_task(&mut self, job: JobId, task: TaskRecord) -> RowNumber {
        let bytes = task.size();
        self.changes_of(job, bytes).tasks.push(task);
        self.number
    }

    /// Returns the open changes of a job, in a row that has room for `bytes` more.
    fn changes_of(&mut self, job: JobId, bytes: usize) -> &mut Changes {
        let is_other_job = self.open_changes.as_ref().is_some_and(|c| c.job != job);
        let added = bytes + MAX_CHANGES_BYTES;
        let is_full = self.row_bytes() + self.pending_bytes + added > self.max_row_bytes;
        if is_full {
            self.end_row();
        } else if is_other_job {
            self.flush();
        }
        if self.open_changes.is_none() {
            self.pending_bytes = MAX_CHANGES_BYTES;
        }
        self.pending_bytes += bytes;
        self.open_changes.get_or_insert_with(|| Changes {
            job,
            steps: Vec::new(),
            tasks: Vec::new(),
        })
    }

    /// Encodes the open changes into the row.
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

    /// Ends the commit: adds its rows to the log and returns them.
    pub(crate) fn finish(mut self, log: &mut Log) -> Vec<Vec<u8>> {
        self.flush();
        // Only the last row may be empty.
        self.rows.retain(|row| !row.is_empty());
        for (row, jobs) in self.rows.iter().zip(self.jobs) {
            log.push(row.len(), jobs);
        }
        self.rows
    }
}
