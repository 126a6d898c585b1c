//! Signs of life of the owner, which spare resting instances a look at the lease.
//!
//! Hundreds of instances rest from following the lease, and each has to notice in time that the
//! owner is lost, whoever else is lost with it. The owner knows their addresses from their
//! announcements, and sends each of them a datagram a second. An instance that hears nothing looks
//! at the lease in the store, so a lost datagram costs a call and nothing else.
//!
//! A datagram tells how old the last renewal is, since an owner that has lost the store may still
//! reach other instances.
//!
//! Limits: the owner sends a datagram to each instance by itself. Datagrams that a full link holds
//! up count from their arrival.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{rows::encode, shared::Shared};

/// Size of the largest datagram.
const MAX_BYTES: usize = 64;

/// Age of the last renewal from which on the owner tells nobody that it is alive, in milliseconds.
/// Two renewals are missing by then.
const MAX_AGE_MS: u64 = 1000;

/// A sign of life of the owner. Encoded as an array.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Epoch of the owner.
    pub(crate) epoch: u64,
    /// Time since the store was asked for the last renewal, in milliseconds.
    pub(crate) age: u64,
}

impl Heartbeat {
    /// Decodes a datagram; `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Heartbeat> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Receives signs of life until the socket fails.
///
/// The thread is not joined: it holds nothing, and ends with the process.
pub(crate) fn listen(shared: &Arc<Shared>, socket: &UdpSocket) {
    let mut buffer = [0; MAX_BYTES];
    loop {
        let length = match socket.recv(&mut buffer) {
            Ok(length) => length,
            Err(err) if err.kind() == io::ErrorKind::Interrupted => continue,
            Err(err) => {
                log::warn!(err = err.to_string().as_str(); "heartbeat: can't receive");
                return;
            }
        };
        match Heartbeat::decode(&buffer[..length]) {
            Some(heartbeat) => shared.record_heartbeat(&heartbeat),
            None => log::debug!(length; "heartbeat: malformed"),
        }
    }
}

/// Sends signs of life of the owner.
#[derive(Debug)]
pub(crate) struct Sender {
    socket: Option<UdpSocket>,
}

impl Sender {
    /// Creates a sender on the host of `addr`; without an address it sends nothing.
    pub(crate) fn new(addr: Option<SocketAddr>) -> Sender {
        let socket = addr.and_then(|addr| match bind(addr) {
            Ok(socket) => Some(socket),
            Err(err) => {
                log::warn!(err = err.to_string().as_str(); "heartbeat: can't send");
                None
            }
        });
        Sender { socket }
    }

    /// Tells `peers` that the owner of `epoch` is alive, unless its last renewal is too old.
    pub(crate) fn send(
        &self,
        shared: &Shared,
        epoch: u64,
        peers: impl Iterator<Item = SocketAddr>,
    ) {
        let age = shared.clock.now().saturating_sub(shared.renewed_at());
        let Some(socket) = self.socket.as_ref().filter(|_| age < MAX_AGE_MS) else {
            return;
        };
        let datagram = encode(&Heartbeat { epoch, age });
        let mut failed = 0;
        for peer in peers {
            // A refused datagram was meant for an instance that has ended.
            failed += usize::from(socket.send_to(&datagram, peer).is_err());
        }
        if failed > 0 {
            log::debug!(failed; "heartbeat: not sent to some instances");
        }
    }
}

fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((addr.ip(), 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
