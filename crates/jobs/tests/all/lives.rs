//! Workers that restart under their names.
//!
//! Each report of such a worker carries the start time of its incarnation. A new incarnation has
//! no state of the previous one, and its clock and the numbers of its ended runs start anew.

use crate::common::{
    Crasher, Restart, World, WorldSettings, chain, check_invariants, long_running, short,
};
use gorsespur_jobs::{JobId, Outcome, Step, TaskId};

/// The job of the first worker's only task.
const FIRST_JOB: JobId = JobId(1);

/// Milliseconds within which a task runs again after the owner has observed its worker's restart.
const RESTART_LIMIT_MS: u64 = 2000;

/// Milliseconds of silence after which all leases on a worker have expired.
const MAX_LEASES_MS: u64 = 12_000;

/// Downtimes in milliseconds, from ones that no owner detects to ones that each owner detects.
const ABSENCES_MS: [u64; 5] = [5, 50, 400, 2000, 6000];

/// Milliseconds until the row of a new incarnation is published.
const ROW_DELAYS_MS: [u64; 3] = [0, 300, 3000];

fn world(workers: usize) -> World {
    let mut world = World::new(WorldSettings {
        workers,
        reuse_names: true,
        ..WorldSettings::default()
    });
    world.run(100);
    world
}

/// Restricts a step to the first two workers.
fn on_first_rack(step: Step) -> Step {
    Step {
        label: Some("r0".into()),
        ..step
    }
}

/// Returns a world of three workers, the first of which runs the only task of a job.
fn world_with(step: Step) -> World {
    let mut world = world(3);
    world.workers[1].partitioned = true;
    world.workers[2].partitioned = true;
    world.run(2000);
    world.submit(FIRST_JOB.0, chain(vec![step]));
    world.run(500);
    world.workers[1].partitioned = false;
    world.workers[2].partitioned = false;
    world.run(1500);
    assert_eq!(world.workers[0].runs.len(), 1);
    world
}

/// Cuts a worker off and waits until the owner has detected it.
fn partition(world: &mut World, at: usize) {
    world.workers[at].partitioned = true;
    world.run(RESTART_LIMIT_MS);
}

/// Returns the number of runs of the first job.
fn first_job_runs(world: &World) -> usize {
    let workers = world.workers.iter().filter(|w| w.alive);
    let runs = workers.flat_map(|w| &w.runs);
    runs.filter(|r| r.task.job == FIRST_JOB).count()
}

/// Returns the cases of a restart: the downtime in milliseconds, and how the worker restarts.
fn restart_cases() -> Vec<(u64, Restart)> {
    let mut out = Vec::new();
    for downtime in ABSENCES_MS {
        for row_delay in ROW_DELAYS_MS {
            for (clock_back, new_address) in [(false, false), (false, true), (true, false)] {
                out.push((
                    downtime,
                    Restart {
                        clock_back,
                        new_address,
                        row_delay_ms: row_delay,
                    },
                ));
            }
        }
    }
    out
}

/// Restarts a worker.
fn restart(world: &mut World, at: usize, downtime: u64) {
    world.restart_ms = downtime;
    world.crash(at);
    world.run(downtime + 10);
    assert!(world.workers[at].alive);
}

/// Asserts that all jobs are done within `limit` milliseconds, and that there were no violations.
fn check_done(world: &mut World, limit: u64, context: &str) {
    let done = world.run_until_done(limit);
    let violations = &world.checker.violations;
    assert!(violations.is_empty(), "{context}: {violations:#?}");
    assert!(done, "{context}: unfinished jobs");
}

