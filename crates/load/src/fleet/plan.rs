//! The processes of a fleet, their zones and addresses.

use std::net::{IpAddr, SocketAddr, TcpListener};

use gorsespur_core::member::Role;
use gorsespur_services::fake::unique_addr;
use snafu::ResultExt;

use crate::error::{LoadError, PortSnafu};

/// Names of the zones.
const ZONES: [&str; 3] = ["shah-alam", "port-klang", "cyberjaya"];

const WORKERS_PER_RACK: usize = 8;

/// Numbers of zones, instances, workers and shards.
#[derive(Debug, Clone)]
pub(crate) struct FleetSize {
    pub zones: usize,
    /// Entries per zone.
    pub entries: usize,
    /// Schedulers per zone.
    pub scheds: usize,
    pub workers: usize,
    /// Shards per zone.
    pub shards: u32,
}

impl Default for FleetSize {
    /// Returns the current size of the system.
    fn default() -> FleetSize {
        FleetSize {
            zones: 3,
            entries: 3,
            scheds: 3,
            workers: 50,
            shards: 3,
        }
    }
}

/// An instance of the system.
#[derive(Debug, Clone)]
pub(crate) struct InstancePlan {
    pub id: String,
    pub role: Role,
    pub zone: String,
    pub peer_addr: SocketAddr,
    pub caller_addr: SocketAddr,
}

/// A worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerPlan {
    pub name: String,
    pub zone: String,
    pub rack: String,
    pub addr: SocketAddr,
    pub target_addr: SocketAddr,
}

/// Zones, instances and workers with their addresses.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    pub zones: Vec<String>,
    pub shards: u32,
    /// Address of the platform for each zone.
    pub platform_addrs: Vec<SocketAddr>,
    pub entries: Vec<InstancePlan>,
    pub scheds: Vec<InstancePlan>,
    pub workers: Vec<WorkerPlan>,
}

/// Reserves ports of a host. All listeners stay open until the plan is complete, so that no port
/// is given out twice and each port is still free when its process starts.
struct Ports {
    host: IpAddr,
    held: Vec<TcpListener>,
}

impl Ports {
    fn next(&mut self) -> Result<SocketAddr, LoadError> {
        let listener = TcpListener::bind((self.host, 0)).context(PortSnafu)?;
        let addr = listener.local_addr().context(PortSnafu)?;
        self.held.push(listener);
        Ok(addr)
    }
}

impl FleetPlan {
    pub fn new(size: &FleetSize) -> Result<FleetPlan, LoadError> {
        let mut ports = Ports {
            host: unique_addr().context(PortSnafu)?.ip(),
            held: Vec::new(),
        };
        let zones: Vec<String> = ZONES[..size.zones]
            .iter()
            .map(|z| (*z).to_owned())
            .collect();
        let mut plan = FleetPlan {
            platform_addrs: Vec::new(),
            entries: Vec::new(),
            scheds: Vec::new(),
            workers: Vec::new(),
            shards: size.shards,
            zones: zones.clone(),
        };
        for zone in &zones {
            plan.platform_addrs.push(ports.next()?);
            for i in 0..size.entries {
                plan.entries
                    .push(instance(Role::Entry, zone, i, &mut ports)?);
            }
            for i in 0..size.scheds {
                plan.scheds
                    .push(instance(Role::Sched, zone, i, &mut ports)?);
            }
        }
        for i in 0..size.workers {
            let zone = &zones[i % zones.len()];
            let nth = i / zones.len();
            plan.workers.push(WorkerPlan {
                name: format!("w-{zone}-{nth:02}"),
                zone: zone.clone(),
                rack: format!("{zone}-r{}", nth / WORKERS_PER_RACK),
                addr: ports.next()?,
                target_addr: ports.next()?,
            });
        }
        Ok(plan)
    }
}

fn instance(
    role: Role,
    zone: &str,
    i: usize,
    ports: &mut Ports,
) -> Result<InstancePlan, LoadError> {
    let kind = match role {
        Role::Entry => "entry",
        Role::Sched => "sched",
    };
    Ok(InstancePlan {
        id: format!("{kind}-{zone}-{i}"),
        role,
        zone: zone.to_owned(),
        peer_addr: ports.next()?,
        caller_addr: ports.next()?,
    })
}
