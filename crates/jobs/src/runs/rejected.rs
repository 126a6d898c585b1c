//! Rows of the log that the store rejects for good.
//!
//! Rows are bounded by the store's limit, so this takes a store that rejects a row for another
//! reason. Repeating the row would stop all jobs. Its jobs are logged again, each in a row of its
//! own; a job whose own row is rejected can't be kept, and fails.

use crate::{
    model::{changes::RowNumber, ids::JobId, record::Outcome},
    scheduler::Scheduler,
};

impl Scheduler {
    /// Handles the rejection of rows that the batch in flight appends, given by their positions
    /// among these; the rest of the batch becomes durable.
    pub(crate) fn handle_rejected_rows(&mut self, rows: &[usize]) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        // Some ends may be counted in the rejected rows. They are collected again with the next
        // batch.
        in_flight.observed.clear();
        in_flight.own_rows.clear();
        let first = in_flight.first_row;
        for &row in rows {
            let number = first + row as RowNumber;
            let mut jobs = self.log.jobs(number).to_vec();
            jobs.dedup();
            self.log.clear_row(number);
            log::error!(row = number, jobs = jobs.len(); "log: the store rejects a row");
            match jobs[..] {
                [job] => self.fail_unstorable(job),
                _ => self.log_apart(&jobs, number),
            }
        }
    }

    fn fail_unstorable(&mut self, id: JobId) {
        if self.jobs.get(&id).is_none_or(|j| j.outcome.is_final()) {
            return;
        }
        log::error!(job = id.to_string().as_str(); "jobs: given up, the store rejects its state");
        self.stats.jobs_not_stored += 1;
        self.end_job(id, Outcome::Failed);
    }

    /// Logs the entries of a row again, in rows of single jobs.
    fn log_apart(&mut self, jobs: &[JobId], number: RowNumber) {
        for &id in jobs {
            let Some(state) = self.jobs.get_mut(&id) else {
                continue;
            };
            state.needs_own_row = true;
            for step in state.repetitions.iter_mut().flatten() {
                step.logged_row = step.logged_row.filter(|&row| row != number);
                for task in &mut step.tasks {
                    if task.logged_row == number {
                        task.logged = None;
                    }
                }
            }
            // Starts are sent only after their state is durable.
            if let Some(in_flight) = &mut self.in_flight {
                in_flight.starts.retain(|(task, _)| task.job != id);
            }
            self.mark_dirty(id);
        }
    }
}
