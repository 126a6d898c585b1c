//! The header fields of a request to a service.

use std::time::Duration;

use gorsespur_core::{
    name::{Name, check_name},
    template::{Organisation, Priority, Service},
};
use gorsespur_runtime::server::{Incoming, Reply};
use gorsespur_wire::fields::{DEADLINE, IDEMPOTENCY_KEY, PRIORITY, REPEATABLE, REQUEST_ID};

use crate::{ids::Ids, reply::bad_request};

/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 600_000;

/// The checked head of a request to a service.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub number: u64,
    pub id: String,
    pub org: Name,
    pub service: Name,
    pub limit: Duration,
    pub priority: Priority,
    pub repeatable: bool,
    pub key: Option<String>,
}

impl Head {
    /// Checks the head of a request. The error is the reply to the caller.
    pub fn check(
        req: &Incoming,
        org: &Organisation,
        service: &Service,
        ids: &Ids,
    ) -> Result<Head, Box<Reply>> {
        let number = ids.next_number();
        let id = match req.header(REQUEST_ID) {
            None => ids.format(number),
            Some(id) => {
                check_name(id)
                    .map_err(|e| Box::new(bad_request(400, REQUEST_ID, &e.to_string())))?;
                id.to_owned()
            }
        };
        let key = match req.header(IDEMPOTENCY_KEY) {
            None => None,
            Some(key) => {
                check_name(key)
                    .map_err(|e| Box::new(bad_request(400, IDEMPOTENCY_KEY, &e.to_string())))?;
                Some(key.to_owned())
            }
        };
        Ok(Head {
            number,
            id,
            org: org.name.clone(),
            service: service.name.clone(),
            limit: limit(req, service)?,
            priority: priority(req)?,
            repeatable: repeatable(req)?,
            key,
        })
    }
}

fn limit(req: &Incoming, service: &Service) -> Result<Duration, Box<Reply>> {
    let Some(text) = req.header(DEADLINE) else {
        return Ok(Duration::from_millis(service.deadline));
    };
    match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => {
            let text = format!("must be from 1 to {MAX_DEADLINE_MS}");
            Err(Box::new(bad_request(400, DEADLINE, &text)))
        }
    }
}

fn priority(req: &Incoming) -> Result<Priority, Box<Reply>> {
    let Some(text) = req.header(PRIORITY) else {
        return Ok(Priority::Normal);
    };
    let found = Priority::parse(text);
    found.ok_or_else(|| Box::new(bad_request(400, PRIORITY, "must be urgent, normal or bulk")))
}

/// Returns whether a request may run twice. By default only safe methods may.
fn repeatable(req: &Incoming) -> Result<bool, Box<Reply>> {
    match req.header(REPEATABLE) {
        None => Ok(matches!(&*req.method, "GET" | "HEAD" | "OPTIONS")),
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(Box::new(bad_request(400, REPEATABLE, "must be yes or no"))),
    }
}
