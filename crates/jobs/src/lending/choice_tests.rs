//! Tests of the choice of the runs to stop.

use test_case::test_case;

use super::choice::{LendingStep, Offer, Problem, Resource, Victim, Waiting, choose};
use crate::{
    model::ids::{JobId, TaskId},
    runs::worker::Capacity,
};

fn size(cpu: u64, memory: u64) -> Capacity {
    Capacity {
        cpu,
        memory,
        gpu: 0,
    }
}

/// Returns the task with this index of a step, one job a step.
fn task(step: usize, index: u32) -> TaskId {
    TaskId {
        job: JobId(step as u64),
        repetition: 0,
        step: 0,
        index,
    }
}

/// Returns a worker with runs of these steps and sizes.
fn offer(free: Capacity, runs: &[(usize, u32, Capacity)]) -> Offer {
    let victims = runs.iter().map(|&(step, index, size)| Victim {
        task: task(step, index),
        step,
        size,
    });
    Offer {
        free,
        suits: vec![0],
        victims: victims.collect(),
    }
}

/// Returns a problem of one lending queue, with a shortage of CPU.
fn problem(shortage: u64, waiting: Waiting, left: &[u32], offers: Vec<Offer>) -> Problem {
    let steps = left.iter().map(|&left| LendingStep {
        left,
        lent: 0,
        queue: 0,
    });
    Problem {
        resource: Resource::Cpu,
        shortage,
        waiting: vec![waiting],
        steps: steps.collect(),
        excess: vec![u64::MAX],
        offers,
    }
}

fn waiting(cpu: u64, memory: u64, count: u32) -> Waiting {
    Waiting {
        size: size(cpu, memory),
        count,
    }
}

#[test_case(size(0, 0), size(2000, 1000), true; "the run is enough")]
#[test_case(size(1000, 500), size(1000, 500), true; "with what is free")]
#[test_case(size(0, 0), size(1000, 1000), false; "too little cpu")]
#[test_case(size(1000, 0), size(4000, 500), false; "too little memory")]
#[test_case(size(2000, 1000), size(2000, 1000), false; "it fits already")]
fn a_stop_counts_only_if_a_waiting_task_fits(free: Capacity, run: Capacity, is_chosen: bool) {
    let offers = vec![offer(free, &[(0, 0, run)])];
    let chosen = choose(problem(9000, waiting(2000, 1000, 1), &[9], offers));
    assert_eq!(!chosen.is_empty(), is_chosen);
}

#[test]
fn no_more_is_freed_than_is_short() {
    let worker = || offer(size(0, 1000), &[(0, 0, size(1000, 0))]);
    let offers = (0..8).map(|_| worker()).collect();
    let chosen = choose(problem(3500, waiting(1000, 1000, 8), &[9], offers));
    assert_eq!(chosen.len(), 3);
}

#[test]
fn no_more_is_stopped_than_there_are_waiting_tasks() {
    let worker = || offer(size(0, 1000), &[(0, 0, size(1000, 0))]);
    let offers = (0..8).map(|_| worker()).collect();
    let chosen = choose(problem(9000, waiting(1000, 1000, 2), &[9], offers));
    assert_eq!(chosen.len(), 2);
}

#[test]
fn a_queue_gives_no_more_than_its_excess() {
    let worker = || offer(size(0, 1000), &[(0, 0, size(1000, 0))]);
    let offers = (0..8).map(|_| worker()).collect();
    let mut problem = problem(9000, waiting(1000, 1000, 8), &[9], offers);
    problem.excess = vec![2500];
    assert_eq!(choose(problem).len(), 2);
}

#[test]
fn a_step_gives_no_more_than_it_may() {
    let worker = || offer(size(0, 1000), &[(0, 0, size(1000, 0))]);
    let offers = (0..8).map(|_| worker()).collect();
    let chosen = choose(problem(9000, waiting(1000, 1000, 8), &[3], offers));
    assert_eq!(chosen.len(), 3);
}

/// Two runs on the same worker would be needed, of a step that may lend one.
#[test]
fn a_step_gives_no_more_than_it_may_on_one_worker() {
    let run = size(1000, 1000);
    let offers = vec![offer(size(0, 0), &[(0, 0, run), (0, 1, run)])];
    let chosen = choose(problem(9000, waiting(2000, 1000, 1), &[1], offers));
    assert!(chosen.is_empty());
}

#[test]
fn steps_give_in_turn() {
    let run = size(1000, 0);
    let worker = |index| offer(size(0, 1000), &[(0, index, run), (1, index, run)]);
    let offers = (0..6).map(worker).collect();
    let chosen = choose(problem(6000, waiting(1000, 1000, 6), &[9, 9], offers));
    let first = chosen.iter().filter(|t| t.job == JobId(0)).count();
    assert_eq!((first, chosen.len()), (3, 6));
}

#[test]
fn a_step_that_lends_more_already_comes_later() {
    let run = size(1000, 0);
    let offers = vec![offer(size(0, 1000), &[(0, 0, run), (1, 0, run)])];
    let mut problem = problem(9000, waiting(1000, 1000, 1), &[9, 9], offers);
    problem.steps[0].lent = 2;
    assert_eq!(choose(problem), vec![task(1, 0)]);
}

#[test]
fn a_single_run_is_preferred_to_several() {
    let runs = [(0, 0, size(1000, 0)), (0, 1, size(2000, 0))];
    let offers = vec![offer(size(0, 1000), &runs)];
    let chosen = choose(problem(9000, waiting(2000, 1000, 1), &[9], offers));
    assert_eq!(chosen, vec![task(0, 1)]);
}

#[test]
fn runs_that_turn_out_unnecessary_go_on() {
    // The memory of the last run is needed, the CPU of the first one then is not.
    let runs = [
        (0, 0, size(500, 0)),
        (0, 1, size(1000, 500)),
        (0, 2, size(1100, 500)),
    ];
    let offers = vec![offer(size(0, 0), &runs)];
    let chosen = choose(problem(9000, waiting(2000, 1000, 1), &[9], offers));
    assert_eq!(chosen, vec![task(0, 1), task(0, 2)]);
}

#[test]
fn what_one_stop_frees_counts_for_several_tasks() {
    let worker = || offer(size(0, 4000), &[(0, 0, size(4000, 0))]);
    let offers = vec![worker(), worker()];
    let chosen = choose(problem(9000, waiting(1000, 1000, 4), &[9], offers));
    assert_eq!(chosen.len(), 1);
}

#[test]
fn workers_that_may_not_run_what_waits_give_nothing() {
    let mut worker = offer(size(0, 1000), &[(0, 0, size(1000, 0))]);
    worker.suits.clear();
    let chosen = choose(problem(9000, waiting(1000, 1000, 1), &[9], vec![worker]));
    assert!(chosen.is_empty());
}

/// One step runs on all workers, so that each stop outdates the plans of all others.
#[test]
fn a_choice_ends_before_all_plans_were_rated_again_for_each_stop() {
    let worker = |index| offer(size(0, 1000), &[(0, index, size(1000, 0))]);
    let offers = (0..256).map(worker).collect();
    let chosen = choose(problem(256_000, waiting(1000, 1000, 256), &[256], offers));
    // The first stop takes one rating, each further one as many as there are workers left.
    assert!((8..=16).contains(&chosen.len()), "{}", chosen.len());
}
