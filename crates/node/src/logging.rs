//! Structured logs on standard output: one JSON object a line, never blocking.

use std::{
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
use serde_json::Map;

/// Lines that may wait to be written; more are dropped and counted.
const WAITING: usize = 4096;

/// Lines are written together this often, to save system calls.
const PERIOD: Duration = Duration::from_millis(50);

/// Takes formatted lines and passes them to the thread that writes.
#[derive(Debug)]
struct Ring {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    partial: Vec<u8>,
}

impl Write for Ring {
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

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Starts logging at `level` for the instance `name`.
///
/// Errors: a logger was installed before, or no thread can be started.
pub fn start(level: LevelFilter, name: &str) -> io::Result<()> {
    let (lines, incoming) = flume::bounded(WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let ring = Ring {
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
            let mut fields = Fields(Map::new());
            fields.0.insert("ms".into(), wall_ms().into());
            fields
                .0
                .insert("level".into(), record.level().as_str().into());
            fields.0.insert("node".into(), name.as_str().into());
            fields.0.insert("msg".into(), message.to_string().into());
            if record.key_values().visit(&mut fields).is_err() {
                fields.0.insert("fields".into(), "unreadable".into());
            }
            out.finish(format_args!("{}", serde_json::Value::Object(fields.0)));
        })
        .chain(Box::new(ring) as Box<dyn Write + Send>);
    dispatch.apply().map_err(io::Error::other)
}

fn write_lines(incoming: &flume::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(mut bytes) = incoming.recv() {
        thread::sleep(PERIOD);
        for line in incoming.try_iter() {
            bytes.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"msg\":\"log: lines dropped\",\"count\":{lost}}}\n");
            bytes.extend_from_slice(note.as_bytes());
        }
        // Nobody reads the output: there is nowhere to say so.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}
