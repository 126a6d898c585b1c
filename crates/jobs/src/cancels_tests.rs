//! Cancellations of jobs that arrive later, or never.

use std::sync::Arc;

use crate::{
    cancels::CANCEL_RETENTION_MS,
    event::Event,
    model::{
        ids::JobId,
        record::Outcome,
        spec::{Job, Spec, Step},
    },
    scheduler::Scheduler,
    settings::Settings,
    takeover::Takeover,
};

const JOB: JobId = JobId(7);

fn scheduler() -> Scheduler {
    let takeover = Takeover {
        asked_at: 0,
        prior_leases_end: 0,
    };
    Scheduler::new(Settings::default(), 0, takeover)
}

fn job() -> Arc<Job> {
    let step = Step {
        count: 1,
        ..Step::default()
    };
    Arc::new(Job {
        id: JOB,
        queue: "q".into(),
        accepted: 0,
        spec: Arc::new(Spec {
            steps: vec![step],
            ..Spec::default()
        }),
    })
}

/// The owner dropped the cancellation of a job that it did not know, and the job ran.
#[test]
fn a_job_that_arrives_after_its_cancelling_is_cancelled() {
    let mut owner = scheduler();
    owner.handle(1000, 1000, Event::Cancelled(JOB));
    owner.handle(1000 + CANCEL_RETENTION_MS - 1, 0, Event::Accepted(job()));
    let state = owner.jobs.get(&JOB).expect("known");
    assert_eq!(state.outcome, Outcome::Cancelled);
    assert_eq!(owner.open_jobs, []);
    assert_eq!(owner.take_expired_cancels(9), []);
}

/// What is kept of jobs that never arrive has an end.
#[test]
fn a_cancellation_without_a_job_expires_once() {
    let mut owner = scheduler();
    owner.handle(1000, 0, Event::Cancelled(JOB));
    owner.handle(2000, 0, Event::Cancelled(JobId(8)));
    // Cancelled again, which counts anew.
    owner.handle(3000, 0, Event::Cancelled(JobId(9)));
    owner.handle(4000, 0, Event::Cancelled(JobId(9)));
    owner.decide(1000 + CANCEL_RETENTION_MS - 1, 0);
    assert_eq!(owner.take_expired_cancels(9), []);
    owner.decide(3000 + CANCEL_RETENTION_MS, 0);
    assert_eq!(owner.take_expired_cancels(1), [JOB]);
    assert_eq!(owner.take_expired_cancels(9), [JobId(8)]);
    assert_eq!(owner.take_expired_cancels(9), []);
}
