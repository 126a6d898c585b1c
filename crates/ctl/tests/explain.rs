//! Causes and time sums that `explain` and `losses` derive from logs.

use gorsespur_ctl::explain::{
    Cause,
    logs::CollectedLogs,
    losses::{by_queue, by_window},
    timeline::JobTimeline,
};
use test_case::test_case;

const JOB: &str = "5c0e7a21d94b36f8";

fn read_logs(log: &str) -> CollectedLogs {
    let mut logs = CollectedLogs::default();
    logs.add_log(log.as_bytes()).expect("readable log");
    logs.lines.sort_by_key(|l| l.ms);
    logs
}

fn cause(log: &str) -> Cause {
    Cause::of(&JobTimeline::for_job(&read_logs(log), JOB))
}

const ACCEPTED: &str = r#"
{"ms":1000,"node":"a","msg":"front: answered","method":"POST","path":"/q/5c0e7a21d94b36f8","status":200}
{"ms":1010,"node":"b","msg":"jobs: taken up","job":"5c0e7a21d94b36f8","queue":"q"}
"#;

#[test]
fn a_task_that_failed_too_often_is_named() {
    let log = format!(
        r#"{ACCEPTED}
{{"ms":1020,"node":"b","msg":"start: sent","task":"{JOB}.0.0.1","run":1,"worker":"w1"}}
{{"ms":1220,"node":"b","msg":"run: ended","task":"{JOB}.0.0.1","run":1,"worker":"w1","how":"Failed"}}
{{"ms":1300,"node":"b","msg":"start: sent","task":"{JOB}.0.0.1","run":2,"worker":"w2"}}
{{"ms":1500,"node":"b","msg":"run: ended","task":"{JOB}.0.0.1","run":2,"worker":"w2","how":"Failed"}}
{{"ms":1500,"node":"b","msg":"jobs: ended","job":"{JOB}","outcome":"Failed"}}"#
    );
    let expected = Cause::Failed {
        task: format!("{JOB}.0.0.1"),
        failures: 2,
        workers: 2,
    };
    assert_eq!(cause(&log), expected);
}

#[test]
fn a_task_that_crashed_its_workers_is_named() {
    let log = format!(
        r#"{ACCEPTED}
{{"ms":1020,"node":"b","msg":"start: sent","task":"{JOB}.0.0.1","run":1,"worker":"w1"}}
{{"ms":4220,"node":"b","msg":"run: lost with its worker","task":"{JOB}.0.0.1","run":1,"worker":"w1"}}
{{"ms":4300,"node":"b","msg":"start: sent","task":"{JOB}.0.0.1","run":2,"worker":"w2","apart":true}}
{{"ms":7500,"node":"b","msg":"job: a task crashes its workers","task":"{JOB}.0.0.1","crashes":3}}
{{"ms":7500,"node":"b","msg":"jobs: ended","job":"{JOB}","outcome":"Failed"}}
{{"ms":8500,"node":"b","msg":"run: lost with its worker","task":"{JOB}.0.0.1","run":2,"worker":"w2"}}"#
    );
    let expected = Cause::Crashed {
        task: format!("{JOB}.0.0.1"),
        workers: 2,
    };
    assert_eq!(cause(&log), expected);
}

#[test]
fn a_refused_job_reports_its_last_error() {
    let log = format!(
        r#"{{"ms":1000,"node":"a","msg":"front: job not taken","job":"{JOB}","err":"store unavailable: status 503"}}
{{"ms":1001,"node":"a","msg":"front: answered","method":"POST","path":"/q/{JOB}","status":503}}"#
    );
    let expected = Cause::Refused {
        times: 1,
        err: Some("store unavailable: status 503".into()),
    };
    assert_eq!(cause(&log), expected);
}

#[test]
fn a_job_without_capacity_reports_the_kind_of_work() {
    let log = format!(
        r#"{{"ms":1000,"node":"a","msg":"admission: refused","job":"{JOB}","queue":"q","kind":"long-running","retry_after_s":2}}
{{"ms":1001,"node":"a","msg":"front: answered","method":"POST","path":"/q/{JOB}","status":429}}"#
    );
    let expected = Cause::Refused {
        times: 1,
        err: Some("no capacity for long-running work".into()),
    };
    assert_eq!(cause(&log), expected);
}

fn log_of_one_run(before: &str, started: u64, ended: u64) -> String {
    format!(
        r#"{ACCEPTED}{before}
{{"ms":{started},"node":"b","msg":"start: sent","task":"{JOB}.0.0.0","run":1,"worker":"w1"}}
{{"ms":{ended},"node":"b","msg":"run: ended","task":"{JOB}.0.0.0","run":1,"worker":"w1","how":"Done"}}
{{"ms":{ended},"node":"b","msg":"jobs: ended","job":"{JOB}","outcome":"Complete"}}"#
    )
}

const LEASE_TAKEN_LINE: &str =
    r#"{"ms":3900,"node":"c","msg":"lease: taken","epoch":2,"from":"b","age_ms":2900}"#;

