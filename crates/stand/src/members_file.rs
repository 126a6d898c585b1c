//! Membership list from a YAML file, for manual trials.

use std::{net::SocketAddr, path::Path};

use gorsespur_core::{member::Role, name::Name, problem::Problems, shard::WorkerInfo, size::Size};
use gorsespur_runtime::{client::Call, settings::load};
use gorsespur_wire::{
    codec::encode,
    members::{InstanceInfo, MemberList},
};
use serde::Deserialize;
use snafu::ResultExt;

use crate::{
    StandError,
    error::{MembersFileSnafu, MembersRejectedSnafu},
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMembers {
    instances: Vec<RawInstance>,
    workers: Vec<RawWorker>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawInstance {
    id: String,
    role: Role,
    zone: String,
    addr: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWorker {
    name: String,
    zone: String,
    rack: String,
    addr: SocketAddr,
    target: SocketAddr,
    cores: u64,
    memory_mib: u64,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    leaving: bool,
}

/// Sends the members in `file` to the platform `endpoint`.
///
/// # Errors
///
/// Fails if the file can't be read or the platform does not accept the list.
pub fn send_members(endpoint: SocketAddr, file: &Path) -> Result<(), StandError> {
    let list = load(file, |raw: RawMembers| {
        Ok::<MemberList, Problems>(to_member_list(raw))
    });
    let list = list.context(MembersFileSnafu)?;
    let body = encode(&list).unwrap_or_default();
    let answer = Call::new("POST", endpoint, "/members/set")
        .body(body)
        .send();
    let accepted = answer.is_ok_and(|a| a.status == 200);
    snafu::ensure!(accepted, MembersRejectedSnafu { endpoint });
    Ok(())
}

fn to_member_list(raw: RawMembers) -> MemberList {
    let mut list = MemberList::default();
    for i in raw.instances {
        list.instances.push(InstanceInfo {
            id: Name::from(i.id),
            role: i.role,
            zone: Name::from(i.zone),
            addr: i.addr,
            leaving: i.leaving,
        });
    }
    for w in raw.workers {
        list.workers.push(WorkerInfo {
            name: Name::from(w.name),
            zone: Name::from(w.zone),
            rack: Name::from(w.rack),
            addr: w.addr,
            target: w.target,
            size: Size::new(w.cores * 1_000, w.memory_mib << 20, w.accelerators),
            leaving: w.leaving,
        });
    }
    list
}
