//! The record of a run: a line for each event, with the seconds since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes the events of a run to a file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    is_runner: bool,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            is_runner: false,
        })
    }

    /// Creates the record of a runner's process, which shows what it does.
    pub fn of_runner() -> std::io::Result<Self> {
        let mut record = Self::create(Path::new("/dev/null"))?;
        record.is_runner = true;
        Ok(record)
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line; returns its time.
    pub fn line(&self, text: &str) -> Duration {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:9.3} {text}", now.as_secs_f64()).ok();
        now
    }

    /// Writes a line, and shows it at once if this is the process of a runner.
    pub fn announce(&self, text: &str) {
        self.line(text);
        if self.is_runner {
            println!("{text}");
        }
    }

    /// Writes a line and shows it.
    pub fn show(&self, text: &str) -> Duration {
        println!("{text}");
        self.line(text)
    }
}
