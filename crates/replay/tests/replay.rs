//! Recording and replaying of traces, and detection of replays that differ.

use std::path::{Path, PathBuf};

use gorsespur_core::{
    shard::{
        Event, JobKey, JobSpec, ShardId, ShardScheduler, ShardSettings, ShardState, Takeover,
        WorkerAnswer, WorkerInfo,
    },
    size::Size,
    template::Priority,
};
use gorsespur_replay::{Expected, Recorder, Trace, TraceError, program::run_one, replay};
use test_case::test_case;

const NOW: u64 = 1_000_000;

fn place() -> ShardId {
    ShardId {
        name: "shard".into(),
        index: 0,
        count: 1,
    }
}

fn takeover() -> Takeover {
    Takeover {
        epoch: 1,
        state: ShardState::default(),
        next_record: 0,
        inherited_hold: 1_000,
        settled: true,
    }
}

fn spec(id: &str) -> JobSpec {
    JobSpec {
        key: JobKey {
            org: "org".into(),
            id: id.into(),
        },
        kind: "kind".into(),
        team: "".into(),
        tasks: 1,
        size: Size::new(1_000, 1 << 30, 0),
        run_time: 1_000,
        priority: Priority::Normal,
        checkpoint: false,
        attempts: 3,
        service: true,
    }
}

fn events() -> Vec<(u64, Event)> {
    let addr = ([127, 0, 0, 1], 9).into();
    let worker = WorkerInfo {
        name: "w".into(),
        zone: "zone".into(),
        rack: "r".into(),
        addr,
        target: addr,
        size: Size::new(30_000, 125 << 30, 0),
        leaving: false,
    };
    let answer = WorkerAnswer {
        epoch: 1,
        seq: 1,
        refused: None,
        boot: 5,
        clock: 9,
        size: Size::new(30_000, 125 << 30, 0),
        leaving: false,
        running: Vec::new(),
        ended: Vec::new(),
        samples: Vec::new(),
    };
    let workers = Event::Workers {
        list: vec![worker],
        counts: vec![1],
    };
    let answered = Event::Answer {
        worker: "w".into(),
        answer,
    };
    vec![
        (NOW, workers),
        (NOW, Event::Tick),
        (NOW + 5, answered),
        (NOW + 10, Event::Submit(vec![spec("a"), spec("b")])),
        (NOW + 20, Event::Tick),
        (NOW + 30, Event::Committed(4)),
        (NOW + 700, Event::Tick),
    ]
}

/// Records the events and returns the path of the trace file.
fn record(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("gorsespur-replay-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let path = dir.join("one.trace");
    let settings = ShardSettings::default();
    let mut scheduler = ShardScheduler::new(place(), settings.clone(), 7, takeover(), NOW);
    let created = Recorder::create(&path, &place(), &settings, 7, &takeover(), NOW);
    let mut recorder = created.expect("created");
    for (now, event) in events() {
        let actions = scheduler.step(now, &event);
        recorder.add_step(now, &event, &actions).expect("recorded");
    }
    path
}

fn remove(path: &Path) {
    let _ = std::fs::remove_dir_all(path.parent().expect("a directory"));
}

#[test]
fn a_trace_replays_to_the_same_actions() {
    let path = record("same");
    let trace = Trace::read(&path).expect("well-formed");
    assert_eq!(trace.frames.len(), events().len());
    let outcome = replay(&trace).expect("the same");
    assert_eq!(
        (outcome.steps, outcome.started, outcome.overcommitted),
        (7, 2, 0)
    );
    remove(&path);
}

#[test]
fn a_changed_decision_is_detected() {
    let path = record("changed");
    let mut trace = Trace::read(&path).expect("well-formed");
    trace.header.settings.max_placements = 1;
    let result = replay(&trace);
    assert!(
        matches!(result, Err(TraceError::ActionsDiffer { .. })),
        "{result:?}"
    );
    remove(&path);
}

#[test]
fn a_truncated_trace_replays_its_complete_frames() {
    let path = record("cut");
    let bytes = std::fs::read(&path).expect("read");
    std::fs::write(&path, &bytes[..bytes.len() - 3]).expect("written");
    let trace = Trace::read(&path).expect("well-formed");
    assert_eq!(trace.frames.len(), events().len() - 1);
    replay(&trace).expect("the same");
    remove(&path);
}

#[test_case("started: 2", true; "as expected")]
#[test_case("started: 3", false; "different number")]
#[test_case("surprise: 1", false; "unknown outcome")]
fn outcomes_are_compared_with_the_expected_ones(text: &str, passes: bool) {
    let path = record(&text.replace(": ", "-"));
    std::fs::write(path.with_extension("trace.yaml"), text).expect("written");
    assert_eq!(run_one(&path).is_ok(), passes);
    remove(&path);
}

#[test]
fn invariants_are_checked_without_expected_outcomes() {
    let path = record("invariant");
    let trace = Trace::read(&path).expect("well-formed");
    let mut outcome = replay(&trace).expect("the same");
    outcome.doubled = 1;
    assert!(outcome.check(&Expected::default()).is_err());
    remove(&path);
}

/// Replays the traces in `traces`, which `./trial --record` recorded while a scheduler and a worker
/// were killed.
#[test]
fn the_recorded_traces_pass() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let mut count = 0;
    for file in std::fs::read_dir(dir).expect("the traces") {
        let path = file.expect("a file").path();
        if path.extension().is_some_and(|e| e == "trace") {
            run_one(&path).unwrap_or_else(|err| panic!("{}: {err}", path.display()));
            count += 1;
        }
    }
    assert!(count >= 3, "{count} traces");
}
