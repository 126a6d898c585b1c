//! What was sent, answered and run, with the seconds since the start of the script.

use std::{
    collections::HashMap,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    origin: Instant,
    /// First start of each job.
    first: Mutex<HashMap<String, Duration>>,
    /// Last start of each task: run and worker.
    last: Mutex<HashMap<String, (u64, String)>>,
    /// Ends of each task.
    ends: Mutex<HashMap<String, Vec<String>>>,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            origin: Instant::now(),
            first: Mutex::default(),
            last: Mutex::default(),
            ends: Mutex::default(),
            file: Mutex::new(BufWriter::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Writes a line to the record and to the terminal.
    pub fn note(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }

    /// Writes a line to the record only.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("lock");
        writeln!(file, "{:9.3} {text}", self.now().as_secs_f64()).expect("record.txt");
    }

    pub fn flush(&self) {
        self.file.lock().expect("lock").flush().expect("record.txt");
    }

    pub fn began(&self, task: &str, attempt: u64, worker: &str) {
        let job = task.split('.').next().unwrap_or_default().to_owned();
        self.first
            .lock()
            .expect("lock")
            .entry(job)
            .or_insert(self.now());
        let last = (attempt, worker.to_owned());
        self.last
            .lock()
            .expect("lock")
            .insert(task.to_owned(), last);
        self.line(&format!("run   {task} {attempt} began on {worker}"));
    }

    pub fn ended(&self, task: &str, attempt: u64, worker: &str, how: &str) {
        let mut ends = self.ends.lock().expect("lock");
        ends.entry(task.to_owned())
            .or_default()
            .push(how.to_owned());
        drop(ends);
        self.line(&format!("run   {task} {attempt} ended {how} on {worker}"));
    }

    /// Returns when the first run of a job began.
    pub fn first(&self, job: &str) -> Option<Duration> {
        self.first.lock().expect("lock").get(job).copied()
    }

    /// Returns the last start of a task: run and worker.
    pub fn last(&self, task: &str) -> Option<(u64, String)> {
        self.last.lock().expect("lock").get(task).cloned()
    }

    /// Returns how the runs of a task ended.
    pub fn ends(&self, task: &str) -> Vec<String> {
        let ends = self.ends.lock().expect("lock");
        ends.get(task).cloned().unwrap_or_default()
    }
}
