//! What was sent, answered and run, with the time of each entry.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    origin: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds an entry, which is printed as well.
    pub fn add(&self, text: &str) {
        let line = format!("{:>6} ms  {text}", self.now_ms());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}
