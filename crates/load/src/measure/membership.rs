//! Compares full membership to partial views of about the square root of the instances.
//!
//! With full membership, an instance sends its heartbeat to all instances of its zone and to two
//! contacts in each other zone. With partial views (after Kelips, Gupta et al. 2003), instances are
//! hashed into about sqrt(n) groups, and an instance gossips a bounded number of entries to a few
//! members of its group and to contacts in other groups. The comparison covers the bytes that an
//! instance sends per second, the entries that it stores, and the time until all instances that
//! need to detect a new or crashed instance have done so.

use gorsespur_core::{hashing::stable_hash, member::MemberSettings};
use gorsespur_wire::codec::encode;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{args::MembershipArgs, error::LoadError, slopes::heartbeat};

/// Interval between gossip rounds, equal to the heartbeat interval.
const ROUND_MS: u64 = 500;

/// Entries in one gossip message, about as many as in the paper's messages of 272 bytes.
const ENTRIES_PER_MESSAGE: usize = 6;

/// Gossip targets per round in the own group, and contacts in other groups.
const GROUP_TARGETS: usize = 3;
const CONTACT_TARGETS: usize = 3;

const CONTACTS_PER_GROUP: usize = 2;

/// Rounds after which a simulation is aborted.
const MAX_ROUNDS: u64 = 4_000;

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_OVERHEAD_BYTES: f64 = 28.0;

/// Costs of one instance and delays of detection. `sent_bytes` is per second.
struct ViewCosts {
    sent_bytes: f64,
    entries: f64,
    join_detection_s: f64,
    crash_detection_s: f64,
}

/// Measures and prints full membership and partial views at the given size.
pub(crate) fn run(args: &MembershipArgs) -> Result<(), LoadError> {
    let heartbeat_bytes = encode(&heartbeat(1, 1)).unwrap_or_default().len() as f64;
    let full = full_membership(args, heartbeat_bytes);
    let partial = partial_views(args, heartbeat_bytes);
    for (name, m) in [("full", full), ("partial", partial)] {
        println!(
            "membership: views={name} instances={} zones={} heartbeat_bytes={heartbeat_bytes:.0} sent_bytes_per_s={:.0} entries={:.0} learn_s={:.2} forget_s={:.2}",
            args.instances,
            args.zones,
            m.sent_bytes,
            m.entries,
            m.join_detection_s,
            m.crash_detection_s
        );
    }
    Ok(())
}

/// Returns the costs of full membership. Heartbeats go to all instances of the zone directly, so
/// detecting a new instance takes one interval, and detecting a crashed one takes the failure
/// timeout and one interval.
fn full_membership(args: &MembershipArgs, heartbeat_bytes: f64) -> ViewCosts {
    let zone_size = args.instances.div_ceil(args.zones);
    let settings = MemberSettings::default();
    let peers = (zone_size - 1) + settings.contacts_per_zone * (args.zones - 1);
    let rounds_per_s = 1000.0 / settings.heartbeat_interval as f64;
    ViewCosts {
        sent_bytes: peers as f64 * (heartbeat_bytes + DATAGRAM_OVERHEAD_BYTES) * rounds_per_s,
        entries: args.instances as f64,
        join_detection_s: settings.heartbeat_interval as f64 / 1000.0,
        crash_detection_s: (settings.dead_after + settings.heartbeat_interval) as f64 / 1000.0,
    }
}

struct GossipNode {
    group: usize,
    /// Latest heartbeat count of each member of the group, and the round in which it arrived.
    heartbeats: Vec<Option<(u64, u64)>>,
    contacts: Vec<Vec<usize>>,
}

