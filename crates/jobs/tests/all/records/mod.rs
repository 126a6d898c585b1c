//! Checkpoints across ended runs, lost workers, late answers and takeovers. Each start brings a
//! checkpoint that its own task has reported, or none.

mod incarnation;
mod simulation;

use std::sync::Arc;

use crate::records::simulation::Simulation;
use gorsespur_jobs::{Ending, Event, Job, JobId, Outcome, Schedule, Spec, Step};
use test_case::test_case;

/// Returns a job of two dependent steps that is repeated on a schedule.
fn job(id: u64, schedule: Schedule) -> Job {
    let id = JobId(id);
    let step = Step {
        count: 3,
        cpu: 100,
        memory: 1,
        estimate: 100_000,
        checkpoints: true,
        ..Step::default()
    };
    let steps = vec![
        step.clone(),
        Step {
            count: 2,
            deps: vec![0],
            ..step
        },
    ];
    Job {
        id,
        queue: "q".into(),
        accepted: 0,
        spec: Arc::new(Spec {
            payload: format!("text of {id}").into(),
            steps,
            schedule,
        }),
    }
}

/// A start never brings the checkpoint of another task, in any order of answers and whoever wrote
/// the record: not with similar IDs, several steps, or overlapping repetitions of one job.
#[test_case(0; "once")]
#[test_case(3; "three times")]
fn a_start_brings_a_checkpoint_of_its_own_task(times: u32) {
    for seed in 0..10 {
        let schedule = Schedule {
            repetitions: times,
            first: 1_000_000,
            interval: 700,
        };
        let names = [1, 2, 16, 17, 1 << 60, 1 << 60 | 1];
        let jobs = names.iter().map(|&id| job(id, schedule)).collect();
        let mut simulation = Simulation::new(seed, jobs);
        for _ in 0..1200 {
            simulation.step();
        }
        assert!(
            simulation.resumed > 50,
            "seed {seed}: {}",
            simulation.resumed
        );
    }
}

/// A caller submits a job under an ID that exists, with other steps and another payload, while the
/// first job runs or after it has ended. The first job remains, for its owner and for a later
/// owner that reads its record.
#[test_case(false; "while it runs")]
#[test_case(true; "after its end")]
fn a_repeated_job_id_is_the_first_job(ended: bool) {
    let first = job(1, Schedule::default());
    let mut simulation = Simulation::new(1, vec![first.clone()]);
    simulation.no_faults = true;
    let mut other = (*first.spec).clone();
    other.payload = "another text".into();
    other.steps[0].count = 9;
    let other = Arc::new(Job {
        spec: Arc::new(other),
        ..first
    });
    for round in 0..60 {
        if round > 10 {
            simulation.notify(Event::Accepted(other.clone()));
        }
        if round == 30 {
            simulation.take_over();
        }
        for incarnation in &mut simulation.workers {
            while ended && !incarnation.runs.is_empty() {
                incarnation.runs[0].checkpoint = "saved".into();
                incarnation.end(0, Ending::Done);
            }
        }
        simulation.step();
    }
    let tasks: Vec<(u32, u32, u32)> = simulation
        .starts
        .iter()
        .map(|s| (s.task.step, s.task.index, s.run))
        .collect();
    let mut expected = vec![(0, 0, 1), (0, 1, 1), (0, 2, 1)];
    if ended {
        expected.extend([(1, 0, 1), (1, 1, 1)]);
    }
    assert_eq!(tasks, expected);
    assert_eq!(simulation.resumed, 0);
    let outcome = simulation.ledger.outcome(JobId(1));
    assert_eq!(outcome == Outcome::Complete, ended);
}

/// A gang resumes from one checkpoint: that of any member is valid, and all members bring the same
/// one. Each member reports its own latest checkpoint; a member whose worker crashed has reported
/// an older one or none.
#[test_case(&["a", "b", "c"]; "each a different one")]
#[test_case(&["a", "", ""]; "one of them none")]
fn members_of_a_gang_bring_the_same_checkpoint(reported: &[&str]) {
    let mut gang = job(1, Schedule::default());
    let mut spec = (*gang.spec).clone();
    spec.steps.truncate(1);
    spec.steps[0].gang = true;
    gang.spec = Arc::new(spec);
    let mut simulation = Simulation::new(1, vec![gang]);
    simulation.no_faults = true;
    for _ in 0..20 {
        simulation.step();
    }
    assert_eq!(simulation.starts.len(), 3);
    for incarnation in &mut simulation.workers {
        for at in (0..incarnation.runs.len()).rev() {
            let run = &mut incarnation.runs[at];
            run.checkpoint = reported[run.task.index as usize].into();
            incarnation.end(at, Ending::Stopped);
        }
    }
    for _ in 0..20 {
        simulation.step();
    }
    let checkpoints: Vec<&str> = simulation.starts[3..]
        .iter()
        .map(|s| &*s.checkpoint)
        .collect();
    assert!(
        matches!(checkpoints[..], [a, b, c] if !a.is_empty() && a == b && b == c),
        "{checkpoints:?}"
    );
}
