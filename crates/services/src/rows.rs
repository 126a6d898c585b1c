//! In-memory versioned rows, shared by the fake and the stand-in of the table service.

use std::collections::BTreeMap;

use gorsespur_core::name::Name;
use gorsespur_wire::table::{Expect, Row, ScanAnswer, ScanRequest, Tx, TxAnswer};

/// Rows by key, and the version that the last transaction wrote.
#[derive(Debug, Default)]
pub struct Rows {
    rows: BTreeMap<Name, Row>,
    version: u64,
}

impl Rows {
    /// Runs a transaction atomically.
    pub fn tx(&mut self, tx: &Tx) -> TxAnswer {
        for check in &tx.checks {
            let found = self.rows.get(&check.key).map_or(0, |r| r.version);
            let ok = match check.expect {
                Expect::Absent => found == 0,
                Expect::Version(v) => found == v,
            };
            if !ok {
                let key = check.key.clone();
                return TxAnswer::Conflict { key, found };
            }
        }
        self.version += 1;
        for put in &tx.puts {
            let row = Row {
                key: put.key.clone(),
                version: self.version,
                value: put.value.clone(),
            };
            self.rows.insert(put.key.clone(), row);
        }
        for key in &tx.deletes {
            self.rows.remove(key);
        }
        TxAnswer::Done(self.version)
    }

    /// Reads rows by key, in the order of `keys`; `None` for an absent row.
    pub fn get(&self, keys: &[Name]) -> Vec<Option<Row>> {
        keys.iter().map(|k| self.rows.get(k).cloned()).collect()
    }

    /// Reads at most `limit` rows by prefix, in key order.
    pub fn scan(&self, req: &ScanRequest) -> ScanAnswer {
        let mut rows = Vec::new();
        for (key, row) in self.rows.range(req.prefix.clone()..) {
            if !key.starts_with(&*req.prefix) {
                break;
            }
            if req.after.as_ref().is_some_and(|a| key <= a) {
                continue;
            }
            if rows.len() == req.limit as usize {
                return ScanAnswer { rows, more: true };
            }
            rows.push(row.clone());
        }
        ScanAnswer { rows, more: false }
    }

    /// Returns the number of rows whose key starts with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.rows.keys().filter(|k| k.starts_with(prefix)).count()
    }
}
