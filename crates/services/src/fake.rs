//! In-memory table service and object store for tests.
//!
//! Each call consumes the next fault of a queue, so that a test determines
//! exactly which call fails and how.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
};

use gorsespur_core::name::Name;
use gorsespur_wire::table::{Row, ScanRequest, Tx, TxAnswer};

use crate::{ObjectError, Objects, Rows, Table, TableError};

/// Lowest last byte of the loopback addresses that [`unique_addr`] returns.
const FIRST_HOST_BYTE: u8 = 2;

/// Returns an address for a test server that no other socket of this machine uses.
///
/// If a test probed for a free port and closed it, another socket could bind the port
/// before the server does. Each call therefore uses a loopback address of its own, derived
/// from the process id and the number of the call; the system assigns that address only
/// to sockets that name it.
///
/// # Errors
///
/// Fails if the system has no sockets left.
pub fn unique_addr() -> io::Result<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(FIRST_HOST_BYTE);
    let [_, _, high, low] = process::id().to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let address = Ipv4Addr::new(127, high | 0x80, low, host);
    TcpListener::bind((address, 0))?.local_addr()
}

/// A fault to inject into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The call has no effect and fails.
    Down,
    /// The call takes effect, and its answer is lost.
    LostAnswer,
    /// The answer is lost, and the transaction takes effect just before the
    /// next one. Reads and object store calls fail like with [`Fault::LostAnswer`].
    Delayed,
}

#[derive(Debug, Default)]
struct State {
    rows: Rows,
    objects: BTreeMap<String, Vec<u8>>,
    faults: VecDeque<Fault>,
    delayed: Option<Tx>,
    writes: u64,
}

/// In-memory table service and object store with injected faults.
#[derive(Debug, Default)]
pub struct FakePlatform {
    state: Mutex<State>,
}

impl FakePlatform {
    /// Returns an empty platform.
    pub fn new() -> FakePlatform {
        FakePlatform::default()
    }

    /// Queues faults for the next calls, in order.
    pub fn fail_next(&self, faults: &[Fault]) {
        self.lock().faults.extend(faults);
    }

    /// Returns the number of transactions that took effect.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    /// Returns the number of rows whose key starts with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().rows.count(prefix)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_fault(&mut self) -> Fault {
        self.faults.pop_front().unwrap_or(Fault::None)
    }

    fn check_read(&mut self) -> Result<(), TableError> {
        match self.next_fault() {
            Fault::None => Ok(()),
            Fault::Down | Fault::LostAnswer | Fault::Delayed => Err(TableError::Unavailable),
        }
    }

    fn apply(&mut self, tx: &Tx) -> Result<u64, TableError> {
        match self.rows.tx(tx) {
            TxAnswer::Done(version) => {
                self.writes += 1;
                Ok(version)
            }
            TxAnswer::Conflict { key, found } => Err(TableError::Conflict { key, found }),
        }
    }
}

impl Table for FakePlatform {
    fn tx(&self, tx: &Tx) -> Result<u64, TableError> {
        let mut state = self.lock();
        if let Some(delayed) = state.delayed.take() {
            let _ = state.apply(&delayed);
        }
        match state.next_fault() {
            Fault::None => state.apply(tx),
            Fault::Down => Err(TableError::Unavailable),
            Fault::LostAnswer => {
                let _ = state.apply(tx);
                Err(TableError::Unknown)
            }
            Fault::Delayed => {
                state.delayed = Some(tx.clone());
                Err(TableError::Unknown)
            }
        }
    }

    fn get(&self, keys: &[Name]) -> Result<Vec<Option<Row>>, TableError> {
        let mut state = self.lock();
        state.check_read()?;
        Ok(state.rows.get(keys))
    }

    fn scan(
        &self,
        prefix: &Name,
        after: Option<Name>,
        limit: u32,
    ) -> Result<(Vec<Row>, bool), TableError> {
        let mut state = self.lock();
        state.check_read()?;
        let answer = state.rows.scan(&ScanRequest {
            prefix: prefix.clone(),
            after,
            limit,
        });
        Ok((answer.rows, answer.more))
    }
}

impl Objects for FakePlatform {
    fn put(&self, key: &str, value: &[u8]) -> Result<(), ObjectError> {
        let mut state = self.lock();
        let fault = state.next_fault();
        if fault == Fault::Down {
            return Err(ObjectError::Unavailable);
        }
        state.objects.insert(key.to_owned(), value.to_vec());
        match fault {
            Fault::None => Ok(()),
            Fault::Down | Fault::LostAnswer | Fault::Delayed => Err(ObjectError::Unavailable),
        }
    }

    fn get(&self, key: &str) -> Result<Vec<u8>, ObjectError> {
        let mut state = self.lock();
        if state.next_fault() != Fault::None {
            return Err(ObjectError::Unavailable);
        }
        state.objects.get(key).cloned().ok_or(ObjectError::Absent)
    }

    fn delete(&self, key: &str) -> Result<(), ObjectError> {
        let mut state = self.lock();
        if state.next_fault() != Fault::None {
            return Err(ObjectError::Unavailable);
        }
        state.objects.remove(key);
        Ok(())
    }
}
