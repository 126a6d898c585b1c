//! Memory of in-process state, measured in allocated bytes.

use std::{alloc::System, hint::black_box};

use cap::Cap;

use gorsespur_core::{
    config::{ConfigEntry, Configs},
    member::{Heartbeat, MemberSettings, Peers, Role},
    name::Name,
    placement::PlacementPolicy,
    route::{RouteEvent, RouteSettings, Router, TargetList},
    shard::{Event, TargetInfo},
};

use super::LinearFit;
use crate::measure::{organisation, starts};

/// Counts allocated bytes. The resident memory would include freed memory that the allocator
/// retains.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Fits the allocated bytes of the value that `make` returns for each size.
fn fit_memory<T>(name: &str, sizes: &[usize], mut make: impl FnMut(usize) -> T) -> LinearFit {
    let mut points = Vec::new();
    for size in sizes {
        let before = ALLOCATOR.allocated();
        let value = black_box(make(*size));
        let after = ALLOCATOR.allocated();
        drop(value);
        points.push((*size as f64, after.saturating_sub(before) as f64));
    }
    LinearFit::fit(name, "bytes", points)
}

/// Measures the memory of each kind of state and returns the fits.
pub(crate) fn measure(seed: u64) -> Vec<LinearFit> {
    vec![
        fit_memory(
            "memory_worker",
            &[2_000, 4_000, 8_000, 16_000, 26_000],
            |n| starts::scheduler(PlacementPolicy::Interference, n, seed),
        ),
        fit_memory("memory_task", &[10_000, 20_000, 40_000, 80_000], |n| {
            let mut scheduler = starts::scheduler(PlacementPolicy::Interference, 8_000, seed);
            starts::place_tasks(&mut scheduler, n as u32, 0);
            scheduler
        }),
        fit_memory(
            "memory_queued_task",
            &[20_000, 40_000, 80_000, 160_000],
            |n| {
                let mut scheduler = starts::scheduler(PlacementPolicy::Interference, 1, seed);
                let mut specs = Vec::new();
                for i in 0..n / 10 {
                    specs.push(starts::job_spec(&format!("job{i}"), i, 10));
                }
                scheduler.step(1_000_010, &Event::Submit(specs));
                scheduler
            },
        ),
        fit_memory("memory_organisation", &[500, 1_000, 2_000, 4_000], |n| {
            let mut configs = Configs::default();
            for i in 1..=n {
                configs.update(&ConfigEntry {
                    version: 1,
                    template: organisation(i),
                });
            }
            configs
        }),
        fit_memory("memory_target", &[5_000, 10_000, 20_000, 40_000], router),
        fit_memory("memory_peer", &[5_000, 10_000, 20_000, 40_000], |n| {
            let mut peers = Peers::new(MemberSettings::default(), "zone0".into());
            for i in 0..n {
                peers.record_heartbeat(1, heartbeat(i, 1));
            }
            peers
        }),
    ]
}

fn router(n: usize) -> Router {
    let mut targets = Vec::new();
    for i in 0..n {
        targets.push(TargetInfo {
            org: format!("org{}", i % 89).into(),
            service: "service".into(),
            worker: format!("w{i:06}").into(),
            addr: ([127, 0, 0, 1], 1).into(),
            slots: 8,
            connections: 60,
            leaving: false,
        });
    }
    let mut router = Router::new(RouteSettings::default(), 1);
    let list = TargetList {
        shard: 0,
        epoch: 1,
        version: 1,
        same_zone: true,
        targets,
    };
    router.step(1_000, &RouteEvent::Targets(list));
    router
}

/// Returns heartbeat `seq` of instance `i`.
pub(crate) fn heartbeat(i: usize, seq: u64) -> Heartbeat {
    Heartbeat {
        id: Name::from(format!("sched-zone-{i:04}")),
        role: Role::Sched,
        zone: "zone0".into(),
        incarnation: 1_796_222_171_983,
        seq,
        addr: ([127, 0, 0, 1], 40_000).into(),
        leaving: false,
        config_head: 40_000,
        shards: vec![gorsespur_core::member::ShardOwnership {
            shard: i as u32,
            epoch: 7,
            targets_version: 99,
        }],
    }
}
