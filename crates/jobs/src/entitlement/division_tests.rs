use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

use crate::{
    entitlement::division::{Claim, Portion, divide},
    runs::worker::Capacity,
};

fn capacity(cpu: u64, memory: u64, gpu: u64) -> Capacity {
    Capacity { cpu, memory, gpu }
}

fn claim(priority: u32, demand: Capacity) -> Claim {
    Claim { priority, demand }
}

fn entitled(room: Capacity, claims: &[Claim]) -> Vec<Capacity> {
    let portions = divide(room, claims);
    portions.into_iter().map(|p| p.entitled).collect()
}

/// Each claim is a priority with its CPU demand, of 9 in all.
#[test_case(&[(0, 2), (0, 4)], &[2, 4]; "enough for all")]
#[test_case(&[(0, 20), (0, 20), (0, 20)], &[3, 3, 3]; "equal shares")]
#[test_case(&[(0, 1), (0, 20), (0, 20)], &[1, 4, 4]; "what one leaves goes to the others")]
#[test_case(&[(1, 20), (0, 7)], &[2, 7]; "a higher priority goes first")]
#[test_case(&[(0, 0), (5, 20)], &[0, 9]; "what nobody above claims goes to the lowest")]
#[test_case(&[(0, 9), (1, 1)], &[9, 0]; "nothing is left")]
fn cpu_is_divided(claims: &[(u32, u64)], expected: &[u64]) {
    let claims = claims.iter().map(|&(p, cpu)| claim(p, capacity(cpu, 0, 0)));
    let claims: Vec<Claim> = claims.collect();
    let cpu: Vec<u64> = entitled(capacity(9, 9, 0), &claims)
        .iter()
        .map(|c| c.cpu)
        .collect();
    assert_eq!(cpu, expected);
}

/// One claims mostly CPU, the other mostly memory.
#[test]
fn dominant_shares_are_equal() {
    let claims = [
        claim(0, capacity(900, 400, 0)),
        claim(0, capacity(450, 1800, 0)),
    ];
    let entitled = entitled(capacity(900, 1800, 0), &claims);
    // Two thirds each, with which all of the CPU is given.
    assert_eq!(entitled, [capacity(600, 266, 0), capacity(300, 1200, 0)]);
}

#[test]
fn demand_for_a_resource_that_does_not_exist_blocks_nothing_else() {
    let claims = [claim(0, capacity(4000, 2000, 3))];
    let entitled = entitled(capacity(8000, 8000, 0), &claims);
    assert_eq!(entitled, [capacity(4000, 2000, 0)]);
}

#[test]
fn the_last_accelerator_is_given() {
    let claims = [
        claim(0, capacity(1000, 100, 2)),
        claim(1, capacity(1000, 100, 1)),
    ];
    let entitled = entitled(capacity(8000, 8000, 3), &claims);
    assert_eq!(entitled, claims.map(|c| c.demand));
}

#[test]
fn accelerators_in_use_do_not_limit_a_claim_without_any() {
    let claims = [
        claim(0, capacity(1000, 100, 3)),
        claim(0, capacity(1000, 100, 0)),
    ];
    let limit = divide(capacity(8000, 8000, 3), &claims)[1].limit;
    // The other one's dominant share is all accelerators: both stop at 8/9 and 80/81.
    assert_eq!((limit.cpu, limit.memory), (7111, 7901));
}

#[test]
fn more_claims_than_any_number_of_rounds_are_all_served() {
    let claims: Vec<Claim> = (1..=300)
        .map(|n| claim(0, capacity(n * 10, n, 0)))
        .collect();
    let demands: Vec<Capacity> = claims.iter().map(|c| c.demand).collect();
    assert_eq!(
        entitled(capacity(1_000_000, 1_000_000, 0), &claims),
        demands
    );
}

fn random_claims(rng: &mut SmallRng) -> Vec<Claim> {
    let mut claims = Vec::new();
    for _ in 0..rng.random_range(0..30) {
        let mut part = |max: u64| match rng.random_range(0..4) {
            0 => 0,
            _ => rng.random_range(0..max),
        };
        let demand = capacity(part(500_000), part(2_000_000), part(20));
        claims.push(claim(rng.random_range(0..3), demand));
    }
    claims
}

fn random_room(rng: &mut SmallRng) -> Capacity {
    let mut part = |max: u64| match rng.random_range(0..8) {
        0 => 0,
        _ => rng.random_range(0..max),
    };
    capacity(part(1_500_000), part(6_000_000), part(50))
}

fn exceeds(part: Capacity, whole: Capacity) -> bool {
    part.cpu > whole.cpu || part.memory > whole.memory || part.gpu > whole.gpu
}

#[test]
fn random_divisions_keep_to_the_room_and_to_the_demands() {
    for seed in 0..3000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (room, claims) = (random_room(&mut rng), random_claims(&mut rng));
        let mut sum = Capacity::default();
        for (claim, Portion { entitled, limit }) in claims.iter().zip(divide(room, &claims)) {
            sum.add(entitled);
            assert!(
                !exceeds(entitled, claim.demand),
                "seed {seed}: {entitled:?}"
            );
            assert!(
                !exceeds(entitled, limit),
                "seed {seed}: {entitled:?} {limit:?}"
            );
            assert!(!exceeds(limit, room), "seed {seed}: {limit:?} of {room:?}");
        }
        assert!(!exceeds(sum, room), "seed {seed}: {sum:?} of {room:?}");
    }
}

/// A limit is what the claim gets if it asks for all of a resource and nothing else.
#[test]
fn limits_are_what_an_unlimited_claim_gets() {
    for seed in 0..1000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let room = capacity(rng.random_range(1000..1_500_000), 0, 0);
        let claims = random_claims(&mut rng);
        let portions = divide(room, &claims);
        for index in 0..claims.len() {
            let mut unlimited = claims.clone();
            unlimited[index].demand = room;
            let expected = divide(room, &unlimited)[index].entitled.cpu;
            let limit = portions[index].limit.cpu;
            assert!(
                limit.abs_diff(expected) <= 1,
                "seed {seed}: {limit} for {expected}"
            );
        }
    }
}

#[test]
fn a_claim_of_lower_priority_takes_nothing() {
    for seed in 0..500 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (room, mut claims) = (random_room(&mut rng), random_claims(&mut rng));
        let before = divide(room, &claims);
        claims.push(claim(3, room));
        let after = divide(room, &claims);
        assert_eq!(before[..], after[..before.len()], "seed {seed}");
    }
}
