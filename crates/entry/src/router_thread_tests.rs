//! Tests of the delivery of the router's commands.

use gorsespur_core::{
    route::{Arrival, RouteEvent, RouteSettings, Router, TargetList},
    shard::TargetInfo,
    template::Priority,
};
use gorsespur_runtime::metrics::{MetricSettings, Metrics};

use crate::router_thread::{PendingRequest, RouterMessage, handle};

const NOW_MS: u64 = 1_000_000;

/// Guards against an attempt that occupies a slot at its target for ever. A
/// handler gave up at the deadline while its request was still queued; the later
/// command to send the request was dropped, and its end was never reported.
#[test]
fn an_attempt_without_a_handler_frees_its_slot() {
    let mut router = Router::new(RouteSettings::default(), 1);
    let target = TargetInfo {
        org: "org".into(),
        service: "service".into(),
        worker: "w".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        slots: 8,
        connections: 60,
        leaving: false,
    };
    let list = TargetList {
        shard: 0,
        epoch: 1,
        version: 1,
        same_zone: true,
        targets: vec![target],
    };
    router.step(NOW_MS, &RouteEvent::Targets(list));
    let metrics = Metrics::start(&MetricSettings::default(), "test").expect("no socket needed");
    let mut pending: Vec<PendingRequest> = Vec::new();
    let (reply, handler) = flume::bounded(16);
    drop(handler);
    let arrival = Arrival {
        req: 1,
        org: "org".into(),
        service: "service".into(),
        priority: Priority::Normal,
        deadline: NOW_MS + 1_000,
        repeatable: true,
        max_queued: 8,
        retry_percent: 10,
    };
    let arrive = RouterMessage::Arrive { arrival, reply };
    handle(&mut router, NOW_MS, arrive, &mut pending, &metrics);
    assert_eq!(router.targets("org", "service")[0].in_flight, 0);
}
