//! Structured logging to standard output: one JSON object per line, never blocking the caller.

use std::{
    fmt,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use gorsespur_runtime::clock::wall_ms;
use log::{
    LevelFilter,
    kv::{Error, Key, Value, VisitSource},
};

/// Limit on queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Initial capacity of a line, in bytes.
const LINE_BYTES: usize = 256;

/// Period of writes; lines are written in batches to save system calls.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Passes formatted lines to the thread that writes them.
#[derive(Debug)]
struct LineQueue {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    partial: Vec<u8>,
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(buf);
        if buf.ends_with(b"\n") {
            let line = std::mem::take(&mut self.partial);
            if self.lines.try_send(line).is_err() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line's fields as members of a JSON object, without building a tree: the owner writes
/// thousands of lines a second.
pub(crate) struct Fields(String);

impl Fields {
    /// Begins a line with the fields that every line has.
    pub(crate) fn begin(ms: u64, level: &str, node: &str, msg: &str) -> Fields {
        let mut fields = Fields(String::with_capacity(LINE_BYTES));
        fields.plain("ms", ms);
        fields.text("level", level);
        fields.text("node", node);
        fields.text("msg", msg);
        fields
    }

    /// Returns the whole line.
    pub(crate) fn end(mut self) -> String {
        self.0.push('}');
        self.0
    }

    fn text(&mut self, key: &str, value: &str) {
        self.key(key);
        self.quote(value);
    }

    fn plain(&mut self, key: &str, value: impl fmt::Display) {
        self.key(key);
        self.0.push_str(&value.to_string());
    }

    fn key(&mut self, key: &str) {
        self.0.push(if self.0.is_empty() { '{' } else { ',' });
        self.quote(key);
        self.0.push(':');
    }

    fn quote(&mut self, text: &str) {
        if text.bytes().any(|b| b < b' ' || b == b'"' || b == b'\\') {
            // Encoding a string can't fail.
            let quoted = serde_json::to_string(text).unwrap_or_default();
            return self.0.push_str(&quoted);
        }
        self.0.push('"');
        self.0.push_str(text);
        self.0.push('"');
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = own_key(key.as_str());
        if let Some(n) = value.to_u64() {
            self.plain(key, n);
        } else if let Some(b) = value.to_bool() {
            self.plain(key, b);
        } else if let Some(text) = value.to_borrowed_str() {
            self.text(key, text);
        } else {
            self.text(key, &value.to_string());
        }
        Ok(())
    }
}

/// Renames a line's own field if its name is one of those that every line has, since JSON objects
/// with duplicate names can't be parsed.
fn own_key(key: &str) -> &str {
    match key {
        "ms" => "took_ms",
        "level" => "own_level",
        "node" => "own_node",
        "msg" => "own_msg",
        _ => key,
    }
}

/// Starts logging at `level` for the instance `name`.
///
/// Errors: a logger was installed before, or no thread can be started.
pub fn start(level: LevelFilter, name: &str) -> io::Result<()> {
    let (lines, incoming) = flume::bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = LineQueue {
        lines,
        dropped: dropped.clone(),
        partial: Vec::new(),
    };
    thread::Builder::new()
        .name("log".into())
        .stack_size(128 << 10)
        .spawn(move || write_lines(&incoming, &dropped))?;
    let name = name.to_owned();
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let level = record.level().as_str();
            let mut fields = Fields::begin(wall_ms(), level, &name, &message.to_string());
            if record.key_values().visit(&mut fields).is_err() {
                fields.text("fields", "unreadable");
            }
            out.finish(format_args!("{}", fields.end()));
        })
        .chain(Box::new(queue) as Box<dyn Write + Send>);
    dispatch.apply().map_err(io::Error::other)
}

fn write_lines(incoming: &flume::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(mut bytes) = incoming.recv() {
        thread::sleep(WRITE_PERIOD);
        for line in incoming.try_iter() {
            bytes.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"msg\":\"log: lines dropped\",\"count\":{lost}}}\n");
            bytes.extend_from_slice(note.as_bytes());
        }
        // If standard output fails, there is nowhere to report it.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}