/// Ends of the new incarnation are counted although their numbers start anew, below the numbers
/// that the owner has observed.
#[test]
fn ends_of_a_new_incarnation_are_counted() {
    for (downtime, case) in restart_cases() {
        let context = format!("{downtime} {case:?}");
        let mut world = world(1);
        world.restart = case;
        world.submit(1, chain(vec![short(8, 300), short(4, 200)]));
        check_done(&mut world, 5000, &context);
        restart(&mut world, 0, downtime);
        world.submit(2, chain(vec![short(8, 300), short(4, 200)]));
        check_done(&mut world, case.row_delay_ms + 5000, &context);
        world.run(RESTART_LIMIT_MS);
        assert_eq!(
            world.workers[0].finished.len(),
            0,
            "{context}: unconfirmed ends"
        );
    }
}

/// An owner confirms the number of the last end that it has observed durably. If the number of the
/// old incarnation went to the new one, that would drop ends that the owner has not read.
#[test]
fn a_new_incarnation_keeps_unread_ends() {
    for seed in 0..20 {
        let mut world = world(2);
        world.submit(1, chain(vec![short(16, 300), short(8, 200)]));
        check_done(&mut world, 5000, "first incarnation");
        world.submit(2, chain(vec![short(16, 400), short(8, 100), short(16, 50)]));
        world.run(seed * 37);
        restart(&mut world, 0, 5);
        check_done(&mut world, 9000, &format!("after {} ms", seed * 37));
    }
}

/// A start may reach the new incarnation before a poll does, and its run may end by then. The poll
/// that discovers the incarnation names the last end observed from the previous one.
#[test]
fn a_poll_that_finds_a_new_incarnation_confirms_no_ends() {
    for downtime in [5, 20, 50] {
        for delay in (0..100).step_by(10) {
            let mut world = world(1);
            world.submit(1, chain(vec![short(8, 300), short(4, 200)]));
            check_done(&mut world, 5000, "first incarnation");
            world.run(RESTART_LIMIT_MS);
            restart(&mut world, 0, downtime);
            world.run(delay);
            world.submit(2, chain(vec![short(8, 20)]));
            check_done(&mut world, 5000, &format!("{downtime} {delay}"));
        }
    }
}

/// The runs of the old incarnation count as lost at once, not only when their leases expire.
#[test]
fn a_task_of_the_old_incarnation_restarts_soon() {
    for (downtime, case) in restart_cases() {
        for step in [long_running(1), short(1, 30_000)] {
            let mut world = world_with(step);
            world.restart = case;
            restart(&mut world, 0, downtime);
            let unknown = if case.new_address {
                case.row_delay_ms
            } else {
                0
            };
            world.run(unknown + RESTART_LIMIT_MS);
            let context = format!("{downtime} {case:?}");
            assert_eq!(first_job_runs(&world), 1, "{context}");
            check_invariants(&world, 0);
        }
    }
}

/// The clock of a new incarnation starts below the end of the leases that the old one had.
#[test]
fn runs_of_a_new_incarnation_are_lost_when_its_own_leases_expire() {
    for (downtime, case) in restart_cases() {
        let context = format!("{downtime} {case:?}");
        let mut world = world_with(on_first_rack(long_running(1)));
        world.restart = case;
        partition(&mut world, 1);
        restart(&mut world, 0, downtime);
        world.run(case.row_delay_ms + RESTART_LIMIT_MS);
        assert_eq!(world.workers[0].runs.len(), 1, "{context}");
        world.workers[1].partitioned = false;
        world.run(RESTART_LIMIT_MS);
        world.restart_ms = 600_000;
        world.lose_power(0);
        world.run(MAX_LEASES_MS);
        assert_eq!(first_job_runs(&world), 1, "{context}");
        check_invariants(&world, 0);
    }
}

/// Asserts that the first worker takes work while it is the only reachable one.
fn check_takes_work(world: &mut World, context: &str) {
    for worker in &mut world.workers[1..] {
        worker.partitioned = true;
    }
    world.run(RESTART_LIMIT_MS);
    world.submit(90, chain(vec![on_first_rack(short(2, 200))]));
    check_done(world, RESTART_LIMIT_MS, context);
}

