//! Routing: edge cases of the policy, and invariants over random interleavings.

use gorsespur_core::{
    route::{
        Arrival, AttemptOutcome, Outcome, Refusal, RouteAction, RouteEvent, RoutePolicy,
        RouteSettings, Router, Share, TargetList,
    },
    shard::TargetInfo,
    template::Priority,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use test_case::test_case;

/// Start of virtual time.
const START_MS: u64 = 1_000_000;

fn target(i: usize) -> TargetInfo {
    TargetInfo {
        org: "weld".into(),
        service: "check".into(),
        worker: format!("w{i:02}").into(),
        addr: ([127, 0, 0, 1], 1_000 + i as u16).into(),
        slots: 8,
        connections: 60,
        leaving: false,
    }
}

fn list(version: u64, same_zone: bool, targets: Vec<TargetInfo>) -> RouteEvent {
    RouteEvent::Targets(TargetList {
        shard: u32::from(!same_zone),
        epoch: 1,
        version,
        same_zone,
        targets,
    })
}

fn arrival(req: u64, now: u64) -> Arrival {
    Arrival {
        req,
        org: "weld".into(),
        service: "check".into(),
        priority: Priority::Normal,
        deadline: now + 1_000,
        repeatable: true,
        max_queued: 64,
        retry_percent: 10,
    }
}

fn router(targets: usize) -> Router {
    let mut router = Router::new(RouteSettings::default(), 1);
    let all = (0..targets).map(target).collect();
    router.step(START_MS, &list(1, true, all));
    router
}

fn sent(actions: &[RouteAction]) -> Vec<(u64, u32, String)> {
    let mut out = Vec::new();
    for a in actions {
        if let RouteAction::Send {
            req,
            attempt,
            worker,
            ..
        } = a
        {
            out.push((*req, *attempt, worker.to_string()));
        }
    }
    out
}

fn refused(actions: &[RouteAction]) -> Vec<(u64, Outcome, Refusal)> {
    let mut out = Vec::new();
    for a in actions {
        if let RouteAction::Refuse {
            req, outcome, why, ..
        } = a
        {
            out.push((*req, *outcome, *why));
        }
    }
    out
}

fn attempt_ended(req: u64, attempt: u32, end: AttemptOutcome) -> RouteEvent {
    RouteEvent::Ended { req, attempt, end }
}

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered {
    took: 5,
    busy: Some(1),
};

#[test]
fn without_targets_a_request_is_refused_as_not_run() {
    let mut router = Router::new(RouteSettings::default(), 1);
    let out = router.step(START_MS, &RouteEvent::Arrive(arrival(1, START_MS)));
    assert_eq!(refused(&out), [(1, Outcome::NotRun, Refusal::NoTarget)]);
}

#[test_case(true, AttemptOutcome::NotSent, Some(Outcome::NotRun); "repeatable and not sent")]
#[test_case(false, AttemptOutcome::NotSent, Some(Outcome::NotRun); "once and not sent")]
#[test_case(true, AttemptOutcome::Failed, Some(Outcome::Unknown); "repeatable and failed")]
#[test_case(false, AttemptOutcome::Failed, Some(Outcome::Unknown); "once and failed")]
fn a_request_whose_attempts_all_fail_is_refused_by_their_outcome(
    repeatable: bool,
    end: AttemptOutcome,
    expected: Option<Outcome>,
) {
    let mut router = router(8);
    let mut a = arrival(1, START_MS);
    a.repeatable = repeatable;
    let mut out = router.step(START_MS, &RouteEvent::Arrive(a));
    let mut attempts = 0;
    while let Some((req, attempt, _)) = sent(&out).first().cloned() {
        attempts += 1;
        out = router.step(START_MS + 1, &attempt_ended(req, attempt, end));
    }
    let got = refused(&out).first().map(|r| r.1);
    assert_eq!(got, expected);
    let can_repeat = repeatable || end == AttemptOutcome::NotSent;
    assert_eq!(attempts, if can_repeat { 3 } else { 1 });
}

#[test]
fn a_failed_attempt_makes_the_outcome_unknown() {
    let mut router = router(8);
    let out = router.step(START_MS, &RouteEvent::Arrive(arrival(1, START_MS)));
    let (req, attempt, _) = sent(&out)[0].clone();
    let mut out = router.step(
        START_MS,
        &attempt_ended(req, attempt, AttemptOutcome::Failed),
    );
    while let Some((req, attempt, _)) = sent(&out).first().cloned() {
        out = router.step(
            START_MS,
            &attempt_ended(req, attempt, AttemptOutcome::NotSent),
        );
    }
    assert_eq!(refused(&out)[0].1, Outcome::Unknown);
}

#[test]
fn a_retry_goes_to_another_target() {
    let mut router = router(2);
    let out = router.step(START_MS, &RouteEvent::Arrive(arrival(1, START_MS)));
    let first = sent(&out)[0].clone();
    let out = router.step(
        START_MS,
        &attempt_ended(1, first.1, AttemptOutcome::NotSent),
    );
    assert_ne!(sent(&out)[0].2, first.2);
}

#[test]
fn a_leaving_target_gets_nothing_new() {
    let mut router = router(3);
    router.step(START_MS, &RouteEvent::Leaving(vec!["w01".into()]));
    for req in 0..50 {
        let out = router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
        for (req, attempt, worker) in sent(&out) {
            assert_ne!(worker, "w01");
            router.step(START_MS, &attempt_ended(req, attempt, ANSWERED));
        }
    }
}

#[test]
fn a_target_that_reports_leaving_gets_no_new_requests() {
    let mut router = router(2);
    let out = router.step(START_MS, &RouteEvent::Arrive(arrival(0, START_MS)));
    let (req, attempt, leaving_worker) = sent(&out)[0].clone();
    let end = AttemptOutcome::Declined {
        busy: None,
        leaving: true,
    };
    router.step(START_MS, &attempt_ended(req, attempt, end));
    for req in 1..30 {
        let out = router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
        for (req, attempt, worker) in sent(&out) {
            assert_ne!(worker, leaving_worker);
            router.step(START_MS, &attempt_ended(req, attempt, ANSWERED));
        }
    }
}

#[test_case(1)]
#[test_case(3)]
#[test_case(9)]
#[test_case(20)]
fn the_fair_shares_of_all_entries_sum_to_the_slots(entries: u32) {
    let targets = 8;
    let mut sent_to = vec![0; targets];
    for rank in 0..entries {
        let mut router = router(targets);
        router.step(START_MS, &RouteEvent::Entries(Share { entries, rank }));
        for req in 0..500 {
            let out = router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
            for (_, _, worker) in sent(&out) {
                sent_to[worker[1..].parse::<usize>().expect("a number")] += 1;
            }
        }
    }
    let slots = target(0)
        .slots
        .min(target(0).connections / entries * entries);
    assert_eq!(sent_to, vec![slots; targets]);
}

#[test]
fn free_slots_are_used_while_their_report_is_fresh() {
    let mut router = router(1);
    router.step(
        START_MS,
        &RouteEvent::Entries(Share {
            entries: 3,
            rank: 0,
        }),
    );
    let out = router.step(START_MS, &RouteEvent::Arrive(arrival(0, START_MS)));
    router.step(START_MS, &attempt_ended(0, sent(&out)[0].1, ANSWERED));
    let mut count = 0;
    for req in 1..40 {
        let out = router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
        count += sent(&out).len();
    }
    assert_eq!(count, 8);
}

#[test]
fn far_targets_are_used_only_when_near_ones_are_full() {
    let mut router = router(1);
    let mut far = target(7);
    far.worker = "far".into();
    router.step(START_MS, &list(1, false, vec![far]));
    let mut workers = Vec::new();
    for req in 0..9 {
        let out = router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
        workers.extend(sent(&out).into_iter().map(|s| s.2));
    }
    assert!(workers[..8].iter().all(|w| w == "w00"));
    assert_eq!(workers[8], "far");
}

#[test]
fn urgent_goes_before_normal_before_bulk() {
    let mut router = router(1);
    for req in 0..8 {
        router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
    }
    for (req, priority) in [
        (10, Priority::Bulk),
        (11, Priority::Normal),
        (12, Priority::Urgent),
    ] {
        let mut a = arrival(req, START_MS);
        a.priority = priority;
        assert!(router.step(START_MS, &RouteEvent::Arrive(a)).is_empty());
    }
    let mut order = Vec::new();
    for req in 0..3 {
        let out = router.step(START_MS + 2, &attempt_ended(req, 1, ANSWERED));
        order.extend(sent(&out).into_iter().map(|s| s.0));
    }
    assert_eq!(order, [12, 11, 10]);
}

#[test]
fn a_full_queue_gives_up_the_lowest_priority() {
    let mut router = router(1);
    for req in 0..8 {
        router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
    }
    let mut bulk = arrival(10, START_MS);
    bulk.priority = Priority::Bulk;
    bulk.max_queued = 1;
    router.step(START_MS, &RouteEvent::Arrive(bulk));
    let mut urgent = arrival(11, START_MS);
    urgent.priority = Priority::Urgent;
    urgent.max_queued = 1;
    let out = router.step(START_MS, &RouteEvent::Arrive(urgent));
    assert_eq!(refused(&out), [(10, Outcome::NotRun, Refusal::QueueFull)]);
    let mut second = arrival(12, START_MS);
    second.max_queued = 1;
    let out = router.step(START_MS, &RouteEvent::Arrive(second));
    assert_eq!(refused(&out), [(12, Outcome::NotRun, Refusal::QueueFull)]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut router = router(1);
    for req in 0..8 {
        router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
    }
    let mut a = arrival(10, START_MS);
    a.deadline = START_MS + 2;
    let out = router.step(START_MS, &RouteEvent::Arrive(a));
    assert_eq!(refused(&out), [(10, Outcome::NotRun, Refusal::TooLate)]);
}

#[test]
fn a_waiting_request_is_given_up_when_its_time_runs_out() {
    let mut router = router(1);
    for req in 0..8 {
        router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
    }
    router.step(START_MS, &RouteEvent::Arrive(arrival(10, START_MS)));
    let out = router.step(START_MS + 998, &RouteEvent::Tick);
    assert_eq!(refused(&out), [(10, Outcome::NotRun, Refusal::TooLate)]);
}

#[test]
fn an_organisation_has_its_share_of_an_entry() {
    let mut router = Router::new(
        RouteSettings {
            max_org_requests: 10,
            ..RouteSettings::default()
        },
        1,
    );
    router.step(START_MS, &list(1, true, (0..8).map(target).collect()));
    let mut over = 0;
    for req in 0..12 {
        let out = router.step(START_MS, &RouteEvent::Arrive(arrival(req, START_MS)));
        over += refused(&out)
            .iter()
            .filter(|r| r.2 == Refusal::OverShare)
            .count();
    }
    assert_eq!(over, 2);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut router = router(3);
    router.step(START_MS, &list(5, true, vec![target(0)]));
    router.step(START_MS, &list(4, true, vec![target(1), target(2)]));
    assert_eq!(router.targets("weld", "check").len(), 1);
}

/// Routes requests one after another to 18 targets of which the first 6 always fail.
///
/// Returns the numbers of attempts and of answered requests.
fn run_with_failures(policy: RoutePolicy, requests: u64) -> (u64, u64) {
    let settings = RouteSettings {
        policy,
        hedge_permille: 0,
        ..RouteSettings::default()
    };
    let mut router = Router::new(settings, 3);
    router.step(START_MS, &list(1, true, (0..18).map(target).collect()));
    let (mut attempts, mut ok) = (0, 0);
    for req in 0..requests {
        let now = START_MS + req * 2;
        router.step(now, &RouteEvent::Tick);
        let mut out = router.step(now, &RouteEvent::Arrive(arrival(req, now)));
        while let Some((req, attempt, worker)) = sent(&out).first().cloned() {
            attempts += 1;
            let number: usize = worker[1..].parse().expect("a number");
            let end = if number < 6 {
                AttemptOutcome::Failed
            } else {
                ANSWERED
            };
            ok += u64::from(number >= 6);
            out = router.step(now, &attempt_ended(req, attempt, end));
        }
    }
    (attempts, ok)
}

#[test]
fn with_a_third_of_the_targets_failing_tries_stay_under_1_2_a_request() {
    let (attempts, ok) = run_with_failures(RoutePolicy::TwoChoices, 5_000);
    assert!(attempts * 10 < 5_000 * 12, "{attempts} attempts");
    assert!(ok * 100 >= 5_000 * 99, "{ok} answered");
    let (baseline, _) = run_with_failures(RoutePolicy::RoundRobin, 5_000);
    assert!(
        baseline > attempts,
        "the baseline makes {baseline} attempts"
    );
}

#[test]
fn hedges_stay_within_their_budget() {
    let mut router = router(18);
    let mut second = 0;
    for req in 0..2_000 {
        let now = START_MS + req;
        let out = router.step(now, &RouteEvent::Arrive(arrival(req, now)));
        let first = sent(&out)[0].clone();
        let out = router.step(now, &RouteEvent::Hedge { req });
        second += sent(&out).len();
        router.step(now, &attempt_ended(req, first.1, ANSWERED));
        for s in sent(&out) {
            router.step(now, &attempt_ended(req, s.1, ANSWERED));
        }
    }
    assert!(
        (30..=60).contains(&second),
        "{second} of 2000 at 20 in a thousand"
    );
    assert_eq!(router.open_requests(), 0);
}

#[derive(Debug, Clone)]
enum Op {
    Arrive(bool, u8, u64),
    End(usize, u8),
    Hedge(usize),
    Wait(u64),
    Leave(u8),
    Entries(u32),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (any::<bool>(), 0..3u8, 1..400u64).prop_map(|(r, p, d)| Op::Arrive(r, p, d)),
        5 => (any::<usize>(), 0..5u8).prop_map(|(i, e)| Op::End(i, e)),
        1 => any::<usize>().prop_map(Op::Hedge),
        2 => (1..200u64).prop_map(Op::Wait),
        1 => (0..5u8).prop_map(Op::Leave),
        1 => (1..5u32).prop_map(Op::Entries),
    ]
}

fn end_of(kind: u8) -> AttemptOutcome {
    match kind {
        0 | 1 => ANSWERED,
        2 => AttemptOutcome::NotSent,
        3 => AttemptOutcome::Declined {
            busy: Some(8),
            leaving: false,
        },
        _ => AttemptOutcome::Failed,
    }
}

fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|c| c.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    }
}

