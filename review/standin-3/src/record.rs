//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes lines with the time since the start.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now().as_secs_f64());
        print!("{line}");
        let _ = self
            .file
            .lock()
            .expect("the record")
            .write_all(line.as_bytes());
    }
}
