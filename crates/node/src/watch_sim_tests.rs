//! Simulates a fleet that watches the lease and the configuration, in virtual time.
//!
//! Instances use the real decisions; the store is a row that is renewed, and answers after a few
//! milliseconds. With `--nocapture`, prints calls and bytes per second, and how long a change and a
//! lost owner take.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

use crate::{
    candidate::{Candidate, MAX_JITTER_MS},
    census::Census,
    follow_turns::{FollowTurn, MAX_SILENCE_MS, Rest, RestStep},
    long_poll,
    rows::LeaseRow,
};

/// Period of renewals of the lease, in milliseconds.
const RENEW_PERIOD_MS: u64 = 400;

/// Time for an answer of the store, in milliseconds.
const ANSWER_MS: u64 = 5;

/// Bytes on the wire of a long poll and its answer, with the row and without one.
const ANSWER_BYTES: (u64, u64) = (560, 240);

/// One in this many instances is large, in a fleet of at least [`MIN_MIXED`].
const LARGE_EVERY: usize = 10;

/// A fleet with fewer instances has only large ones.
const MIN_MIXED: usize = 30;

/// Availability zones.
const ZONES: usize = 5;

/// Time when the owner is lost, in milliseconds; calls are counted in the half before it.
const LOST_AT_MS: u64 = 60_000;

/// Longest time from the loss of an owner until another has the lease, in milliseconds; starts
/// follow within a second.
const MAX_TAKEOVER_MS: u64 = 2500;

/// Longest time from a loss of nearly all instances until another has the lease, in milliseconds.
/// Work has to go on 10 s after the loss, and reading the jobs, polling the workers and the first
/// starts take up to 3 s.
const MAX_SURVIVOR_MS: u64 = 7000;

/// Period of the owner's heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1000;

/// The instances that can't reach the store once the owner is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// The owner.
    Owner,
    /// The owner, and all instances that follow the lease at that time.
    Followers,
    /// The owner's zone.
    Zone,
    /// The owner and a third of all instances.
    Third,
    /// All large instances.
    Large,
    /// All instances but a large one.
    AllButLarge,
    /// All instances but a small one, or the last one if all are large.
    AllButSmall,
    /// All instances but four.
    AllButFour,
}

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Pauses until its timer.
    Paused,
    /// A long poll is pending; contains the version of the lease known before it.
    Polling(u64),
}

struct Instance {
    share: u64,
    seen: u64,
    version_since: u64,
    turn: FollowTurn,
    jitter_ms: u64,
    state: State,
    is_reachable: bool,
    is_resting: bool,
    rest: Option<Rest>,
}

