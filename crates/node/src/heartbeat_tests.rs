//! Signs of life of the owner over datagrams, and what instances make of them.

use std::{net::UdpSocket, time::Duration};

use crate::{
    census::{InstanceRegistry, InstanceRow},
    fakes_tests::{UnavailableStore, shared},
    heartbeat::{Heartbeat, Sender},
    rows::{decode, encode},
    store::Row,
};

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let limit = Some(Duration::from_millis(300));
    socket.set_read_timeout(limit).expect("a timeout");
    socket
}

fn receive(socket: &UdpSocket) -> Option<Heartbeat> {
    let mut buffer = [0; 64];
    let length = socket.recv(&mut buffer).ok()?;
    Heartbeat::decode(&buffer[..length])
}

/// An owner that has lost the store does not keep others from taking the lease.
#[test]
fn only_an_owner_that_renews_its_lease_is_alive() {
    let shared = shared(UnavailableStore);
    let socket = socket();
    let addr = socket.local_addr().expect("an address");
    let sender = Sender::new(Some(addr));
    std::thread::sleep(Duration::from_millis(5));
    shared.record_renewal(shared.clock.now());
    sender.send(&shared, 100, [addr].into_iter());
    let heartbeat = receive(&socket).expect("a heartbeat");
    assert_eq!(heartbeat.epoch, 100);
    assert!(heartbeat.age < 1000, "{heartbeat:?}");
    std::thread::sleep(Duration::from_millis(1050));
    sender.send(&shared, 100, [addr].into_iter());
    assert_eq!(receive(&socket), None);
}

/// An earlier owner that was replaced says nothing about the lease.
#[test]
fn earlier_owners_are_not_heard() {
    let shared = shared(UnavailableStore);
    std::thread::sleep(Duration::from_millis(30));
    shared.record_heartbeat(&Heartbeat {
        epoch: 200,
        age: 20,
    });
    let heard_at = shared.heard_at();
    assert!(heard_at > 0);
    shared.record_heartbeat(&Heartbeat { epoch: 100, age: 0 });
    assert_eq!(shared.heard_at(), heard_at);
    // A datagram that was overtaken by a later one.
    shared.record_heartbeat(&Heartbeat {
        epoch: 200,
        age: 1000,
    });
    assert_eq!(shared.heard_at(), heard_at);
}

/// The version before reads and writes announcements without an address.
#[test]
fn announcements_of_both_versions_are_read() {
    let shared = shared(UnavailableStore);
    let instance = InstanceRow {
        share: 500,
        at: 1_800_000_000_000,
    };
    let peer = "10.1.0.13:7720".parse().expect("an address");
    let value = instance.encode(Some(peer));
    assert_eq!(decode::<InstanceRow>("instance", &value), Some(instance));
    let row = |key: &str, value| Row {
        part: String::new(),
        key: key.into(),
        value,
        version: 1,
        removed: false,
    };
    let rows = [row("a", encode(&instance)), row("b", value)];
    let mut registry = InstanceRegistry::default();
    assert_eq!(
        registry.apply(&shared, &rows, instance.at),
        Vec::<String>::new()
    );
    assert_eq!(registry.census().all, 2);
    assert_eq!(registry.peers().collect::<Vec<_>>(), [peer]);
}
