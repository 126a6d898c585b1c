//! Divides capacity by priority and, within a priority, max-min fairly by dominant share.

use crate::runs::worker::Capacity;

/// What a queue claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Priority; 0 is the highest.
    pub(crate) priority: u32,
    /// What it could use.
    pub(crate) demand: Capacity,
}

/// Number of rounds of a division among claims of one priority. Each round satisfies a claim or
/// gives the rest out.
const MAX_ROUNDS: usize = 64;

/// Returns what each claim is entitled to, at most its demand, in the order of the claims.
///
/// Claims of a higher priority are satisfied first. Claims of one priority get equal dominant
/// shares: the larger of their shares of CPU, memory and accelerators.
pub(crate) fn divide(room: Capacity, claims: &[Claim]) -> Vec<Capacity> {
    let mut entitled = vec![Capacity::default(); claims.len()];
    let mut priorities: Vec<u32> = claims.iter().map(|c| c.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    let mut left = room;
    for priority in priorities {
        let members = (0..claims.len()).filter(|&i| claims[i].priority == priority);
        let members: Vec<usize> = members.collect();
        divide_equally(room, &mut left, claims, &members, &mut entitled);
    }
    entitled
}

/// Divides what is `left` of `room` among the claims of one priority.
fn divide_equally(
    room: Capacity,
    left: &mut Capacity,
    claims: &[Claim],
    members: &[usize],
    entitled: &mut [Capacity],
) {
    let mut open: Vec<usize> = members.to_vec();
    for _ in 0..MAX_ROUNDS {
        // Demand of all open claims per unit of dominant share.
        let mut rate = [0.0_f64; 3];
        open.retain(|&i| dominant_share(room, claims[i].demand) > 0.0);
        for &i in &open {
            let share = dominant_share(room, claims[i].demand);
            for (sum, amount) in rate.iter_mut().zip(parts(claims[i].demand)) {
                *sum += amount / share;
            }
        }
        if open.is_empty() {
            return;
        }
        // The largest growth that neither exceeds a resource nor a demand.
        let mut growth = f64::INFINITY;
        for (amount, rate) in parts(*left).into_iter().zip(rate) {
            if rate > 0.0 {
                growth = growth.min(amount / rate);
            }
        }
        for &i in &open {
            let share = dominant_share(room, claims[i].demand);
            growth = growth.min(share - dominant_share(room, entitled[i]));
        }
        for &i in &open {
            let share = dominant_share(room, claims[i].demand);
            let gain = scaled(claims[i].demand, growth.max(0.0) / share);
            entitled[i].add(gain);
            left.subtract(gain);
        }
        let exhausted = exhausted(*left);
        open.retain(|&i| {
            let demand = claims[i].demand;
            let is_satisfied =
                dominant_share(room, entitled[i]) + 1e-6 >= dominant_share(room, demand);
            let is_blocked = parts(demand)
                .iter()
                .zip(exhausted)
                .any(|(&d, e)| d > 0.0 && e);
            !is_satisfied && !is_blocked
        });
    }
}

/// Returns which resources are used up, but for rounding.
fn exhausted(left: Capacity) -> [bool; 3] {
    parts(left).map(|amount| amount < 2.0)
}

fn parts(capacity: Capacity) -> [f64; 3] {
    [
        capacity.cpu as f64,
        capacity.memory as f64,
        capacity.gpu as f64,
    ]
}

fn scaled(capacity: Capacity, factor: f64) -> Capacity {
    Capacity {
        cpu: (capacity.cpu as f64 * factor).round() as u64,
        memory: (capacity.memory as f64 * factor).round() as u64,
        gpu: (capacity.gpu as f64 * factor).round() as u64,
    }
}

/// Returns the largest share of a resource that `part` takes of `room`.
fn dominant_share(room: Capacity, part: Capacity) -> f64 {
    let shares = parts(part).into_iter().zip(parts(room));
    let shares = shares.map(|(part, room)| {
        if part > 0.0 {
            part / room.max(1.0)
        } else {
            0.0
        }
    });
    shares.fold(0.0, f64::max)
}