/// Returns the costs of partial views, from a simulation of gossip in rounds.
fn partial_views(args: &MembershipArgs, heartbeat_bytes: f64) -> ViewCosts {
    let n = args.instances;
    let groups = (n as f64).sqrt().round().max(1.0) as usize;
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let group_of = |i: usize| (stable_hash(&["group", &i.to_string()]) % groups as u64) as usize;
    let members: Vec<Vec<usize>> = (0..groups)
        .map(|g| (0..n).filter(|i| group_of(*i) == g).collect())
        .collect();
    let mut nodes: Vec<GossipNode> = Vec::new();
    for i in 0..n {
        let group = group_of(i);
        let mut contacts = Vec::new();
        for m in &members {
            contacts.push(
                m.choose_multiple(&mut rng, CONTACTS_PER_GROUP)
                    .copied()
                    .collect(),
            );
        }
        nodes.push(GossipNode {
            group,
            heartbeats: vec![Some((1, 1)); members[group].len()],
            contacts,
        });
    }
    let new_node = members.iter().max_by_key(|m| m.len()).map_or(0, |m| m[0]);
    let new_group = group_of(new_node);
    let new_index = members[new_group]
        .iter()
        .position(|i| *i == new_node)
        .unwrap_or(0);
    for i in &members[new_group] {
        nodes[*i].heartbeats[new_index] = None;
    }
    let join_rounds = rounds_to_detect(
        &mut nodes, &members, &mut rng, new_node, new_group, new_index,
    );
    // A safe failure timeout is 1.5 times the longest interval between two heartbeat counts of a
    // live member at any node.
    let gap_rounds = longest_gap(&mut nodes, &members, &mut rng);
    let targets = GROUP_TARGETS + CONTACT_TARGETS;
    let message_bytes = heartbeat_bytes * ENTRIES_PER_MESSAGE as f64 + DATAGRAM_OVERHEAD_BYTES;
    ViewCosts {
        sent_bytes: targets as f64 * message_bytes * 1000.0 / ROUND_MS as f64,
        entries: (members[new_group].len() + CONTACTS_PER_GROUP * (groups - 1)) as f64,
        join_detection_s: join_rounds as f64 * ROUND_MS as f64 / 1000.0,
        crash_detection_s: gap_rounds as f64 * 1.5 * ROUND_MS as f64 / 1000.0,
    }
}

/// Runs one round, in which each node gossips once.
fn gossip_round(nodes: &mut [GossipNode], members: &[Vec<usize>], rng: &mut SmallRng, now: u64) {
    let mut messages = Vec::new();
    for (i, node) in nodes.iter_mut().enumerate() {
        let group = node.group;
        let own_index = members[group].iter().position(|m| *m == i).unwrap_or(0);
        node.heartbeats[own_index] = Some((now, now));
        let known: Vec<usize> = (0..members[group].len())
            .filter(|member| node.heartbeats[*member].is_some())
            .collect();
        for _ in 0..GROUP_TARGETS {
            let Some(to) = known.choose(rng).map(|member| members[group][*member]) else {
                continue;
            };
            let mut entries: Vec<(usize, u64)> = Vec::new();
            entries.push((own_index, now));
            for member in known.choose_multiple(rng, ENTRIES_PER_MESSAGE - 1) {
                entries.push((*member, node.heartbeats[*member].map_or(0, |h| h.0)));
            }
            messages.push((to, entries));
        }
        for _ in 0..CONTACT_TARGETS {
            let other = rng.random_range(0..node.contacts.len());
            let _ = node.contacts[other].choose(rng);
        }
    }
    for (to, entries) in messages {
        for (member, count) in entries {
            let old = nodes[to].heartbeats[member];
            if old.is_none_or(|o| count > o.0) {
                nodes[to].heartbeats[member] = Some((count, now));
            }
        }
    }
}

fn rounds_to_detect(
    nodes: &mut [GossipNode],
    members: &[Vec<usize>],
    rng: &mut SmallRng,
    new_node: usize,
    group: usize,
    index: usize,
) -> u64 {
    let introducer = members[group].iter().find(|m| **m != new_node).copied();
    if let Some(i) = introducer {
        nodes[i].heartbeats[index] = Some((1, 1));
    }
    for now in 2..MAX_ROUNDS {
        gossip_round(nodes, members, rng, now);
        if members[group]
            .iter()
            .all(|m| nodes[*m].heartbeats[index].is_some())
        {
            return now - 1;
        }
    }
    MAX_ROUNDS
}

/// Returns the maximum number of rounds in which a node received no new heartbeat count of a live
/// member of its group.
fn longest_gap(nodes: &mut [GossipNode], members: &[Vec<usize>], rng: &mut SmallRng) -> u64 {
    let mut longest = 0;
    let start = 10_000;
    for now in start..start + 400 {
        gossip_round(nodes, members, rng, now);
        if now < start + 100 {
            continue;
        }
        for node in nodes.iter() {
            for heartbeat in node.heartbeats.iter().flatten() {
                longest = longest.max(now - heartbeat.1);
            }
        }
    }
    longest
}
