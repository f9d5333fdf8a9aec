//! The catalogue of events as a page.

use std::fmt::Write;

use super::LogEvent;

const INTRODUCTION: &str = "# Log events

filbertpitch writes one JSON object per line to the standard output stream. `event` is the number
of the event, `name` its name, `level` its severity, `ts` the time; further fields depend on the
event. Numbers are never reused. At most 20 lines of one event are written in a burst and 2 a
second in the long run, of events from 900 on 400 and 200; `lines_suppressed` counts the others. The one line without a number is
written when lines were dropped because the consumer of the stream was too slow; it contains their
count.

This page is generated from the table in `crates/filbertpitch/src/events/table.rs`:

    cargo run -q -p filbertpitch --example events_page > docs/EVENTS.md

| number | name | level | meaning | action |
|---|---|---|---|---|
";

/// The content of docs/EVENTS.md.
pub fn events_page() -> String {
    let mut page = String::from(INTRODUCTION);
    for event in LogEvent::ALL {
        let spec = event.spec();
        let level = spec.level.as_str().to_lowercase();
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| {} | `{}` | {level} | {} | {} |",
            spec.number, spec.name, spec.meaning, spec.action
        );
    }
    page
}
