//! HTTP client of the membership list.

use std::{net::SocketAddr, time::Duration};

use gorsespur_runtime::client::Call;
use gorsespur_wire::{codec::decode, members::MemberList, paths::MEMBERS};

use crate::{Members, MembersError};

/// Client of the membership list.
#[derive(Debug, Clone)]
pub struct HttpMembers {
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpMembers {
    /// Returns a client whose calls take at most `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> HttpMembers {
        HttpMembers { addr, timeout }
    }
}

impl Members for HttpMembers {
    fn list(&self) -> Result<MemberList, MembersError> {
        let answer = Call::new("GET", self.addr, MEMBERS)
            .timeout(self.timeout)
            .max_body(64 << 20)
            .send()
            .map_err(|_| MembersError::Unavailable)?;
        if answer.status != 200 {
            return Err(MembersError::Unavailable);
        }
        decode(&answer.body).map_err(|_| MembersError::Unavailable)
    }
}
