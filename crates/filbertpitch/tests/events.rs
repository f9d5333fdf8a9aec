//! The table of log events, its page and its output.

use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbertpitch::events::{EventLog, LineRate, LogEvent, RateGate, events_page};
use filbertpitch::settings::LogLevel;
use serde_json::Value;

/// An output that a test can read.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against events that are missing from the catalogue, and against outdated entries.
#[test]
fn page_is_generated_from_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert!(
        page == events_page(),
        "run the command that docs/EVENTS.md names"
    );
}

/// Guards against numbers that are used twice and names that differ from the code.
#[test]
fn numbers_ascend_and_names_match() {
    let numbers = LogEvent::ALL.iter().map(|event| event.spec().number);
    assert!(numbers.is_sorted_by(|earlier, later| earlier < later));
    for event in LogEvent::ALL {
        let name = event.spec().name.replace('_', "");
        assert_eq!(name, format!("{event:?}").to_lowercase());
    }
}

/// Guards against lines that a log collector cannot read, and against lost lines at the end.
#[test]
fn events_are_json_lines() {
    let output = SharedOutput::default();
    let (log, guard) = EventLog::start(output.clone(), LogLevel::Warning);
    log.record(
        LogEvent::TargetEjected,
        slog::b!("target" => "worker-1", "failures" => 9),
    );
    log.record(LogEvent::ProcessReady, slog::b!());
    log.record(
        LogEvent::PeerSilent,
        slog::b!("peer" => "10.0.0.1:7400\n\""),
    );
    drop(guard);
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let lines = lines.collect::<Vec<Value>>();
    assert_eq!(lines.len(), 2, "info is below the level: {text}");
    assert_eq!(lines[0]["event"], 400);
    assert_eq!(lines[0]["name"], "target_ejected");
    assert_eq!(lines[0]["target"], "worker-1");
    assert_eq!(lines[0]["failures"], 9);
    assert!(lines[0]["ts"].is_string() && lines[0]["msg"].is_string());
    assert_eq!(lines[1]["peer"], "10.0.0.1:7400\n\"");
}

fn sources(directory: &Path, text: &mut String) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, text);
        } else {
            text.push_str(&std::fs::read_to_string(path).unwrap());
        }
    }
}

/// Guards against a catalogue that promises events which nothing records.
#[test]
fn every_event_is_recorded_somewhere() {
    let mut text = String::new();
    sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut text,
    );
    for event in LogEvent::ALL {
        let name = format!("LogEvent::{event:?}");
        let mentions = text.match_indices(&name);
        let ends = |end: usize| !text[end..].starts_with(|next: char| next.is_alphanumeric());
        let recorded = mentions.map(|(start, _)| start + name.len()).any(ends);
        assert!(recorded, "{name} is recorded nowhere");
    }
}

/// Guards against a flood of lines, and against lines that vanish without a count.
#[test]
fn lines_of_one_event_are_bounded() {
    let output = SharedOutput::default();
    let (log, guard) = EventLog::start(output.clone(), LogLevel::Info);
    for _ in 0..1_000 {
        log.record(LogEvent::TargetUnreachable, slog::b!());
    }
    log.record(LogEvent::PeerSilent, slog::b!());
    log.report_suppressed();
    log.report_suppressed();
    drop(guard);
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let lines = lines.collect::<Vec<Value>>();
    let count = |event| lines.iter().filter(|line| line["event"] == event).count();
    let written = count(403);
    assert!((20..=25).contains(&written), "{written} lines were written");
    assert_eq!(count(301), 1, "other events are not affected");
    assert_eq!(count(106), 1);
    let left_out = lines.iter().find(|line| line["event"] == 106).unwrap();
    assert_eq!(left_out["suppressed"], "target_unreachable");
    assert_eq!(left_out["lines"], 1_000 - written);
}

/// Guards against a bound that never recovers.
#[test]
fn rate_recovers() {
    let rate = LineRate {
        burst: 2.0,
        per_second: 4.0,
    };
    let mut gate = RateGate::new(rate);
    let start = Instant::now();
    let mut admit = |millis| {
        let now = start + Duration::from_millis(millis);
        gate.admit(now, LogEvent::PeerSilent)
    };
    assert!(admit(0) && admit(0) && !admit(0));
    assert!(!admit(200) && admit(250) && !admit(250));
    assert!(admit(10_000) && admit(10_000) && !admit(10_000));
    assert_eq!(gate.take_suppressed(), [(LogEvent::PeerSilent, 4)]);
}
