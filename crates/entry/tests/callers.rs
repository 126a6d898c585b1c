//! End-to-end tests of the replies to callers, in one process.

mod common;

use std::thread;

use common::Zone;
use gorsespur_runtime::client::{Response, find_header};
use gorsespur_stand::{EntryKind, PlatformFaults, WorkerFaults, answer_body};
use serde_json::Value;

const SERVICE: &str = "/s/first/hello/x";

fn outcome(answer: &Response) -> &str {
    find_header(&answer.headers, "x-outcome").unwrap_or("none")
}

fn job(answer: &Response) -> Value {
    serde_json::from_slice(&answer.body).expect("JSON")
}

/// Returns how often a request ran, from the worker's ledger.
fn run_count(zone: &Zone, id: &str) -> usize {
    let entries = zone.ledger.entries();
    entries
        .iter()
        .filter(|e| e.what == EntryKind::Request && e.name == id)
        .count()
}

#[test]
fn bad_input_is_refused_as_not_run() {
    let zone = Zone::start();
    let long = "x".repeat(200);
    let requests: [(&str, &str, &str, u16); 9] = [
        (SERVICE, "x-deadline-ms", "soon", 400),
        (SERVICE, "x-deadline-ms", "0", 400),
        (SERVICE, "x-deadline-ms", "99999999999", 400),
        (SERVICE, "x-priority", "first", 400),
        (SERVICE, "x-repeatable", "maybe", 400),
        (SERVICE, "x-request-id", "a b", 400),
        (SERVICE, "idempotency-key", &long, 400),
        ("/s/nobody/hello/x", "x-priority", "bulk", 404),
        ("/s/first/nothing/x", "x-priority", "bulk", 404),
    ];
    for (path, name, value, status) in requests {
        let answer = zone
            .call("GET", path)
            .header(name, value)
            .send()
            .expect("an answer");
        assert_eq!(
            (answer.status, outcome(&answer)),
            (status, "not-run"),
            "{path} {name} {value}"
        );
        if status == 400 {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(text.starts_with(name), "names the field: {text}");
        }
    }
    let jobs: [(&str, &str, &str, u16); 10] = [
        ("PUT", "/v1/orgs/first/jobs/a", "{", 400),
        (
            "PUT",
            "/v1/orgs/first/jobs/a",
            "{\"kind\": \"renewal\", \"extra\": 1}",
            400,
        ),
        (
            "PUT",
            "/v1/orgs/first/jobs/a",
            "{\"kind\": \"renewal\", \"tasks\": -1}",
            400,
        ),
        (
            "PUT",
            "/v1/orgs/first/jobs/a",
            "{\"kind\": \"renewal\", \"tasks\": 2}",
            422,
        ),
        (
            "PUT",
            "/v1/orgs/first/jobs/a",
            "{\"kind\": \"renewal\", \"tasks\": 0}",
            422,
        ),
        ("PUT", "/v1/orgs/first/jobs/a", "{\"kind\": \"none\"}", 422),
        (
            "PUT",
            "/v1/orgs/first/jobs/a%07b",
            "{\"kind\": \"renewal\"}",
            400,
        ),
        (
            "PUT",
            "/v1/orgs/nobody/jobs/a",
            "{\"kind\": \"renewal\"}",
            404,
        ),
        ("POST", "/v1/orgs/first/cancel", "{\"ids\": [\"a b\"]}", 400),
        ("PATCH", "/v1/orgs/first/jobs/a", "", 405),
    ];
    for (method, path, body, status) in jobs {
        let answer = zone.send(method, path, body);
        assert_eq!(
            (answer.status, outcome(&answer)),
            (status, "not-run"),
            "{method} {path} {body}"
        );
    }
    assert_eq!(
        zone.send("GET", "/v1/orgs/first/jobs/a", "").status,
        404,
        "nothing was stored"
    );
    let big = "x".repeat(2 << 20);
    assert_eq!(zone.send("POST", SERVICE, &big).status, 413);
}

