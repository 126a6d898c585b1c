//! HTTP client of the object store.

use std::{net::SocketAddr, time::Duration};

use gorsespur_runtime::client::{Call, Response};
use gorsespur_wire::paths::OBJECTS;

use crate::{ObjectError, Objects};

/// Maximum size of an object that can be read.
const MAX_OBJECT_BYTES: usize = 256 << 20;

/// Client of the object store.
#[derive(Debug, Clone)]
pub struct HttpObjects {
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpObjects {
    /// Returns a client whose calls take at most `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> HttpObjects {
        HttpObjects { addr, timeout }
    }

    fn call(&self, method: &str, key: &str, body: Vec<u8>) -> Result<Response, ObjectError> {
        Call::new(method, self.addr, &format!("{OBJECTS}{key}"))
            .body(body)
            .timeout(self.timeout)
            .max_body(MAX_OBJECT_BYTES)
            .send()
            .map_err(|_| ObjectError::Unavailable)
    }
}

fn check_status(answer: &Response) -> Result<(), ObjectError> {
    match answer.status {
        200 | 204 => Ok(()),
        404 => Err(ObjectError::Absent),
        _ => Err(ObjectError::Unavailable),
    }
}

impl Objects for HttpObjects {
    fn put(&self, key: &str, value: &[u8]) -> Result<(), ObjectError> {
        check_status(&self.call("PUT", key, value.to_vec())?)
    }

    fn get(&self, key: &str) -> Result<Vec<u8>, ObjectError> {
        let answer = self.call("GET", key, Vec::new())?;
        check_status(&answer)?;
        Ok(answer.body)
    }

    fn delete(&self, key: &str) -> Result<(), ObjectError> {
        check_status(&self.call("DELETE", key, Vec::new())?)
    }
}