#[test]
fn a_worker_takes_work_after_its_leases_expired() {
    for row_delay in ROW_DELAYS_MS {
        let mut world = world_with(long_running(1));
        world.restart.row_delay_ms = row_delay;
        world.restart_ms = MAX_LEASES_MS + 3000;
        world.lose_power(0);
        world.run(MAX_LEASES_MS);
        assert_eq!(first_job_runs(&world), 1);
        check_invariants(&world, 0);
        world.run(3100 + row_delay);
        check_takes_work(&mut world, &format!("{row_delay}"));
    }
}

#[test]
fn a_worker_takes_work_after_its_row_expired() {
    for (downtime, case) in restart_cases() {
        let mut world = world_with(long_running(1));
        world.restart = case;
        world.expire_row(0);
        world.run(500);
        restart(&mut world, 0, downtime);
        world.run(case.row_delay_ms + 500);
        check_takes_work(&mut world, &format!("{downtime} {case:?}"));
    }
}

/// Two workers restart, each at the address of the other.
#[test]
fn a_worker_takes_work_after_another_one_answered_at_its_address() {
    for row_delay in [0, 1000, 3000] {
        let mut world = world_with(long_running(1));
        world.restart.row_delay_ms = row_delay;
        world.restart_ms = 50;
        world.crash(0);
        world.crash(1);
        world.run(45);
        world.swap_ports(0, 1);
        world.run(10 + row_delay + RESTART_LIMIT_MS);
        let context = format!("{row_delay}");
        assert_eq!(first_job_runs(&world), 1, "{context}");
        check_takes_work(&mut world, &context);
    }
}

/// An unanswered start may be carried out by the new incarnation seconds later, unless the owner
/// blocks it there.
#[test]
fn a_late_start_of_the_old_incarnation_does_not_overlap_the_next_run() {
    for (downtime, case) in restart_cases() {
        for late in [800, 1500, 3000, 5000] {
            let mut world = world(3);
            world.restart = case;
            world.workers[0].delay_ms = late;
            world.workers[1].partitioned = true;
            world.workers[2].partitioned = true;
            world.run(2000);
            world.submit(FIRST_JOB.0, chain(vec![short(1, 4000)]));
            world.run(150);
            world.workers[1].partitioned = false;
            world.workers[2].partitioned = false;
            restart(&mut world, 0, downtime);
            check_done(&mut world, 20_000, &format!("{late} {downtime} {case:?}"));
        }
    }
}

/// An order to the old incarnation names the end of a lease on its clock, which is later than any
/// lease on the new clock. The worker cuts it to the maximum lease from the arrival of the order.
#[test]
fn a_late_order_to_the_old_incarnation_gets_no_longer_lease() {
    for downtime in [5, 400] {
        for late in [800, 1500, 3000] {
            let mut world = world_with(on_first_rack(long_running(1)));
            partition(&mut world, 1);
            world.workers[0].delay_ms = late;
            world.submit(2, chain(vec![short(3, 300)]));
            world.run(100);
            restart(&mut world, 0, downtime);
            world.run(late);
            world.workers[0].partitioned = true;
            world.workers[1].partitioned = false;
            world.run(MAX_LEASES_MS + RESTART_LIMIT_MS);
            let context = format!("{late} {downtime}");
            check_done(&mut world, 0, &context);
            assert_eq!(first_job_runs(&world), 1, "{context}");
        }
    }
}

/// Another worker answers at the address of the old incarnation, and the address of the new one has
/// not been published yet.
#[test]
fn a_late_start_is_waited_for_where_another_worker_answers() {
    for late in [800, 1500, 3000] {
        let mut world = world(3);
        world.restart.row_delay_ms = 3000;
        world.workers[0].delay_ms = late;
        partition(&mut world, 1);
        partition(&mut world, 2);
        world.submit(FIRST_JOB.0, chain(vec![short(1, 4000)]));
        world.run(100);
        world.workers[1].partitioned = false;
        world.workers[2].partitioned = false;
        world.restart_ms = 50;
        world.crash(0);
        world.crash(1);
        world.run(45);
        world.swap_ports(0, 1);
        check_done(&mut world, 25_000, &format!("{late}"));
    }
}

