//! Synthetic organisations for measurements.

use std::sync::Arc;

use gorsespur_core::{
    size::Size,
    template::{JobTemplate, OrgLimits, Organisation, Priority, Service, Team, Weights},
};

/// Number of job kinds per organisation.
const JOB_KINDS: usize = 8;

/// Returns organisation `n`, counted from 1, with one service, one team and eight job kinds.
pub(crate) fn organisation(n: usize) -> Arc<Organisation> {
    let n = n - 1;
    let quota = Size::new(u64::MAX / 4, u64::MAX / 4, u32::MAX / 4);
    let mut jobs = Vec::new();
    for kind in 0..JOB_KINDS {
        jobs.push(JobTemplate {
            name: format!("kind{kind}").into(),
            team: "team0".into(),
            size: Size::new(1_000, 2 << 30, 0),
            max_tasks: 1_000,
            run_time: 60_000,
            priority: Priority::Normal,
            checkpoint: true,
            attempts: 3,
        });
    }
    Arc::new(Organisation {
        name: format!("org{n}").into(),
        weights: Weights::default(),
        limits: OrgLimits {
            open_jobs: 1_000_000,
            queued_requests: 64,
            retry_percent: 10,
            task_evictions: 3,
            hold: 60_000,
        },
        teams: vec![Team {
            name: "team0".into(),
            quota,
        }],
        services: vec![Service {
            name: "service".into(),
            replicas: 0,
            size: Size::new(6_000, 16 << 30, 0),
            slots: 8,
            connections: 60,
            deadline: 1_000,
        }],
        jobs,
    })
}