#[test]
fn a_job_is_accepted_once_and_ends() {
    let zone = Zone::start();
    let path = "/v1/orgs/first/jobs/one";
    let body = "{\"kind\": \"renewal\"}";
    assert_eq!(zone.send("PUT", path, body).status, 201);
    assert_eq!(zone.send("PUT", path, body).status, 200);
    zone.wait_until("the job is done", || {
        job(&zone.send("GET", path, ""))["state"] == "done"
    });
    assert_eq!(job(&zone.send("PUT", path, body))["state"], "done");
    let done = zone
        .ledger
        .entries()
        .iter()
        .filter(|e| e.what == EntryKind::Done)
        .count();
    assert_eq!(done, 1);
    let other = "/v1/orgs/first/jobs/two";
    assert_eq!(zone.send("PUT", other, body).status, 201);
    assert_eq!(zone.send("DELETE", other, "").status, 200);
    zone.wait_until("the job is cancelled", || {
        job(&zone.send("GET", other, ""))["state"] == "cancelled"
    });
    assert_eq!(zone.send("DELETE", other, "").status, 200, "again");
    assert_eq!(
        zone.send("DELETE", "/v1/orgs/first/jobs/none", "").status,
        404
    );
}

#[test]
fn an_idempotency_key_runs_once_and_repeats_its_answer() {
    let zone = Zone::start();
    let send = |id: &str, key: &str, body: &str| {
        let call = zone
            .call("POST", SERVICE)
            .header("x-request-id", id)
            .body(body.into());
        call.header("idempotency-key", key)
            .send()
            .expect("an answer")
    };
    let first = send("r1", "k1", "hold");
    assert_eq!((first.status, outcome(&first)), (200, "ran"));
    assert_eq!(first.body, answer_body("r1", SERVICE, b"hold"));
    let again = send("r2", "k1", "hold");
    assert_eq!(
        (again.status, outcome(&again), &again.body),
        (200, "ran", &first.body)
    );
    assert_eq!((run_count(&zone, "r1"), run_count(&zone, "r2")), (1, 0));
    let other = send("r3", "k1", "another");
    assert_eq!((other.status, outcome(&other)), (422, "not-run"));
    zone.worker.set_faults(WorkerFaults {
        drop_answers: true,
        ..WorkerFaults::default()
    });
    let lost = send("r4", "k2", "hold");
    assert_eq!((lost.status, outcome(&lost)), (502, "unknown"));
    zone.worker.set_faults(WorkerFaults::default());
    let resent = send("r5", "k2", "hold");
    assert_eq!((resent.status, outcome(&resent)), (409, "unknown"));
    assert_eq!((run_count(&zone, "r4"), run_count(&zone, "r5")), (1, 0));
    zone.platform_faults(PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    let refused = send("r6", "k3", "hold");
    assert_eq!((refused.status, outcome(&refused)), (503, "not-run"));
    assert_eq!(run_count(&zone, "r6"), 0);
}

#[test]
fn answers_that_are_not_the_requests_own_are_not_delivered() {
    let zone = Zone::start();
    zone.worker.set_faults(WorkerFaults {
        swap_answers: true,
        ..WorkerFaults::default()
    });
    for (method, expected) in [("POST", "unknown"), ("GET", "unknown")] {
        let answer = zone.send(method, SERVICE, "");
        assert_eq!(
            (answer.status, outcome(&answer)),
            (502, expected),
            "{method}"
        );
    }
}

#[test]
fn without_the_table_service_requests_go_on_and_submissions_are_not_run() {
    let zone = Zone::start();
    zone.platform_faults(PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    });
    let answer = zone.send("GET", SERVICE, "");
    assert_eq!((answer.status, outcome(&answer)), (200, "ran"));
    let answer = zone.send("PUT", "/v1/orgs/first/jobs/one", "{\"kind\": \"renewal\"}");
    assert_eq!((answer.status, outcome(&answer)), (503, "not-run"));
    assert!(find_header(&answer.headers, "retry-after").is_some());
    zone.platform_faults(PlatformFaults::default());
    zone.wait_until("submissions are taken again", || {
        zone.send("PUT", "/v1/orgs/first/jobs/one", "{\"kind\": \"renewal\"}")
            .status
            == 201
    });
}

#[test]
fn a_planned_stop_ends_no_request_in_flight() {
    let mut zone = Zone::start();
    zone.worker.set_faults(WorkerFaults {
        slow_ms: 600,
        ..WorkerFaults::default()
    });
    let call = zone.call("GET", SERVICE).header("x-deadline-ms", "5000");
    let entry = zone.entry.take().expect("running");
    let (tx, rx) = std::sync::mpsc::channel();
    let caller = thread::spawn(move || {
        let _ = tx.send(());
        call.send()
    });
    rx.recv().expect("begun");
    zone.wait_until("the request runs", || zone.worker.busy() > 0);
    entry.stop();
    let answer = caller.join().expect("ended").expect("an answer");
    assert_eq!((answer.status, outcome(&answer)), (200, "ran"));
}
