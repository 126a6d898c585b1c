use test_case::test_case;

use crate::{entitlement::room::stranded_cpu, runs::worker::Capacity};

fn capacity(cpu: u64, memory: u64) -> Capacity {
    Capacity {
        cpu,
        memory,
        gpu: 0,
    }
}

/// CPU and memory of a free piece and of the typical task.
#[test_case((3500, 9000), (1000, 1000), 500; "a remainder")]
#[test_case((3000, 9000), (1000, 1000), 0; "three tasks fit exactly")]
#[test_case((900, 9000), (1000, 1000), 900; "no task fits")]
#[test_case((3500, 1900), (1000, 1000), 2500; "memory for one task")]
#[test_case((3500, 0), (1000, 0), 500; "tasks without memory")]
#[test_case((3500, 9000), (0, 0), 0; "no short tasks")]
fn cpu_in_small_pieces_is_stranded(free: (u64, u64), task: (u64, u64), expected: u64) {
    let stranded = stranded_cpu(capacity(free.0, free.1), capacity(task.0, task.1));
    assert_eq!(stranded, expected);
}
