//! The record of a run: a line for what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    Ok(())
}

/// Returns the milliseconds since the record was opened.
pub fn now() -> u64 {
    RECORD.get().map_or(0, |r| r.1.elapsed().as_millis() as u64)
}

pub fn line(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64();
        let mut file = file.lock().expect("lock");
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }
}