/// The observed state of a request.
#[derive(Debug, Clone, Default)]
struct Observed {
    run_once: bool,
    in_flight: Vec<(u32, String)>,
    may_have_run: bool,
    reported: Option<Outcome>,
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn requests_run_at_most_once_and_end_once(ops in prop::collection::vec(op(), 1..200)) {
        let mut router = router(4);
        let mut now = START_MS;
        let mut requests: Vec<Observed> = Vec::new();
        let mut leaving: Vec<String> = Vec::new();
        for op in ops {
            let event = match op {
                Op::Arrive(repeatable, priority, deadline) => {
                    let mut a = arrival(requests.len() as u64, now);
                    a.repeatable = repeatable;
                    a.priority = Priority::ALL[usize::from(priority)];
                    a.deadline = now + deadline;
                    a.max_queued = 3;
                    requests.push(Observed { run_once: !repeatable, ..Observed::default() });
                    RouteEvent::Arrive(a)
                }
                Op::End(i, kind) => {
                    let busy: Vec<usize> = (0..requests.len())
                        .filter(|r| !requests[*r].in_flight.is_empty())
                        .collect();
                    if busy.is_empty() { continue }
                    let req = busy[i % busy.len()];
                    let (attempt, _) = requests[req].in_flight.remove(0);
                    let end = end_of(kind);
                    match end {
                        AttemptOutcome::Answered { .. } => {
                            requests[req].may_have_run = true;
                            requests[req].reported.get_or_insert(Outcome::Ran);
                        }
                        AttemptOutcome::Failed => requests[req].may_have_run = true,
                        AttemptOutcome::NotSent | AttemptOutcome::Declined { .. } => {}
                    }
                    attempt_ended(req as u64, attempt, end)
                }
                Op::Hedge(i) => {
                    if requests.is_empty() { continue }
                    RouteEvent::Hedge { req: (i % requests.len()) as u64 }
                }
                Op::Wait(time) => { now += time; RouteEvent::Tick }
                Op::Leave(w) => {
                    leaving.push(format!("w{w:02}"));
                    RouteEvent::Leaving(leaving.iter().map(|l| (**l).into()).collect())
                }
                Op::Entries(entries) => RouteEvent::Entries(Share { entries, rank: 0 }),
            };
            let out = router.step(now, &event);
            for (req, attempt, worker) in sent(&out) {
                let s = &mut requests[req as usize];
                prop_assert!(!leaving.contains(&worker), "sent to a leaving target");
                prop_assert!(s.reported.is_none(), "sent after the request ended");
                prop_assert!(
                    !s.run_once || (!s.may_have_run && s.in_flight.is_empty()),
                    "may run twice"
                );
                s.in_flight.push((attempt, worker));
            }
            for (req, outcome, _) in refused(&out) {
                let s = &mut requests[req as usize];
                prop_assert!(s.reported.is_none(), "the request ended twice");
                prop_assert!(outcome != Outcome::NotRun || !s.may_have_run, "it may have run");
                prop_assert!(
                    outcome != Outcome::NotRun || s.in_flight.is_empty(),
                    "it may still run"
                );
                s.reported = Some(outcome);
            }
        }
        for req in 0..requests.len() {
            while !requests[req].in_flight.is_empty() {
                let (attempt, _) = requests[req].in_flight.remove(0);
                let out = router.step(now, &attempt_ended(req as u64, attempt, ANSWERED));
                requests[req].reported.get_or_insert(Outcome::Ran);
                for (r, a, w) in sent(&out) {
                    requests[r as usize].in_flight.push((a, w));
                }
                for (r, outcome, _) in refused(&out) {
                    requests[r as usize].reported.get_or_insert(outcome);
                }
            }
        }
        for round in 0..requests.len() {
            let out = router.step(now + 10_000 + round as u64, &RouteEvent::Tick);
            for (r, outcome, _) in refused(&out) {
                requests[r as usize].reported.get_or_insert(outcome);
            }
        }
        prop_assert_eq!(router.waiting_requests(), 0);
    }
}
