use test_case::test_case;

use crate::{
    entitlement::{
        WorkKind,
        demand::{Demand, QueueDemand},
        peaks::Peaks,
    },
    runs::worker::Capacity,
};

fn demand_of(queue: &str, cpu: u64) -> QueueDemand {
    let waiting = Capacity {
        cpu,
        ..Capacity::default()
    };
    QueueDemand {
        service: "s".into(),
        queue: queue.into(),
        kind: WorkKind::Short,
        priority: 0,
        demand: Demand {
            waiting,
            ..Demand::default()
        },
        tasks: cpu / 100,
        peak_tasks: 0,
    }
}

/// Records a demand five times a second and returns the peak at each second.
fn peaks_of(wave: impl Fn(u64) -> u64, seconds: u64) -> Vec<u64> {
    let mut peaks = Peaks::default();
    let mut out = Vec::new();
    for tick in 0..seconds * 5 {
        let mut rows = [demand_of("q", wave(tick))];
        peaks.record(3_600_000 + tick * 200, &mut rows);
        if tick % 5 == 4 {
            out.push(rows[0].demand.peak.cpu);
        }
    }
    out
}

/// A burst of a fifth of a second counts for ten seconds, and not for twelve.
#[test_case(0, 1000; "at once")]
#[test_case(9, 1000; "ten seconds later")]
#[test_case(12, 100; "after the window")]
fn a_burst_is_remembered(second: usize, expected: u64) {
    let peaks = peaks_of(|tick| if tick == 4 { 1000 } else { 100 }, 20);
    assert_eq!(peaks[second], expected);
}

/// A wave of demand is followed at once upwards, and downwards after the window.
#[test]
fn a_wave_is_followed() {
    let wave = |tick: u64| 1000 + (tick / 5).min(30).abs_diff(15) * 100;
    let peaks = peaks_of(wave, 60);
    for second in 11..60 {
        let window = (second - 10) * 5..=second * 5 + 4;
        let highest = window.map(wave).max().expect("not empty");
        assert_eq!(peaks[second as usize], highest, "second {second}");
    }
}

/// Queues come and go with the configuration; the others keep their peaks.
#[test]
fn a_removed_queue_leaves_the_peaks_of_others() {
    let mut peaks = Peaks::default();
    let now = 3_600_000;
    let mut rows = ["a", "b", "c"].map(|q| demand_of(q, 700));
    peaks.record(now, &mut rows);
    let mut rows = ["b", "bb", "c"].map(|q| demand_of(q, 100));
    peaks.record(now + 200, &mut rows);
    assert_eq!(rows.map(|r| r.demand.peak.cpu), [700, 100, 700]);
    let mut rows = ["a", "b"].map(|q| demand_of(q, 50));
    peaks.record(now + 400, &mut rows);
    assert_eq!(rows.map(|r| r.demand.peak.cpu), [50, 700]);
}
