//! Contract of a simulated worker: refused exchanges and starts, leases, and
//! idempotent starts and reports.

use std::sync::Arc;

use gorsespur_core::{
    shard::{AttemptId, ExchangeRefusal, StartOrder, StopOrder, WorkerEnd, WorkerRequest},
    size::Size,
};
use gorsespur_stand::{EntryKind, Ledger, MemoryCheckpoints, SimSettings, SimWorker, Slowdown};
use test_case::test_case;

const NOW_MS: u64 = 50_000;
const LEASE_MS: u64 = 15_000;

fn worker(ledger: &Arc<Ledger>) -> SimWorker {
    let settings = SimSettings {
        name: "w".into(),
        size: Size::new(10_000, 10 << 30, 0),
        period: 1_000,
        lag: 1_000,
        slowdown: Slowdown {
            seed: 1,
            strength: 0.0,
            shift: 0,
        },
    };
    let checkpoints = Arc::new(MemoryCheckpoints::default());
    SimWorker::new(settings, 77, ledger.clone(), checkpoints)
}

fn id(job: u32) -> AttemptId {
    AttemptId {
        job,
        task: 0,
        attempt: 1,
    }
}

fn order(job: u32, cores: u64) -> StartOrder {
    StartOrder {
        attempt: id(job),
        name: format!("org/job{job}/0").into(),
        kind: "kind".into(),
        size: Size::new(cores * 1_000, 1 << 30, 0),
        run_time: 60_000,
        resume: None,
        checkpoint: Some(format!("c{job}").into()),
        service: false,
    }
}

fn request(epoch: u64, seq: u64, echo: u64) -> WorkerRequest {
    WorkerRequest {
        shard: "shard".into(),
        epoch,
        seq,
        boot: 77,
        echo,
        lease: LEASE_MS,
        renew: true,
        lapse: Vec::new(),
        starts: Vec::new(),
        stops: Vec::new(),
        throttles: Vec::new(),
        acks: Vec::new(),
    }
}

/// Returns a worker that has started job 1 in exchange 5 of epoch 3.
fn running(ledger: &Arc<Ledger>) -> SimWorker {
    let mut w = worker(ledger);
    let mut r = request(3, 5, NOW_MS);
    r.starts.push(order(1, 2));
    let answer = w.exchange(NOW_MS, &r);
    assert_eq!((answer.refused, answer.running.len()), (None, 1));
    w
}

#[test_case(2, 9, "shard", Some(ExchangeRefusal::OldEpoch); "older epoch")]
#[test_case(3, 5, "shard", Some(ExchangeRefusal::OldSeq); "same exchange again")]
#[test_case(3, 4, "shard", Some(ExchangeRefusal::OldSeq); "older exchange")]
#[test_case(3, 6, "other", Some(ExchangeRefusal::OtherShard); "another shard")]
#[test_case(3, 6, "shard", None; "next exchange")]
#[test_case(4, 1, "shard", None; "newer epoch")]
fn only_accepted_exchanges_take_effect(
    epoch: u64,
    seq: u64,
    shard: &str,
    refused: Option<ExchangeRefusal>,
) {
    let ledger = Arc::new(Ledger::default());
    let mut w = running(&ledger);
    let mut r = request(epoch, seq, NOW_MS);
    r.shard = shard.into();
    r.stops.push(StopOrder {
        attempt: id(1),
        save: false,
    });
    let answer = w.exchange(NOW_MS + 10, &r);
    assert_eq!(answer.refused, refused);
    assert_eq!(
        answer.running.is_empty(),
        refused.is_none(),
        "an exchange takes effect if and only if it is accepted"
    );
}

#[test]
fn a_lease_counts_from_the_echo_not_from_the_arrival() {
    let ledger = Arc::new(Ledger::default());
    let mut w = running(&ledger);
    w.exchange(NOW_MS + LEASE_MS - 1, &request(3, 6, NOW_MS));
    assert_eq!(w.running(), 1);
    w.advance(NOW_MS + LEASE_MS);
    assert_eq!(w.running(), 0);
}

#[test]
fn a_renewal_extends_the_lease() {
    let ledger = Arc::new(Ledger::default());
    let mut w = running(&ledger);
    w.exchange(NOW_MS + 5_000, &request(3, 6, NOW_MS + 4_900));
    w.advance(NOW_MS + LEASE_MS + 100);
    assert_eq!(w.running(), 1);
    w.advance(NOW_MS + LEASE_MS + 4_900);
    assert_eq!(w.running(), 0);
}

#[test]
fn a_start_with_an_expired_lease_is_refused() {
    let ledger = Arc::new(Ledger::default());
    let mut w = running(&ledger);
    let mut r = request(3, 6, NOW_MS);
    r.starts.push(order(2, 2));
    let answer = w.exchange(NOW_MS + LEASE_MS, &r);
    let end = answer
        .ended
        .iter()
        .find(|e| e.attempt == id(2))
        .map(|e| e.end);
    assert_eq!(end, Some(WorkerEnd::Refused));
}

#[test]
fn orders_for_an_earlier_boot_start_and_renew_nothing() {
    let ledger = Arc::new(Ledger::default());
    let mut w = running(&ledger);
    let mut r = request(3, 6, NOW_MS + 9_000);
    r.boot = 76;
    r.starts.push(order(2, 2));
    let answer = w.exchange(NOW_MS + 9_000, &r);
    assert_eq!(answer.running, [id(1)]);
    w.advance(NOW_MS + LEASE_MS);
    assert_eq!(w.running(), 0);
}

#[test]
fn a_start_without_room_is_refused_and_recorded() {
    let ledger = Arc::new(Ledger::default());
    let mut w = running(&ledger);
    let mut r = request(3, 6, NOW_MS);
    r.starts.push(order(2, 9));
    let answer = w.exchange(NOW_MS, &r);
    assert_eq!(answer.ended[0].end, WorkerEnd::Refused);
    assert!(ledger.entries().iter().any(|e| e.what == EntryKind::NoRoom));
}

#[test]
fn a_repeated_start_runs_once_and_an_end_is_reported_until_acknowledged() {
    let ledger = Arc::new(Ledger::default());
    let mut w = running(&ledger);
    for seq in 6..9 {
        let mut r = request(3, seq, NOW_MS);
        r.starts.push(order(1, 2));
        w.exchange(NOW_MS + seq, &r);
    }
    let mut r = request(3, 9, NOW_MS);
    r.stops.push(StopOrder {
        attempt: id(1),
        save: true,
    });
    assert_eq!(
        w.exchange(NOW_MS + 9, &r).ended[0].end,
        WorkerEnd::Stopped { saved: true }
    );
    let mut again = request(3, 10, NOW_MS);
    again.starts.push(order(1, 2));
    assert_eq!(w.exchange(NOW_MS + 10, &again).ended.len(), 1);
    let mut ack = request(3, 11, NOW_MS);
    ack.acks.push(id(1));
    assert!(w.exchange(NOW_MS + 11, &ack).ended.is_empty());
    let starts = ledger
        .entries()
        .iter()
        .filter(|e| e.what == EntryKind::Start)
        .count();
    assert_eq!(starts, 1);
}