/// A start that the new incarnation accepted keeps its run for the maximum lease, although its
/// sender has read only the row of the old incarnation, whose lease expires earlier.
#[test]
fn a_start_accepted_by_an_unannounced_incarnation_is_waited_for() {
    for downtime in [110, 200, 300, 400] {
        let mut world = world_with(on_first_rack(long_running(1)));
        partition(&mut world, 1);
        world.restart.row_delay_ms = 3000;
        world.restart_ms = downtime;
        world.lose_power(0);
        world.run(downtime + 20);
        world.submit(2, chain(vec![on_first_rack(short(1, 20_000))]));
        world.run(100);
        let mut accepted = world.workers[0].runs.iter();
        assert!(accepted.any(|r| r.task.job == JobId(2)), "{downtime}");
        world.workers[0].partitioned = true;
        world.workers[1].partitioned = false;
        check_done(&mut world, 45_000, &format!("{downtime}"));
    }
}

/// Starts a new owner `after` milliseconds after a worker's crash, before or after the worker has
/// restarted.
fn take_over(world: &mut World, downtime: u64, after: u64) {
    world.restart_ms = downtime;
    world.pause(true);
    let end = world.lease_end();
    world.crash(0);
    world.run(after);
    world.take_over(end);
}

#[test]
fn a_new_owner_gives_up_runs_of_the_old_incarnation() {
    for (downtime, case) in restart_cases() {
        for after in [0, 20, 700, 2500] {
            let mut world = world_with(long_running(1));
            world.restart = case;
            take_over(&mut world, downtime, after);
            let known = downtime
                + if case.new_address {
                    case.row_delay_ms
                } else {
                    0
                };
            world.run(known.saturating_sub(after) + RESTART_LIMIT_MS + 500);
            assert_eq!(first_job_runs(&world), 1, "{downtime} {after} {case:?}");
            check_invariants(&world, 0);
        }
    }
}

/// The old owner sent the start to the old incarnation, and the new incarnation carries it out.
#[test]
fn a_new_owner_adopts_no_run_that_was_replaced() {
    for late in (300..5000).step_by(300) {
        for downtime in ABSENCES_MS {
            let mut world = world(3);
            world.restart.row_delay_ms = 2000;
            world.workers[0].delay_ms = late;
            for at in [1, 2] {
                world.workers[at].partitioned = true;
            }
            world.run(2000);
            world.submit(FIRST_JOB.0, chain(vec![short(1, 4000)]));
            world.run(100);
            for at in [1, 2] {
                world.workers[at].partitioned = false;
            }
            take_over(&mut world, downtime, 200);
            check_done(&mut world, 25_000, &format!("{late} {downtime}"));
        }
    }
}

#[test]
fn a_row_of_the_old_incarnation_does_not_replace_the_new_one() {
    for (downtime, case) in restart_cases() {
        let context = format!("{downtime} {case:?}");
        let mut world = world_with(on_first_rack(long_running(1)));
        world.restart = case;
        partition(&mut world, 1);
        restart(&mut world, 0, downtime);
        world.run(case.row_delay_ms + RESTART_LIMIT_MS);
        assert_eq!(world.workers[0].runs.len(), 1, "{context}");
        let run = world.workers[0].runs[0].run;
        for id in 10..16 {
            world.republish_past_rows();
            world.submit(id, chain(vec![on_first_rack(short(2, 200))]));
            world.run(400);
        }
        check_done(&mut world, RESTART_LIMIT_MS, &context);
        let now = world.workers[0].runs.first().map(|r| r.run);
        assert_eq!(now, Some(run), "{context}: the run was replaced");
        // The row of the current incarnation is published again as well.
        world.announce(0, true);
        check_takes_work(&mut world, &context);
    }
}