#[test_case("", 4000, 5000, Cause::Waited { ms: 3000 }; "for capacity")]
#[test_case(LEASE_TAKEN_LINE, 4000, 5000, Cause::NoOwner { ms: 2900 }; "for an owner")]
#[test_case("", 1100, 5000, Cause::Worked { ms: 3900 }; "for its tasks")]
fn the_longest_activity_is_the_cause(before: &str, started: u64, ended: u64, expected: Cause) {
    assert_eq!(cause(&log_of_one_run(before, started, ended)), expected);
}

/// A job that no instance could place was reported as waiting for capacity.
#[test]
fn a_queue_without_a_policy_is_the_cause_until_a_task_starts() {
    let no_policy = format!(
        r#"
{{"ms":4100,"node":"b","msg":"job: its queue has no policy","task":"{JOB}.0.0.0","queue":"q","still_ms":3090}}"#
    );
    let expected = Cause::NoPolicy { queue: "q".into() };
    assert_eq!(cause(&format!("{ACCEPTED}{no_policy}")), expected);
    let log = log_of_one_run(&no_policy, 5000, 5500);
    assert_eq!(cause(&log), Cause::Waited { ms: 4000 });
}

#[test]
fn a_slowed_run_is_the_cause() {
    let pace_line = |ms: u64, to: u64| {
        format!(
            r#"{{"ms":{ms},"node":"b","msg":"pace: changed","task":"{JOB}.0.0.0","from":100,"to":{to}}}"#
        )
    };
    let log = format!(
        "{}\n{}\n{}",
        log_of_one_run("", 1100, 5000),
        pace_line(1200, 30),
        pace_line(4500, 100)
    );
    assert_eq!(cause(&log), Cause::Slowed { ms: 3300 });
}

#[test]
fn unparsed_and_dropped_lines_are_counted() {
    let log = format!(
        "{ACCEPTED}{{\"ms\":1,\"node\":\"a\",\"ms\nsomebody else's line\n  1.25 a {{\"ms\":2,\"node\":\"a\",\"msg\":\"log: lines dropped\",\"count\":7}}\n"
    );
    let logs = read_logs(&log);
    // The empty line at the start counts as unparsed.
    assert_eq!((logs.unparsed, logs.dropped), (3, 7));
    assert_eq!(logs.nodes().len(), 2);
}

#[test]
fn lines_of_other_jobs_give_no_cause() {
    let timeline = JobTimeline::for_job(&read_logs(ACCEPTED), "0000000000000001");
    assert_eq!(Cause::of(&timeline), Cause::Unknown);
}

/// Logs can be incomplete: an ended run proves that the job was accepted even if the line of the
/// acceptance is missing.
#[test]
fn a_job_that_ran_was_accepted() {
    let log = format!(
        r#"{{"ms":1000,"node":"b","msg":"run: ended","task":"{JOB}.0.0.0","run":1,"worker":"w1","how":"Done","ran_ms":1000}}
{{"ms":1500,"node":"b","msg":"jobs: ended","job":"{JOB}","outcome":"Complete"}}"#
    );
    assert_eq!(cause(&log), Cause::Waited { ms: 500 });
    let timeline = JobTimeline::for_job(&read_logs(&log), JOB);
    assert_eq!(timeline.runs[0].started_ms, 0, "{timeline:?}");
}

/// For two jobs, of which one waits for an owner, the sums by queue and by window have to add up
/// to the total time of the jobs.
#[test]
fn sums_by_queue_and_window_equal_the_total() {
    let other = log_of_one_run("", 1500, 2500).replace(JOB, "00000000000000aa");
    let log = format!("{}\n{other}", log_of_one_run(LEASE_TAKEN_LINE, 4000, 5000));
    let timelines = read_logs(&log).timelines();
    assert_eq!(timelines.len(), 2);
    let queues = by_queue(&timelines);
    assert_eq!((queues.len(), queues[0].jobs), (1, 2));
    let spent = queues[0].spent;
    assert_eq!(spent.total, 4000 + 1500);
    assert_eq!(
        (spent.at_work, spent.no_owner, spent.waiting),
        (2000, 2900, 600)
    );
    for window in [100, 2000, 7000] {
        let windows = by_window(&timelines, window);
        let sum = windows.iter().map(|t| t.at_work + t.no_owner + t.waiting);
        assert_eq!(sum.sum::<u64>(), spent.total, "{window} ms");
    }
    let causes: Vec<_> = queues[0].causes.iter().map(|c| (c.cause, c.jobs)).collect();
    assert_eq!(causes, [("at work", 1), ("no owner", 1)]);
}

/// A job that waits for half a minute with a takeover of one second has no owner for that second
/// only.
#[test]
fn a_takeover_counts_only_its_own_time_as_no_owner() {
    let taken = LEASE_TAKEN_LINE.replace("2900", "1000");
    let log = log_of_one_run(&taken, 30_000, 31_000);
    assert_eq!(cause(&log), Cause::Waited { ms: 28_000 });
    let spent = JobTimeline::for_job(&read_logs(&log), JOB).spent;
    assert_eq!((spent.no_owner, spent.total), (1000, 30_000));
}
