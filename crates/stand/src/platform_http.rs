//! The platform's services over HTTP, by `rouille`.
//!
//! Its callers are the system's own processes, so the time limits that
//! `rouille` lacks are not needed here.

use std::{
    io::Read,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use gorsespur_core::name::Name;
use gorsespur_runtime::cancel::CancelToken;
use gorsespur_wire::{
    codec::{decode, encode},
    paths::{GET, MEMBERS, OBJECTS, SCAN, TX},
    table::{GetRequest, ScanRequest, Tx},
};
use rouille::{Request, Response, Server};
use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use crate::{
    Platform, StandError,
    error::{BindSnafu, SystemSnafu},
    platform::Refused,
};

/// Threads of each gate.
const THREADS: usize = 24;

/// An address of the platform for one availability zone.
#[derive(Debug, Clone)]
pub struct Gate {
    /// Zone.
    pub zone: Name,
    /// Address.
    pub addr: SocketAddr,
}

/// Serves the platform at each gate until `cancel`; returns the bound addresses.
pub fn serve_platform(
    platform: Arc<Mutex<Platform>>,
    gates: &[Gate],
    cancel: &CancelToken,
) -> Result<Vec<Gate>, StandError> {
    let mut bound = Vec::new();
    for gate in gates {
        let addr = gate.addr;
        let (platform, zone) = (platform.clone(), gate.zone.clone());
        let server = Server::new(addr, move |req| answer(&platform, &zone, req));
        let server = server.ok().context(BindSnafu { addr })?.pool_size(THREADS);
        bound.push(Gate {
            zone: gate.zone.clone(),
            addr: server.server_addr(),
        });
        let cancel = cancel.clone();
        thread::Builder::new()
            .name(format!("gate-{}", gate.zone))
            .spawn(move || {
                while !cancel.is_cancelled() {
                    server.poll_timeout(Duration::from_millis(50));
                }
            })
            .context(SystemSnafu)?;
    }
    Ok(bound)
}

fn lock(platform: &Mutex<Platform>) -> MutexGuard<'_, Platform> {
    platform.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer(platform: &Mutex<Platform>, zone: &Name, req: &Request) -> Response {
    let path = req.url();
    if path == "/faults" || path == "/members/set" || path == "/totals" {
        return control(platform, &path, req);
    }
    let faults = lock(platform).faults.clone();
    if faults.slow_ms > 0 {
        thread::sleep(Duration::from_millis(faults.slow_ms));
    }
    if faults.cut.iter().any(|z| **z == **zone) {
        return status(503);
    }
    let body = read(req);
    match &*path {
        TX => run_tx(platform, &body),
        GET => match decode::<GetRequest>(&body) {
            Ok(get) => reply(lock(platform).get(&get.keys)),
            Err(_) => status(400),
        },
        SCAN => match decode::<ScanRequest>(&body) {
            Ok(scan) => reply(lock(platform).scan(&scan)),
            Err(_) => status(400),
        },
        MEMBERS => reply(lock(platform).members()),
        _ => match path.strip_prefix(OBJECTS) {
            Some(key) => object(platform, req.method(), key, body),
            None => status(404),
        },
    }
}

fn read(req: &Request) -> Vec<u8> {
    let mut body = Vec::new();
    if let Some(mut data) = req.data() {
        let _ = data.read_to_end(&mut body);
    }
    body
}

fn status(code: u16) -> Response {
    Response::text("").with_status_code(code)
}

fn reply<T: Serialize>(result: Result<T, Refused>) -> Response {
    match result {
        Ok(value) => match encode(&value) {
            Ok(body) => Response::from_data("application/octet-stream", body),
            Err(_) => status(500),
        },
        Err(Refused::Down) => status(503),
        Err(Refused::Rate) => status(429),
    }
}

fn run_tx(platform: &Mutex<Platform>, body: &[u8]) -> Response {
    let Ok(tx) = decode::<Tx>(body) else {
        return status(400);
    };
    let result = lock(platform).tx(&tx);
    match result {
        Ok((_, true)) => status(500),
        Ok((answer, false)) => reply(Ok(answer)),
        Err(refused) => reply::<()>(Err(refused)),
    }
}

fn object(platform: &Mutex<Platform>, method: &str, key: &str, body: Vec<u8>) -> Response {
    let mut platform = lock(platform);
    if platform.faults.objects_down {
        return status(503);
    }
    match method {
        "PUT" => {
            platform.objects.insert(key.to_owned(), body);
            status(204)
        }
        "GET" => match platform.objects.get(key) {
            Some(value) => Response::from_data("application/octet-stream", value.clone()),
            None => status(404),
        },
        "DELETE" => {
            platform.objects.remove(key);
            status(204)
        }
        _ => status(405),
    }
}

/// Switches of the stand-in, for trials.
fn control(platform: &Mutex<Platform>, path: &str, req: &Request) -> Response {
    let body = read(req);
    let mut platform = lock(platform);
    if path == "/totals" {
        let (writes, reads) = platform.totals();
        return Response::text(format!("{writes} {reads}"));
    }
    if path == "/faults" {
        let Ok(faults) = serde_json::from_slice(&body) else {
            return status(400);
        };
        platform.set_faults(faults);
        return status(200);
    }
    let Ok(list) = decode(&body) else {
        return status(400);
    };
    platform.set_members(list);
    status(200)
}
