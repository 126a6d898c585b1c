//! Checks the rule LOST for accepted jobs by what the workers ran.

use std::collections::BTreeMap;

use crate::{
    cluster::Cluster,
    worker::{Run, CPU},
    Record, Verdict,
};

/// How long a job may have nothing running while the turn of a task has come.
pub const IDLE_MS: u64 = 3000;

/// An accepted job: a chain of steps with `width` tasks each.
#[derive(Debug, Clone)]
pub struct Accepted {
    pub id: String,
    pub at_ms: u64,
    pub steps: usize,
    pub width: usize,
}

/// Returns since when nothing of the job has run though a task's turn has come; `None` if it is
/// complete or something runs.
fn idle_since(job: &Accepted, runs: &[&Run]) -> Option<u64> {
    if runs.iter().any(|r| r.end_ms.is_none()) {
        return None;
    }
    let mut ready = job.at_ms;
    for step in 0..job.steps {
        let prefix = format!("{}.0.{step}.", job.id);
        let of_step: Vec<_> = runs
            .iter()
            .filter(|r| r.task.starts_with(&prefix))
            .collect();
        let done = of_step.iter().filter(|r| r.how == "done").count();
        let last_end = of_step.iter().filter_map(|r| r.end_ms).max();
        ready = last_end.unwrap_or(ready);
        if done < job.width {
            return Some(ready);
        }
    }
    None
}

/// Returns how many jobs have had nothing running for too long, from `calm_ms` on.
pub fn count_idle(cluster: &Cluster, jobs: &[Accepted], calm_ms: u64) -> usize {
    let (runs, now) = (cluster.runs(), cluster.now_ms());
    let is_idle = |job: &&Accepted| {
        let of_job: Vec<&Run> = runs
            .iter()
            .filter(|r| r.task.starts_with(&job.id))
            .collect();
        let since = idle_since(job, &of_job);
        since.is_some_and(|s| now.saturating_sub(s.max(calm_ms)) > IDLE_MS)
    };
    jobs.iter().filter(is_idle).count()
}

/// Judges the jobs as they are now. Only the time from `calm_ms` on counts.
pub fn judge(cluster: &Cluster, jobs: &[Accepted], calm_ms: u64, record: &mut Record) -> Verdict {
    let (runs, now) = (cluster.runs(), cluster.now_ms());
    let mut by_job: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &runs {
        by_job
            .entry(run.task.split('.').next().unwrap_or(""))
            .or_default()
            .push(run);
    }
    let running = runs.iter().filter(|r| r.end_ms.is_none()).count() as u64;
    let room = CPU * cluster.workers.len() as u64;
    record.line(
        cluster,
        format!(
            "{} runs, {running} of them open; room of all workers: {room} thousandths of a core",
            runs.len()
        ),
    );
    let mut lost = 0;
    for job in jobs {
        let of_job = by_job.get(job.id.as_str()).map_or(&[][..], |r| r);
        let Some(since) = idle_since(job, of_job) else {
            continue;
        };
        let idle_ms = now.saturating_sub(since.max(calm_ms));
        if idle_ms > IDLE_MS {
            lost += 1;
            if lost <= 10 {
                record.add(format!(
                    "  job {}, accepted at {} ms: nothing runs since {since} ms though a task's turn has come; {idle_ms} ms of that are calm",
                    job.id, job.at_ms
                ));
            }
        }
    }
    record.add(format!(
        "{lost} of {} accepted jobs had nothing running for over {IDLE_MS} ms",
        jobs.len()
    ));
    match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
