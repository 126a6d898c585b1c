//! A stand-in for the platform's metadata store, as PROTOCOL.md describes it.
//!
//! It keeps every row and 20 s of history, answers a transaction after `TX_TIME`, refuses a value
//! beyond `rowBytes` with 400, and calls beyond the rates of the settings with 429.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{serve, Request},
    json::Json,
};

pub const ROW_BYTES: usize = 65_536;
pub const WRITES_PER_S: u32 = 800;
pub const READS_PER_S: u32 = 2000;
const HISTORY: Duration = Duration::from_secs(20);
const TX_TIME: Duration = Duration::from_millis(8);
/// Longer than any case.
const SILENCE: Duration = Duration::from_secs(300);
const MAX_ENTRIES: usize = 100;
const MAX_TX_BYTES: usize = 1_000_000;
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

type Key = (String, String, String);

struct Change {
    at: Instant,
    version: u64,
    key: Key,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    /// Values in base64, and their versions.
    rows: BTreeMap<Key, (String, u64)>,
    history: VecDeque<Change>,
    /// Version of the last change that the history has dropped.
    forgotten: u64,
    version: u64,
    writes: (u64, u32),
    reads: (u64, u32),
    /// While it is not over: the share of the transactions whose answers are lost, in percent.
    losing: Option<(Instant, u64)>,
    /// State of the generator of pseudo-random numbers.
    random: u64,
    /// When the last transaction was carried out whose answer was lost.
    last_late: Option<Instant>,
    /// Transactions that were refused since a value was too long.
    too_long: u64,
    /// The first of them: the tables and sizes of the values.
    first_too_long: String,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let handler = store.clone();
        let addr = serve(Arc::new(move |request| {
            let delay = (request.method == "POST")
                .then(|| handler.draw_delay())
                .flatten();
            let Some(delay) = delay else {
                return Some(handler.handle(request));
            };
            thread::sleep(delay);
            handler.handle(request);
            handler.state.lock().expect("lock").last_late = Some(Instant::now());
            // The channel says nothing further.
            thread::sleep(SILENCE);
            None
        }));
        (store, addr)
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("lock");
        state.version += 1;
        write(
            &mut state,
            (table.into(), String::new(), key.into()),
            Some(encode(value.as_bytes())),
        );
        self.changed.notify_all();
    }

    /// From now on for `time`, the answers of `percent` of all transactions are lost, and these are
    /// carried out one to six seconds later if their condition still holds.
    pub fn lose_answers(&self, time: Duration, percent: u64, seed: u64) {
        let mut state = self.state.lock().expect("lock");
        state.losing = Some((Instant::now() + time, percent));
        state.random = seed;
    }

    /// Returns when the last transaction was carried out whose answer was lost.
    pub fn last_late(&self) -> Option<Instant> {
        self.state.lock().expect("lock").last_late
    }

    /// Returns after how long the next transaction is carried out, if its answer is to be lost.
    fn draw_delay(&self) -> Option<Duration> {
        let mut state = self.state.lock().expect("lock");
        let (end, percent) = state.losing?;
        let mut draw = || {
            state.random = state
                .random
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            state.random >> 33
        };
        let (choice, delay) = (draw() % 100, draw() % 5001);
        (Instant::now() < end && choice < percent).then(|| Duration::from_millis(1000 + delay))
    }

    /// Returns the raw bytes of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Vec<u8> {
        let state = self.state.lock().expect("lock");
        let row = state.rows.get(&(table.into(), part.into(), key.into()));
        row.map(|r| decode(&r.0)).unwrap_or_default()
    }

    /// Returns how many transactions were refused since a value was too long, and the first.
    pub fn too_long(&self) -> (u64, String) {
        let state = self.state.lock().expect("lock");
        (state.too_long, state.first_too_long.clone())
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let is_write = request.method == "POST";
        if !self.is_within_rate(is_write) {
            return (429, "{}".into());
        }
        match (request.method.as_str(), request.route()) {
            ("POST", "/rows-tx") => self.tx(&request.body),
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, "{}".into()),
        }
    }

    fn is_within_rate(&self, is_write: bool) -> bool {
        let second = self.start.elapsed().as_secs();
        let mut state = self.state.lock().expect("lock");
        let (count, limit) = match is_write {
            true => (&mut state.writes, WRITES_PER_S),
            false => (&mut state.reads, READS_PER_S),
        };
        if count.0 != second {
            *count = (second, 0);
        }
        count.1 += 1;
        count.1 <= limit
    }

    fn tx(&self, body: &str) -> (u16, String) {
        thread::sleep(TX_TIME);
        let Some(tx) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let (expects, writes, removes) = (tx.get("expectRev"), tx.get("write"), tx.get("remove"));
        let entries = expects.list().len() + writes.list().len() + removes.list().len();
        let all = || {
            expects
                .list()
                .iter()
                .chain(writes.list())
                .chain(removes.list())
        };
        let parts: Vec<&str> = all().map(|r| r.get("part").str()).collect();
        if entries > MAX_ENTRIES
            || body.len() > MAX_TX_BYTES
            || parts.windows(2).any(|w| w[0] != w[1])
        {
            return (400, "{}".into());
        }
        let mut state = self.state.lock().expect("lock");
        let sizes = writes
            .list()
            .iter()
            .map(|r| (r.get("tbl").str(), decode(r.get("value").str()).len()));
        let sizes: Vec<(&str, usize)> = sizes.collect();
        if sizes.iter().any(|s| s.1 > ROW_BYTES) {
            if state.too_long == 0 {
                state.first_too_long = format!("{sizes:?}");
            }
            state.too_long += 1;
            return (400, "{}".into());
        }
        let mut conflict = false;
        let mut found = Vec::new();
        for row in expects.list() {
            let key = key_of(row);
            let current = state.rows.get(&key);
            conflict |= Some(current.map_or(0, |r| r.1)) != row.get("schemaVer").num();
            found.extend(current.map(|(value, version)| row_json(&key, Some(value), *version)));
        }
        if conflict {
            return (412, self.answer(found, false, state.version));
        }
        state.version += 1;
        for row in writes.list() {
            write(
                &mut state,
                key_of(row),
                Some(row.get("value").str().to_owned()),
            );
        }
        for row in removes.list() {
            write(&mut state, key_of(row), None);
        }
        self.changed.notify_all();
        (200, self.answer(Vec::new(), false, state.version))
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, part, from) = (
            request.query("tbl"),
            request.query("part"),
            request.query("source"),
        );
        let until = request.query("targetVersion");
        let cap = request
            .query("cap")
            .parse()
            .unwrap_or(PAGE_ROWS)
            .min(PAGE_ROWS);
        let state = self.state.lock().expect("lock");
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (value, version)) in state.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || !until.is_empty() && key.2 >= until {
                break;
            }
            if rows.len() >= cap || bytes + value.len() > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            rows.push(row_json(key, Some(value), *version));
        }
        (200, self.answer(rows, more, state.version))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.query("deps").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let table = request.query("tbl");
        let first = |s: &State| s.history.partition_point(|c| c.version <= after);
        let state = self.state.lock().expect("lock");
        if after < state.forgotten {
            return (410, "{}".into());
        }
        let is_quiet = |s: &mut State| !s.history.range(first(s)..).any(|c| c.key.0 == table);
        let (state, _) = self
            .changed
            .wait_timeout_while(state, wait, is_quiet)
            .expect("lock");
        let (mut rows, mut bytes, mut version) = (Vec::new(), 0, state.version);
        for change in state
            .history
            .range(first(&state)..)
            .filter(|c| c.key.0 == table)
        {
            bytes += change.value.as_ref().map_or(0, String::len);
            if rows.len() >= PAGE_ROWS || bytes > PAGE_BYTES {
                break;
            }
            version = change.version;
            rows.push(row_json(&change.key, change.value.as_ref(), change.version));
        }
        if rows.len() < PAGE_ROWS && bytes <= PAGE_BYTES {
            version = state.version;
        }
        (200, self.answer(rows, false, version))
    }

    fn answer(&self, rows: Vec<Json>, more: bool, version: u64) -> String {
        let fields = vec![
            ("rows".into(), Json::List(rows)),
            ("hasMore".into(), Json::Bool(more)),
            ("schemaVer".into(), Json::Num(version as f64)),
            (
                "nowMs".into(),
                Json::Num(self.start.elapsed().as_millis() as f64),
            ),
        ];
        Json::Map(fields).to_string()
    }
}