struct Fleet {
    rng: StdRng,
    now: u64,
    lease: LeaseRow,
    version: u64,
    instances: Vec<Instance>,
    /// Times at which instances poll or are answered, with the instance and the version known
    /// before.
    timers: BinaryHeap<Reverse<(u64, usize, u64)>>,
    calls: u64,
    bytes: u64,
    /// Whether resting instances receive the owner's heartbeats.
    has_heartbeats: bool,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let large = match count < MIN_MIXED {
            true => count,
            false => count / LARGE_EVERY,
        };
        let lease = LeaseRow {
            owner: "owner".into(),
            epoch: 1,
            share: 1000,
            largest: 1000,
            term: 1000,
            census: Census {
                large: large as u64,
                all: count as u64,
            },
            ..LeaseRow::default()
        };
        let mut timers = BinaryHeap::new();
        let instances = (0..count).map(|at| {
            timers.push(Reverse((rng.random_range(0..300), at, 0)));
            Instance {
                share: if at < large { 1000 } else { 120 },
                seen: 0,
                version_since: 0,
                turn: FollowTurn::new(0),
                jitter_ms: rng.random_range(0..MAX_JITTER_MS),
                state: State::Paused,
                is_reachable: true,
                is_resting: false,
                rest: None,
            }
        });
        let instances = instances.collect();
        Fleet {
            rng,
            now: 0,
            lease,
            version: 1,
            instances,
            timers,
            calls: 0,
            bytes: 0,
            has_heartbeats: true,
        }
    }

    /// Returns when the owner held the lease according to its last heartbeat.
    fn heard_at(&self) -> u64 {
        let last = self.now.min(LOST_AT_MS) / HEARTBEAT_MS * HEARTBEAT_MS;
        match self.has_heartbeats {
            true => last.saturating_sub(RENEW_PERIOD_MS),
            false => 0,
        }
    }

    /// Continues the rest of an instance; returns whether it follows again.
    fn continue_rest(&mut self, at: usize) -> bool {
        let (now, heard_at, version) = (self.now, self.heard_at(), self.version);
        let instance = &mut self.instances[at];
        let Some(rest) = &mut instance.rest else {
            return true;
        };
        loop {
            match rest.step(now, heard_at) {
                RestStep::Wait(ms) => {
                    self.timers.push(Reverse((now + ms, at, u64::MAX)));
                    return false;
                }
                RestStep::End => {
                    instance.turn = FollowTurn::new(now);
                    return true;
                }
                RestStep::Look if !instance.is_reachable => return false,
                RestStep::Look => {
                    self.calls += 1;
                    self.bytes += ANSWER_BYTES.0;
                    if instance.seen == version {
                        instance.turn = FollowTurn::after_look(now, instance.version_since);
                        return true;
                    }
                    (instance.seen, instance.version_since) = (version, now);
                    rest.record_renewed(now);
                }
            }
        }
    }

    fn candidate(&self, at: usize) -> Candidate<'_> {
        let instance = &self.instances[at];
        Candidate {
            lease: Some(&self.lease),
            name: "other",
            share: instance.share,
            age_ms: self.now - instance.version_since,
            followed_ms: instance.turn.followed_ms(self.now),
            tenure_ms: self.now,
            jitter_ms: instance.jitter_ms,
        }
    }

    /// Starts a long poll of an instance.
    fn start_poll(&mut self, at: usize) {
        if self.instances[at].is_resting {
            if !self.continue_rest(at) {
                return;
            }
            self.instances[at].is_resting = false;
        }
        if !self.instances[at].is_reachable {
            return;
        }
        self.calls += 1;
        let wait = self.candidate(at).claim_delay().clamp(10, 600);
        let version = self.version;
        let instance = &mut self.instances[at];
        instance.state = State::Polling(instance.seen);
        let until = match instance.seen < version {
            true => self.now + ANSWER_MS,
            false => self.now + wait,
        };
        self.timers.push(Reverse((until, at, instance.seen)));
    }

    /// Answers an instance's long poll; returns whether the instance claims the lease.
    fn finish_poll(&mut self, at: usize) -> bool {
        let version = self.version;
        let instance = &mut self.instances[at];
        let new = instance.seen < version;
        if new {
            (instance.seen, instance.version_since) = (version, self.now);
        }
        self.bytes += if new { ANSWER_BYTES.0 } else { ANSWER_BYTES.1 };
        if !self.instances[at].is_reachable {
            return false;
        }
        let candidate = self.candidate(at);
        if candidate.can_claim() {
            return true;
        }
        let (peers, pause) = (candidate.peers(), candidate.follow_pause());
        let (chance, jitter_ms) = (self.rng.random(), self.rng.random_range(0..MAX_JITTER_MS));
        let instance = &mut self.instances[at];
        let rest = instance.turn.rest_ms(self.now, peers, chance);
        instance.is_resting = rest.is_some();
        instance.state = State::Paused;
        instance.rest = rest.map(|ms| Rest::new(self.now, ms, jitter_ms));
        if !instance.is_resting || self.continue_rest(at) {
            self.timers.push(Reverse((self.now + pause, at, u64::MAX)));
        }
        false
    }

    /// Renews the lease, which answers every pending long poll.
    fn renew(&mut self) {
        self.version += 1;
        for at in 0..self.instances.len() {
            if let State::Polling(seen) = self.instances[at].state {
                self.timers.push(Reverse((self.now + ANSWER_MS, at, seen)));
            }
        }
    }

    /// Runs until `end`, with renewals if there is an owner; returns when the lease is claimed.
    fn run(&mut self, end: u64, owned: bool) -> Option<u64> {
        let mut renewal = self.now;
        loop {
            let next = self.timers.peek().map_or(u64::MAX, |t| t.0.0);
            if owned && renewal <= next.min(end) {
                self.now = renewal;
                renewal += RENEW_PERIOD_MS;
                self.renew();
                continue;
            }
            if next > end {
                self.now = end;
                return None;
            }
            let Reverse((at, who, seen)) = self.timers.pop().expect("peeked");
            self.now = at;
            let state = self.instances[who].state;
            match state {
                State::Paused if seen == u64::MAX || at < 300 => self.start_poll(who),
                // A long poll is answered by a renewal or by the end of its wait, whichever comes
                // first.
                State::Polling(polled) if polled == seen && self.finish_poll(who) => {
                    return Some(self.now);
                }
                _ => {}
            }
        }
    }

    fn lose(&mut self, loss: Loss) {
        let large = self.lease.census.large as usize;
        let count = self.instances.len();
        for (at, instance) in self.instances.iter_mut().enumerate() {
            let lost = match loss {
                Loss::Owner => at == 0,
                Loss::Followers => at == 0 || !instance.is_resting,
                Loss::Zone => at % ZONES == 0,
                Loss::Third => at % 3 == 0,
                Loss::Large => at < large,
                Loss::AllButLarge => at != 1,
                Loss::AllButSmall => at + 1 != count,
                Loss::AllButFour => at == 0 || at + 4 < count,
            };
            instance.is_reachable &= !lost;
        }
    }
}

