//! HTTP server of the platform's services, built on `rouille`.
//!
//! `rouille` has no time limits for slow clients. None are needed here, because only
//! the project's own processes connect.

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
    platform::Refusal,
};

const THREADS_PER_ENDPOINT: usize = 24;

/// Endpoint of the platform for the callers of one availability zone.
#[derive(Debug, Clone)]
pub struct ZoneEndpoint {
    /// Zone that the endpoint serves.
    pub zone: Name,
    /// Address to bind, or the bound address.
    pub addr: SocketAddr,
}

/// Serves the platform at each endpoint until `cancel`; returns the bound endpoints.
pub fn serve_platform(
    platform: Arc<Mutex<Platform>>,
    endpoints: &[ZoneEndpoint],
    cancel: &CancelToken,
) -> Result<Vec<ZoneEndpoint>, StandError> {
    let mut bound = Vec::new();
    for endpoint in endpoints {
        let addr = endpoint.addr;
        let (platform, zone) = (platform.clone(), endpoint.zone.clone());
        let server = Server::new(addr, move |req| handle(&platform, &zone, req));
        let server = server
            .ok()
            .context(BindSnafu { addr })?
            .pool_size(THREADS_PER_ENDPOINT);
        bound.push(ZoneEndpoint {
            zone: endpoint.zone.clone(),
            addr: server.server_addr(),
        });
        let cancel = cancel.clone();
        thread::Builder::new()
            .name(format!("gate-{}", endpoint.zone))
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

fn handle(platform: &Mutex<Platform>, zone: &Name, req: &Request) -> Response {
    let path = req.url();
    if path == "/faults" || path == "/members/set" || path == "/totals" {
        return handle_control(platform, &path, req);
    }
    let faults = lock(platform).faults.clone();
    if faults.slow_ms > 0 {
        thread::sleep(Duration::from_millis(faults.slow_ms));
    }
    if faults.cut.iter().any(|z| **z == **zone) {
        return empty_response(503);
    }
    let body = read_body(req);
    match &*path {
        TX => run_tx(platform, &body),
        GET => match decode::<GetRequest>(&body) {
            Ok(get) => encode_reply(lock(platform).get(&get.keys)),
            Err(_) => empty_response(400),
        },
        SCAN => match decode::<ScanRequest>(&body) {
            Ok(scan) => encode_reply(lock(platform).scan(&scan)),
            Err(_) => empty_response(400),
        },
        MEMBERS => encode_reply(lock(platform).members()),
        _ => match path.strip_prefix(OBJECTS) {
            Some(key) => handle_object(platform, req.method(), key, body),
            None => empty_response(404),
        },
    }
}

fn read_body(req: &Request) -> Vec<u8> {
    let mut body = Vec::new();
    if let Some(mut data) = req.data() {
        let _ = data.read_to_end(&mut body);
    }
    body
}

fn empty_response(code: u16) -> Response {
    Response::text("").with_status_code(code)
}

fn encode_reply<T: Serialize>(result: Result<T, Refusal>) -> Response {
    match result {
        Ok(value) => match encode(&value) {
            Ok(body) => Response::from_data("application/octet-stream", body),
            Err(_) => empty_response(500),
        },
        Err(Refusal::Down) => empty_response(503),
        Err(Refusal::RateLimited) => empty_response(429),
    }
}

fn run_tx(platform: &Mutex<Platform>, body: &[u8]) -> Response {
    let Ok(tx) = decode::<Tx>(body) else {
        return empty_response(400);
    };
    let result = lock(platform).tx(&tx);
    match result {
        Ok((_, true)) => empty_response(500),
        Ok((answer, false)) => encode_reply(Ok(answer)),
        Err(refusal) => encode_reply::<()>(Err(refusal)),
    }
}

fn handle_object(platform: &Mutex<Platform>, method: &str, key: &str, body: Vec<u8>) -> Response {
    let mut platform = lock(platform);
    if platform.faults.objects_down {
        return empty_response(503);
    }
    match method {
        "PUT" => {
            platform.objects.insert(key.to_owned(), body);
            empty_response(204)
        }
        "GET" => match platform.objects.get(key) {
            Some(value) => Response::from_data("application/octet-stream", value.clone()),
            None => empty_response(404),
        },
        "DELETE" => {
            platform.objects.remove(key);
            empty_response(204)
        }
        _ => empty_response(405),
    }
}

/// Handles the control paths of the stand-in: faults, members and totals.
fn handle_control(platform: &Mutex<Platform>, path: &str, req: &Request) -> Response {
    let body = read_body(req);
    let mut platform = lock(platform);
    if path == "/totals" {
        let (writes, reads) = platform.totals();
        return Response::text(format!("{writes} {reads}"));
    }
    if path == "/faults" {
        let Ok(faults) = serde_json::from_slice(&body) else {
            return empty_response(400);
        };
        platform.set_faults(faults);
        return empty_response(200);
    }
    let Ok(list) = decode(&body) else {
        return empty_response(400);
    };
    platform.set_members(list);
    empty_response(200)
}
