//! HTTP client of the table service.

use std::{net::SocketAddr, time::Duration};

use gorsespur_core::name::Name;
use gorsespur_wire::{
    paths::{GET, SCAN, TX},
    table::{GetAnswer, GetRequest, Row, ScanAnswer, ScanRequest, Tx, TxAnswer},
};

use crate::{PostError, Table, TableError, post};

/// Client of the table service.
#[derive(Debug, Clone)]
pub struct HttpTable {
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpTable {
    /// Returns a client whose calls take at most `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> HttpTable {
        HttpTable { addr, timeout }
    }
}

fn table_error(err: PostError) -> TableError {
    match err {
        PostError::NotExecuted => TableError::Unavailable,
        PostError::Unknown => TableError::Unknown,
    }
}

impl Table for HttpTable {
    fn tx(&self, tx: &Tx) -> Result<u64, TableError> {
        match post(self.addr, TX, tx, self.timeout).map_err(table_error)? {
            TxAnswer::Done(version) => Ok(version),
            TxAnswer::Conflict { key, found } => Err(TableError::Conflict { key, found }),
        }
    }

    fn get(&self, keys: &[Name]) -> Result<Vec<Option<Row>>, TableError> {
        let request = GetRequest {
            keys: keys.to_vec(),
        };
        let answer: GetAnswer =
            post(self.addr, GET, &request, self.timeout).map_err(|_| TableError::Unavailable)?;
        if answer.rows.len() != keys.len() {
            return Err(TableError::Unavailable);
        }
        Ok(answer.rows)
    }

    fn scan(
        &self,
        prefix: &Name,
        after: Option<Name>,
        limit: u32,
    ) -> Result<(Vec<Row>, bool), TableError> {
        let request = ScanRequest {
            prefix: prefix.clone(),
            after,
            limit,
        };
        let answer: ScanAnswer =
            post(self.addr, SCAN, &request, self.timeout).map_err(|_| TableError::Unavailable)?;
        Ok((answer.rows, answer.more))
    }
}
