//! A stand-in of the platform's table store, as PROTOCOL.md tells it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Reply, Request, Server},
    json::{Json, base64_len, encode_base64},
    record,
};

const ROW_BYTES: usize = 65_536;
const MAX_KEY_BYTES: usize = 200;
const MAX_ENTRIES: usize = 100;
const MAX_TX_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 500;
const READ_TIME: Duration = Duration::from_millis(4);
const TX_TIME: Duration = Duration::from_millis(8);

type Key = (String, String, String);

#[derive(Default)]
struct State {
    /// Base64 values and versions.
    rows: BTreeMap<Key, (String, u64)>,
    changes: Vec<(u64, Key)>,
    version: u64,
    /// Channel number, text in the body, and delay of the write that is carried out late.
    late: Option<(usize, String, Duration)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        })
    }

    /// Opens a further address of the store, for one of its users.
    pub fn listen(self: &Arc<Store>, user: usize) -> SocketAddr {
        let store = self.clone();
        Server::start(Arc::new(move |request| store.handle(request, user))).addr()
    }

    /// The next write of a user whose body holds `text` gets no answer and is carried out after
    /// `delay`, if its conditions still hold then.
    pub fn delay_write(&self, user: usize, text: &str, delay: Duration) {
        self.state.lock().expect("lock").late = Some((user, text.to_owned(), delay));
    }

    /// Writes a row, as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut state = self.state.lock().expect("lock");
        state.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = encode_base64(value.to_string().as_bytes());
        write(&mut state, key, Some(value));
        self.changed.notify_all();
    }

    /// Removes a row, as where a worker has been silent for long.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().expect("lock");
        state.version += 1;
        write(&mut state, (table.into(), String::new(), key.into()), None);
        self.changed.notify_all();
    }

    fn handle(self: &Arc<Store>, request: Request, user: usize) -> Reply {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        match (request.method.as_str(), path) {
            ("POST", "/rows-tx") => self.transact(&request.body, user),
            ("GET", "/rows-get") => {
                thread::sleep(READ_TIME);
                self.read(&query)
            }
            ("GET", "/rows-feed") => {
                thread::sleep(READ_TIME);
                self.feed(&query)
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn answer(&self, status: u16, version: u64, mut fields: Vec<(String, Json)>) -> Reply {
        fields.push(("schemaVer".into(), Json::Number(version as f64)));
        let now = self.start.elapsed().as_millis() as f64;
        fields.push(("nowMs".into(), Json::Number(now)));
        Reply::Answer(status, Json::Object(fields).to_string())
    }

    fn transact(self: &Arc<Store>, body: &[u8], user: usize) -> Reply {
        let text = String::from_utf8_lossy(body).into_owned();
        let late = {
            let mut state = self.state.lock().expect("lock");
            let is_it = |l: &mut (usize, String, Duration)| l.0 == user && text.contains(&l.1);
            state.late.take_if(is_it)
        };
        let Ok(body) = Json::parse(body) else {
            return Reply::Answer(400, "{}".into());
        };
        if let Some((_, what, delay)) = late {
            record::line(&format!(
                "store: a write of {what} gets no answer and is carried out in {} ms",
                delay.as_millis()
            ));
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let done = matches!(store.apply(&body), Reply::Answer(200, _));
                let word = if done {
                    "carried out"
                } else {
                    "not carried out"
                };
                record::line(&format!("store: the late write of {what} is {word}"));
            });
            return Reply::Silence;
        }
        if text.len() > MAX_TX_BYTES {
            return Reply::Answer(400, "{}".into());
        }
        thread::sleep(TX_TIME);
        self.apply(&body)
    }

    fn apply(&self, body: &Json) -> Reply {
        let (expects, writes) = (body.get("expectRev").list(), body.get("write").list());
        let removes = body.get("remove").list();
        let is_valid = |row: &Json| {
            !row.get("tbl").text().is_empty()
                && row.get("key").text().len() <= MAX_KEY_BYTES
                && base64_len(row.get("value").text()) <= ROW_BYTES
        };
        if expects.len() + writes.len() + removes.len() > MAX_ENTRIES
            || !writes.iter().all(is_valid)
        {
            return Reply::Answer(400, "{}".into());
        }
        if writes
            .iter()
            .chain(removes)
            .any(|r| r.get("tbl").text() == "servers")
        {
            return Reply::Answer(403, "{}".into());
        }
        let mut state = self.state.lock().expect("lock");
        let mut holds = true;
        let mut found = Vec::new();
        for row in expects {
            let key = key_of(row);
            let version = state.rows.get(&key).map_or(0, |r| r.1);
            holds &= row.get("schemaVer").number() == Some(version as f64);
            if let Some((value, version)) = state.rows.get(&key) {
                found.push(row_json(&key, value, *version));
            }
        }
        if !holds {
            let rows = vec![("rows".to_owned(), Json::List(found))];
            return self.answer(412, state.version, rows);
        }
        state.version += 1;
        for row in writes {
            let value = row.get("value").text().to_owned();
            write(&mut state, key_of(row), Some(value));
        }
        for row in removes {
            write(&mut state, key_of(row), None);
        }
        self.changed.notify_all();
        self.answer(200, state.version, Vec::new())
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Reply {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, until) = (text("tbl"), text("part"), text("targetVersion"));
        let cap = text("cap").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.state.lock().expect("lock");
        let (mut rows, mut more, mut bytes) = (Vec::new(), false, 0);
        for (key, (value, version)) in state
            .rows
            .range((table.clone(), part.clone(), text("source"))..)
        {
            if key.0 != table || key.1 != part || !until.is_empty() && key.2 >= until {
                break;
            }
            bytes += value.len();
            if rows.len() >= cap || bytes > MAX_TX_BYTES && !rows.is_empty() {
                more = true;
                break;
            }
            rows.push(row_json(key, value, *version));
        }
        let fields = vec![
            ("rows".to_owned(), Json::List(rows)),
            ("hasMore".to_owned(), Json::Bool(more)),
        ];
        self.answer(200, state.version, fields)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> Reply {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let after: u64 = text("deps").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
        let table = text("tbl");
        let news = |state: &State| {
            let start = state.changes.partition_point(|c| c.0 <= after);
            let new = state.changes[start..].iter().filter(|c| c.1.0 == table);
            new.cloned().collect::<Vec<_>>()
        };
        let state = self.state.lock().expect("lock");
        let waited = self
            .changed
            .wait_timeout_while(state, wait, |s| news(s).is_empty());
        let state = waited.expect("lock").0;
        let (mut rows, mut version) = (Vec::new(), state.version);
        for (changed, key) in news(&state) {
            match state.rows.get(&key) {
                Some((value, now)) if *now == changed => rows.push(row_json(&key, value, changed)),
                None => rows.push(Json::Object(vec![
                    ("tbl".into(), Json::Text(key.0)),
                    ("part".into(), Json::Text(key.1)),
                    ("key".into(), Json::Text(key.2)),
                    ("schemaVer".into(), Json::Number(changed as f64)),
                    ("deleted".into(), Json::Bool(true)),
                ])),
                Some(_) => {}
            }
            if rows.len() >= MAX_ROWS {
                version = changed;
                break;
            }
        }
        let rows = vec![("rows".to_owned(), Json::List(rows))];
        self.answer(200, version, rows)
    }
}

fn write(state: &mut State, key: Key, value: Option<String>) {
    let version = state.version;
    state.changes.push((version, key.clone()));
    match value {
        Some(value) => state.rows.insert(key, (value, version)),
        None => state.rows.remove(&key),
    };
}

fn key_of(row: &Json) -> Key {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("tbl"), text("part"), text("key"))
}

fn row_json(key: &Key, value: &str, version: u64) -> Json {
    Json::Object(vec![
        ("tbl".into(), Json::Text(key.0.clone())),
        ("part".into(), Json::Text(key.1.clone())),
        ("key".into(), Json::Text(key.2.clone())),
        ("value".into(), Json::Text(value.to_owned())),
        ("schemaVer".into(), Json::Number(version as f64)),
    ])
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
