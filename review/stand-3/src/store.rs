//! The platform's table store: rows, transactions, feeds and rate limits, as PROTOCOL.md states them.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    ops::Bound,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use gorsespur_http::{Handler, Method, Request, Response, Server, ServerSettings};
use serde_json::{Value, json};

/// Rows of a page, and bytes of their values in base 64.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Limits of a transaction.
const TX_ENTRIES: usize = 100;
const TX_BYTES: usize = 1_000_000;
const ROW_BYTES: usize = 65_536;
/// Calls a second, and time of an answer, by the site's sheet.
const WRITES_PER_S: u32 = 800;
const READS_PER_S: u32 = 2000;
const READ_TIME: Duration = Duration::from_millis(4);
const TX_TIME: Duration = Duration::from_millis(8);
/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

/// Part and key within a table.
type Key = (String, String);

#[derive(Default)]
struct Table {
    rows: BTreeMap<Key, (Arc<str>, u64)>,
    /// Version, time, key and whether the row was dropped.
    changes: VecDeque<(u64, Instant, Key, bool)>,
    /// Version up to which changes were forgotten.
    forgotten: u64,
}

#[derive(Default)]
struct State {
    tables: HashMap<String, Table>,
    version: u64,
    second: u64,
    writes: u32,
    reads: u32,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    origin: Instant,
}

/// The store as one node reaches it.
struct Entry {
    store: Arc<Store>,
}

impl Store {
    pub fn start() -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            origin: Instant::now(),
        })
    }

    /// Opens an address for a node.
    pub fn listen(self: &Arc<Store>) -> (Server, SocketAddr) {
        let entry = Entry {
            store: self.clone(),
        };
        let settings = ServerSettings {
            max_connections: 512,
            request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
        };
        let addr = "127.0.0.1:0".parse().expect("address");
        let server = Server::start(addr, settings, Arc::new(entry)).expect("listen");
        let addr = server.addr();
        (server, addr)
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        use base64::{Engine, engine::general_purpose::STANDARD};
        let text = STANDARD.encode(value.to_string());
        let mut state = self.state.lock().expect("lock");
        state.version += 1;
        state.write(table, (String::new(), key.to_owned()), Some(text.into()));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Counts a call; returns whether its rate is allowed.
    fn allows(&self, write: bool) -> bool {
        let mut state = self.state.lock().expect("lock");
        let second = self.origin.elapsed().as_secs();
        if state.second != second {
            (state.second, state.writes, state.reads) = (second, 0, 0);
        }
        match write {
            true => {
                state.writes += 1;
                state.writes <= WRITES_PER_S
            }
            false => {
                state.reads += 1;
                state.reads <= READS_PER_S
            }
        }
    }

    fn tx(&self, body: &[u8]) -> Response {
        thread::sleep(TX_TIME);
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return Response::new(400, Vec::new());
        };
        let empty = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&empty);
        let (expects, writes, removes) = (list("expectRev"), list("write"), list("remove"));
        let bytes = |row: &Value| row["value"].as_str().map_or(0, str::len) * 3 / 4;
        let total: usize = writes.iter().map(bytes).sum();
        if expects.len() + writes.len() + removes.len() > TX_ENTRIES
            || total > TX_BYTES
            || writes.iter().any(|r| bytes(r) > ROW_BYTES)
        {
            return Response::new(400, Vec::new());
        }
        let foreign = |row: &Value| matches!(row["tbl"].as_str(), Some("servers" | "op"));
        if writes.iter().chain(removes).any(foreign) {
            return Response::new(403, Vec::new());
        }
        let mut state = self.state.lock().expect("lock");
        let (mut conflict, mut found) = (false, Vec::new());
        for row in expects {
            let (table, key) = name(row);
            let now = state.tables.get(table).and_then(|t| t.rows.get(&key));
            conflict |= now.map_or(0, |r| r.1) != row["schemaVer"].as_u64().unwrap_or(0);
            found.extend(now.map(|(value, version)| row_json(table, &key, value, *version)));
        }
        if conflict {
            let body = json!({"rows": found, "schemaVer": state.version, "nowMs": self.now_ms()});
            return Response::new(412, body.to_string().into_bytes());
        }
        state.version += 1;
        for row in writes {
            let (table, key) = name(row);
            state.write(table, key, Some(row["value"].as_str().unwrap_or("").into()));
        }
        for row in removes {
            let (table, key) = name(row);
            state.write(table, key, None);
        }
        let body = json!({"schemaVer": state.version, "nowMs": self.now_ms()});
        self.changed.notify_all();
        Response::new(200, body.to_string().into_bytes())
    }

    fn rows(&self, query: &HashMap<String, String>) -> Response {
        thread::sleep(READ_TIME);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, until) = (text("tbl"), text("part"), text("targetVersion"));
        let cap = query.get("cap").and_then(|c| c.parse().ok());
        let cap = cap.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let state = self.state.lock().expect("lock");
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        if let Some(found) = state.tables.get(&table) {
            let from = Bound::Included((part.clone(), text("source")));
            for (key, (value, version)) in found.rows.range((from, Bound::Unbounded)) {
                if key.0 != part || !until.is_empty() && key.1 >= until {
                    break;
                }
                if rows.len() == cap || bytes + value.len() > PAGE_BYTES && !rows.is_empty() {
                    more = true;
                    break;
                }
                bytes += value.len();
                rows.push(row_json(&table, key, value, *version));
            }
        }
        let version = state.version;
        drop(state);
        let body =
            json!({"rows": rows, "hasMore": more, "schemaVer": version, "nowMs": self.now_ms()});
        Response::new(200, body.to_string().into_bytes())
    }

    fn feed(&self, query: &HashMap<String, String>) -> Response {
        thread::sleep(READ_TIME);
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("deps"), Duration::from_millis(number("waitMs")));
        let table = query.get("tbl").cloned().unwrap_or_default();
        let state = self.state.lock().expect("lock");
        let has_news = |s: &State| {
            let last = s.tables.get(&table).and_then(|t| t.changes.back());
            last.is_some_and(|c| c.0 > after)
        };
        let waited = self
            .changed
            .wait_timeout_while(state, wait, |s| !has_news(s));
        let (mut state, _) = waited.expect("lock");
        let newest = state.version;
        let Some(found) = state.tables.get_mut(&table) else {
            let body = json!({"rows": [], "schemaVer": newest, "nowMs": self.now_ms()});
            return Response::new(200, body.to_string().into_bytes());
        };
        while found
            .changes
            .front()
            .is_some_and(|c| c.1.elapsed() > HISTORY)
        {
            found.forgotten = found.changes.pop_front().map_or(0, |c| c.0);
        }
        if after < found.forgotten {
            return Response::new(410, Vec::new());
        }
        let first = found.changes.partition_point(|c| c.0 <= after);
        let (mut rows, mut bytes, mut version) = (Vec::new(), 0, newest);
        for (at, _, key, dropped) in found.changes.range(first..) {
            if rows.len() == PAGE_ROWS || bytes > PAGE_BYTES - ROW_BYTES * 2 {
                version = at - 1;
                break;
            }
            match found.rows.get(key) {
                Some((value, now)) if now == at && !dropped => {
                    bytes += value.len();
                    rows.push(row_json(&table, key, value, *at));
                }
                _ if *dropped => rows.push(json!({
                    "tbl": table, "part": key.0, "key": key.1, "schemaVer": at, "deleted": true
                })),
                _ => {}
            }
        }
        drop(state);
        let body = json!({"rows": rows, "schemaVer": version, "nowMs": self.now_ms()});
        Response::new(200, body.to_string().into_bytes())
    }
}

