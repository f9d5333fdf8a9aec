//! The event trace: its digest always, its text on request.

use std::fmt::Arguments;
use std::fmt::Write;
use std::hash::Hasher;

use filbertpitch_types::prelude::*;
use fnv::FnvHasher;

/// Collects one line per event.
#[derive(Default)]
pub struct EventTrace {
    hasher: FnvHasher,
    lines: u64,
    print: bool,
    line: String,
}

impl EventTrace {
    /// A trace that is also printed if `print` is set.
    pub fn new(print: bool) -> Self {
        Self {
            print,
            ..Self::default()
        }
    }

    /// Adds a line.
    pub fn write(&mut self, now: TimePoint, text: Arguments<'_>) {
        self.line.clear();
        write!(self.line, "{:>11.6} {text}", now.0 as f64 / 1e6).expect("writing to a string");
        self.hasher.write(self.line.as_bytes());
        self.hasher.write_u8(b'\n');
        self.lines += 1;
        if self.print {
            println!("{}", self.line);
        }
    }

    /// The digest of all lines so far.
    pub fn digest(&self) -> u64 {
        self.hasher.finish()
    }

    /// How many lines were written.
    pub fn lines(&self) -> u64 {
        self.lines
    }
}
