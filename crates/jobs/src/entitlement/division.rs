//! Divides capacity by priority and, within a priority, max-min fairly by dominant share.
//!
//! The load pattern is several queues that ask for more than there is, each with another mix of
//! CPU, memory and accelerators. Dominant shares let none of them gain by asking for more of what
//! is plentiful, and leave what one doesn't claim to the others.
//!
//! Limits: a claim is one mix of resources. Where its queue holds tasks of different mixes, it
//! stops growing as soon as any resource of the mix is used up.

use crate::runs::worker::Capacity;

/// Shares of the room that are too small to matter. Rounding errors of a division are far below
/// them, and they are far below one unit of any resource.
const NEGLIGIBLE: f64 = 1e-11;

/// Part of a unit by which an amount may miss a whole number by rounding errors.
const ROUNDING: f64 = 1e-4;

/// What a queue claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Priority; 0 is the highest.
    pub(crate) priority: u32,
    /// What it could use.
    pub(crate) demand: Capacity,
}

/// What a claim gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Portion {
    /// What the claim is entitled to, at most its demand.
    pub(crate) entitled: Capacity,
    /// Of each resource, what the claim would get if it asked for all of that resource.
    pub(crate) limit: Capacity,
}

/// Amounts of CPU, memory and accelerators, as shares of the room.
type Shares = [f64; 3];

/// Why a claim stopped growing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// All that it asks for is given.
    Satisfied,
    /// These resources are used up.
    Exhausted([bool; 3]),
}

/// A claim while its priority is divided.
#[derive(Debug)]
struct Member {
    /// Position in the claims.
    index: usize,
    /// What is given for each unit of dominant share.
    rate: Shares,
    /// Dominant share of the demand.
    wanted: f64,
    /// Dominant share that is given.
    level: f64,
    stop: Stop,
}

/// Divides `room` among `claims`; returns the portions in the order of the claims.
///
/// Claims of a higher priority are satisfied first. Claims of one priority get equal dominant
/// shares: the larger of their shares of CPU, memory and accelerators. Demand for a resource that
/// does not exist is left out.
pub(crate) fn divide(room: Capacity, claims: &[Claim]) -> Vec<Portion> {
    let mut portions = vec![Portion::default(); claims.len()];
    let mut priorities: Vec<u32> = claims.iter().map(|c| c.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    let mut left = parts(room).map(|amount| if amount > 0.0 { 1.0 } else { 0.0 });
    for priority in priorities {
        let of_priority = (0..).zip(claims).filter(|(_, c)| c.priority == priority);
        let mut members: Vec<Member> = of_priority
            .map(|(index, claim)| Member::new(index, room, claim))
            .collect();
        let before = left;
        grow_equally(&mut left, &mut members);
        let levels = unlimited_levels(before, &members);
        for (member, levels) in members.iter().zip(levels) {
            let entitled = member.entitled(room, claims[member.index].demand);
            portions[member.index] = Portion {
                entitled,
                limit: amounts(room, levels).max(entitled),
            };
        }
    }
    portions
}

impl Member {
    fn new(index: usize, room: Capacity, claim: &Claim) -> Member {
        let mut shares = [0.0; 3];
        for (share, (demand, room)) in shares
            .iter_mut()
            .zip(parts(claim.demand).into_iter().zip(parts(room)))
        {
            if room > 0.0 {
                *share = demand / room;
            }
        }
        let wanted = shares.into_iter().fold(0.0, f64::max);
        Member {
            index,
            rate: shares.map(|s| if wanted > 0.0 { s / wanted } else { 0.0 }),
            wanted,
            level: 0.0,
            stop: Stop::Satisfied,
        }
    }

    /// Returns what the claim gets of its `demand`.
    fn entitled(&self, room: Capacity, demand: Capacity) -> Capacity {
        match self.stop {
            Stop::Satisfied => demand.min(room),
            Stop::Exhausted(_) => amounts(room, self.rate.map(|r| r * self.level)).min(demand),
        }
    }

    /// Returns the dominant share at which the claim stops if only `resource` is short.
    fn stops_at(&self, resource: usize) -> f64 {
        match self.stop {
            Stop::Exhausted(exhausted) if !exhausted[resource] => self.level,
            Stop::Satisfied | Stop::Exhausted(_) => self.wanted,
        }
    }
}

/// Raises the dominant shares of all members alike, until each is satisfied or a resource that
/// it needs is used up. Takes what they get from `left`.
fn grow_equally(left: &mut Shares, members: &mut [Member]) {
    let mut open: Vec<usize> = (0..members.len()).collect();
    open.retain(|&i| members[i].wanted > 0.0);
    let mut level = 0.0;
    // Each round satisfies a member or uses up a resource.
    for _ in 0..members.len() + left.len() {
        let mut rate = [0.0; 3];
        let mut growth = f64::INFINITY;
        for &i in &open {
            growth = growth.min(members[i].wanted - level);
            for (sum, part) in rate.iter_mut().zip(members[i].rate) {
                *sum += part;
            }
        }
        for (left, rate) in left.iter().zip(rate) {
            if rate > 0.0 {
                growth = growth.min(left / rate);
            }
        }
        if open.is_empty() {
            return;
        }
        level += growth;
        for (left, rate) in left.iter_mut().zip(rate) {
            *left = (*left - growth * rate).max(0.0);
        }
        let exhausted = left.map(|left| left <= NEGLIGIBLE);
        open.retain(|&i| {
            let member = &mut members[i];
            let needed = member.rate.map(|r| r > 0.0);
            let is_blocked = needed.iter().zip(exhausted).any(|(&n, e)| n && e);
            member.level = level;
            member.stop = match member.wanted - level <= NEGLIGIBLE {
                true => Stop::Satisfied,
                false => Stop::Exhausted(exhausted),
            };
            member.stop != Stop::Satisfied && !is_blocked
        });
    }
}

/// Returns, for each member and resource, the share that the member would get of what was there
/// `before` if it asked for all of the resource and for nothing else.
fn unlimited_levels(before: Shares, members: &[Member]) -> Vec<Shares> {
    let mut levels = vec![[0.0; 3]; members.len()];
    for (resource, available) in before.into_iter().enumerate() {
        let mut users: Vec<(f64, usize)> = Vec::with_capacity(members.len());
        let mut total_rate = 0.0;
        for (position, member) in members.iter().enumerate() {
            if member.rate[resource] > 0.0 {
                users.push((member.stops_at(resource), position));
                total_rate += member.rate[resource];
            }
        }
        users.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        for (position, member) in members.iter().enumerate() {
            let mut left = available;
            let mut rate = 1.0 + total_rate - member.rate[resource];
            let mut level = 0.0;
            for &(stops_at, user) in &users {
                if user == position {
                    continue;
                }
                let taken = rate * (stops_at - level);
                if taken >= left {
                    break;
                }
                left -= taken;
                level = stops_at;
                rate -= members[user].rate[resource];
            }
            levels[position][resource] = (level + left / rate.max(1.0)).min(available);
        }
    }
    levels
}

fn parts(capacity: Capacity) -> [f64; 3] {
    [
        capacity.cpu as f64,
        capacity.memory as f64,
        capacity.gpu as f64,
    ]
}

/// Returns these shares of the room, rounded down.
fn amounts(room: Capacity, shares: Shares) -> Capacity {
    let [cpu, memory, gpu] = parts(room);
    let amount = |room: f64, share: f64| (room * share + ROUNDING) as u64;
    Capacity {
        cpu: amount(cpu, shares[0]),
        memory: amount(memory, shares[1]),
        gpu: amount(gpu, shares[2]),
    }
}