impl State {
    fn write(&mut self, table: &str, key: Key, value: Option<Arc<str>>) {
        let version = self.version;
        let table = self.tables.entry(table.to_owned()).or_default();
        let change = (version, Instant::now(), key.clone(), value.is_none());
        table.changes.push_back(change);
        match value {
            Some(value) => drop(table.rows.insert(key, (value, version))),
            None => drop(table.rows.remove(&key)),
        }
    }
}

impl Handler for Entry {
    fn handle(&self, request: Request) -> Option<Response> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let query = pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect();
        let write = request.method == Method::Post;
        if !self.store.allows(write) {
            return Some(Response::new(429, Vec::new()));
        }
        Some(match (request.method, path) {
            (Method::Post, "/rows-tx") => self.store.tx(&request.body),
            (Method::Get, "/rows-get") => self.store.rows(&query),
            (Method::Get, "/rows-feed") => self.store.feed(&query),
            _ => Response::new(404, Vec::new()),
        })
    }
}

fn name(row: &Value) -> (&str, Key) {
    let text = |name: &str| row[name].as_str().unwrap_or_default();
    (
        text("tbl"),
        (text("part").to_owned(), text("key").to_owned()),
    )
}

fn row_json(table: &str, key: &Key, value: &str, version: u64) -> Value {
    json!({"tbl": table, "part": key.0, "key": key.1, "value": value, "schemaVer": version})
}

/// Decodes the percent-encoding of a value in a query.
fn decode(text: &str) -> String {
    let (mut out, mut bytes) = (Vec::new(), text.bytes());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8(digits).unwrap_or_default();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}