fn write(state: &mut State, key: Key, value: Option<String>) {
    let version = state.version;
    match &value {
        Some(value) => state.rows.insert(key.clone(), (value.clone(), version)),
        None => state.rows.remove(&key),
    };
    let at = Instant::now();
    state.history.push_back(Change {
        at,
        version,
        key,
        value,
    });
    while state.history.front().is_some_and(|c| c.at + HISTORY < at) {
        state.forgotten = state.history.pop_front().map_or(0, |c| c.version);
    }
}

fn key_of(row: &Json) -> Key {
    let text = |name: &str| row.get(name).str().to_owned();
    (text("tbl"), text("part"), text("key"))
}

fn row_json(key: &Key, value: Option<&String>, version: u64) -> Json {
    let mut fields = vec![
        ("tbl".into(), Json::Str(key.0.clone())),
        ("part".into(), Json::Str(key.1.clone())),
        ("key".into(), Json::Str(key.2.clone())),
        ("schemaVer".into(), Json::Num(version as f64)),
    ];
    fields.push(match value {
        Some(value) => ("value".into(), Json::Str(value.clone())),
        None => ("deleted".into(), Json::Bool(true)),
    });
    Json::Map(fields)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// Decodes base64.
pub fn decode(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0u32, 0);
    for byte in text.bytes().filter(|b| *b != b'=') {
        let digit = DIGITS.iter().position(|d| *d == byte).unwrap_or(0) as u32;
        bits = bits << 6 | digit;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}