#[test_case(9, Loss::Owner)]
#[test_case(9, Loss::Zone)]
#[test_case(9, Loss::Third)]
#[test_case(100, Loss::Owner)]
#[test_case(100, Loss::Followers)]
#[test_case(100, Loss::Zone)]
#[test_case(100, Loss::Third)]
#[test_case(100, Loss::Large)]
#[test_case(600, Loss::Owner)]
#[test_case(600, Loss::Followers)]
#[test_case(600, Loss::Zone)]
#[test_case(600, Loss::Third)]
#[test_case(600, Loss::Large)]
#[test_case(1200, Loss::Owner)]
#[test_case(1200, Loss::Followers)]
#[test_case(1200, Loss::Zone)]
#[test_case(1200, Loss::Third)]
#[test_case(1200, Loss::Large)]
#[test_case(7000, Loss::Owner)]
#[test_case(7000, Loss::Followers)]
#[test_case(7000, Loss::Zone)]
#[test_case(7000, Loss::Third)]
#[test_case(7000, Loss::Large)]
fn a_lost_owner_is_replaced_in_time(count: usize, loss: Loss) {
    let mut takeover_times = Vec::new();
    for seed in 0..5 {
        let mut fleet = Fleet::new(count, seed);
        assert_eq!(
            fleet.run(LOST_AT_MS, true),
            None,
            "no instance claims a renewed lease"
        );
        fleet.lose(loss);
        let claimed_at = fleet
            .run(LOST_AT_MS + 20_000, false)
            .expect("another instance claims it");
        takeover_times.push(claimed_at - LOST_AT_MS);
    }
    println!("{count} instances, lost {loss:?}: taken after {takeover_times:?} ms");
    let worst = *takeover_times.iter().max().expect("five seeds");
    assert!(worst <= MAX_TAKEOVER_MS, "{worst}");
}

/// Rests grew with the number of instances that had been counted within a day, so that the survivor
/// of 300 looked at the lease only after up to two minutes.
#[test_case(9, Loss::AllButSmall)]
#[test_case(20, Loss::AllButSmall)]
#[test_case(100, Loss::AllButLarge)]
#[test_case(100, Loss::AllButSmall)]
#[test_case(100, Loss::AllButFour)]
#[test_case(300, Loss::AllButLarge)]
#[test_case(300, Loss::AllButSmall)]
#[test_case(300, Loss::AllButFour)]
#[test_case(584, Loss::AllButLarge)]
#[test_case(584, Loss::AllButSmall)]
#[test_case(584, Loss::AllButFour)]
#[test_case(7000, Loss::AllButLarge)]
#[test_case(7000, Loss::AllButSmall)]
fn a_survivor_of_many_takes_the_lease_in_time(count: usize, loss: Loss) {
    for has_heartbeats in [true, false] {
        let mut takeover_times = Vec::new();
        for seed in 0..20 {
            let mut fleet = Fleet::new(count, seed);
            fleet.has_heartbeats = has_heartbeats;
            assert_eq!(fleet.run(LOST_AT_MS, true), None);
            fleet.lose(loss);
            let claimed_at = fleet.run(LOST_AT_MS + 200_000, false);
            takeover_times.push(claimed_at.expect("it is alive") - LOST_AT_MS);
        }
        println!("{count} instances, {loss:?}, heartbeats {has_heartbeats}: {takeover_times:?} ms");
        let worst = *takeover_times.iter().max().expect("some seeds");
        assert!(worst <= MAX_SURVIVOR_MS, "{worst}");
    }
}

/// Without heartbeats, beside an owner of the version before, each instance looks at the lease once
/// in [`MAX_SILENCE_MS`], and not more often.
#[test_case(9)]
#[test_case(300)]
#[test_case(584)]
fn looks_without_heartbeats_have_a_bound(count: usize) {
    let mut fleet = Fleet::new(count, 1);
    fleet.has_heartbeats = false;
    fleet.run(LOST_AT_MS / 2, true);
    fleet.calls = 0;
    fleet.run(LOST_AT_MS, true);
    let calls = fleet.calls * 1000 / (LOST_AT_MS / 2);
    println!("{count} instances without heartbeats: {calls} calls a second for the lease");
    let looks = count as u64 * 1000 / MAX_SILENCE_MS;
    assert!(calls <= looks + 100, "{calls}");
}

/// The watchers of the lease make a few calls a second in total, whatever the number of instances;
/// if each of them followed, 600 would call 500 times a second.
#[test_case(9)]
#[test_case(100)]
#[test_case(300)]
#[test_case(584)]
#[test_case(600)]
#[test_case(1200)]
#[test_case(7000)]
fn calls_for_the_lease_do_not_grow_with_the_fleet(count: usize) {
    let mut fleet = Fleet::new(count, 1);
    fleet.run(LOST_AT_MS / 2, true);
    (fleet.calls, fleet.bytes) = (0, 0);
    fleet.run(LOST_AT_MS, true);
    let seconds = LOST_AT_MS / 2 / 1000;
    let wait = long_poll::wait(Duration::from_secs(5)).as_millis() as u64;
    println!(
        "{count} instances: {} calls and {} bytes a second for the lease, {} calls for the configuration",
        fleet.calls / seconds,
        fleet.bytes / seconds,
        count as u64 * 1000 / wait
    );
    assert!(fleet.calls / seconds <= 100, "{}", fleet.calls / seconds);
}