/// A row that expired and is published again, or that is published twice, is no restart.
#[test]
fn a_row_that_is_published_again_is_no_restart() {
    let mut world = world_with(long_running(1));
    for _ in 0..4 {
        world.expire_row(0);
        world.run(700);
        world.announce(0, true);
        world.run(300);
        world.announce(0, true);
    }
    let run = world.workers[0].runs.first().map(|r| r.run);
    assert_eq!(run, Some(1));
    check_invariants(&world, 0);
}

/// If a worker's wall clock is set back, its new incarnation has the earlier start time. The new
/// incarnation must remain the current one.
#[test]
fn an_incarnation_with_an_earlier_start_time_is_kept() {
    for row_delay in ROW_DELAYS_MS {
        for sequence in [[true, false], [false, true], [true, true]] {
            let mut world = world_with(on_first_rack(long_running(1)));
            partition(&mut world, 1);
            for clock_back in sequence {
                world.restart = Restart {
                    clock_back,
                    new_address: clock_back,
                    row_delay_ms: row_delay,
                };
                restart(&mut world, 0, 30);
                world.republish_past_rows();
                world.run(row_delay + RESTART_LIMIT_MS + 500);
                assert_eq!(world.workers[0].runs.len(), 1, "{row_delay} {clock_back}");
                check_invariants(&world, 0);
            }
            // The task is isolated after its crashes.
            world.run(4000);
            world.republish_past_rows();
            check_takes_work(&mut world, &format!("{row_delay} {sequence:?}"));
        }
    }
}

/// Without a start time each incarnation has a new name.
#[test]
fn workers_without_start_times_restart_under_new_names() {
    for downtime in ABSENCES_MS {
        let mut world = World::new(WorldSettings::default());
        world.run(100);
        world.submit(1, chain(vec![long_running(4)]));
        world.submit(2, chain(vec![short(8, 900), short(8, 300)]));
        world.run(1500);
        restart(&mut world, 0, downtime);
        world.run(RESTART_LIMIT_MS + 500);
        let runs = world.workers.iter().flat_map(|w| &w.runs);
        assert_eq!(
            runs.filter(|r| r.task.job == FIRST_JOB).count(),
            4,
            "{downtime}"
        );
        check_done(&mut world, 9000, &format!("{downtime}"));
        assert!(world.past_rows.is_empty());
    }
}

/// A task that crashes its worker is given up even if there is only one worker.
#[test]
fn crashes_of_two_incarnations_count_as_two() {
    for downtime in [300, 700, 3000] {
        let mut world = world(1);
        world.restart_ms = downtime;
        let task = TaskId {
            job: FIRST_JOB,
            repetition: 0,
            step: 0,
            index: 0,
        };
        world.crashers.push(Crasher { task, after_ms: 10 });
        world.submit(FIRST_JOB.0, chain(vec![short(1, 800)]));
        world.run(45_000);
        check_invariants(&world, 0);
        assert_eq!(world.outcome(FIRST_JOB), Outcome::Failed, "{downtime}");
    }
}

/// A start is blamed for the end of the incarnation that it was sent to, and not for the ends of
/// later ones that never had it: otherwise the job of a task that crashes no worker fails.
#[test]
fn a_start_is_not_blamed_for_later_incarnations() {
    let mut world = world(3);
    let id = world.submit(1, chain(vec![short(1, 3000)]));
    let start = |world: &World| world.workers.iter().position(|w| !w.runs.is_empty());
    while start(&world).is_none() {
        world.run(10);
    }
    let at = start(&world).expect("run");
    // Each incarnation ends before a report shows that the start is not there.
    for _ in 0..3 {
        restart(&mut world, at, 400);
        world.run(30);
        assert_eq!(start(&world), None, "started once");
    }
    world.run(1500);
    assert_ne!(world.outcome(id), Outcome::Failed, "one start");
    check_done(&mut world, 30_000, "one start");
}
