//! Writes events as JSON lines.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use slog::{Drain, Logger, Record, RecordLocation, RecordStatic, o};
use slog_async::AsyncGuard;

use super::{LogEvent, RateGate};
use crate::settings::LogLevel;

/// Lines that wait to be written. At 300 bytes a line this is about 1 MiB.
const QUEUED_LINES: usize = 4096;

/// Events have a number in place of a source location.
static LOCATION: RecordLocation = RecordLocation {
    file: "",
    line: 0,
    column: 0,
    function: "",
    module: "",
};

/// Writes the waiting lines when it is dropped.
#[must_use = "lines are lost when the guard is dropped early"]
pub struct LogGuard(#[expect(dead_code, reason = "held for its destructor")] AsyncGuard);

/// Logs events. Clones share one output.
#[derive(Clone, Debug)]
pub struct EventLog {
    logger: Logger,
    level: slog::Level,
    gate: Rc<RefCell<RateGate>>,
}

impl EventLog {
    /// Writes events of at least `level` to `output` from a thread of its own.
    ///
    /// Lines are dropped and counted when the output is too slow, so that a stalled log pipe does
    /// not stop the loop.
    pub fn start<W>(output: W, level: LogLevel) -> (Self, LogGuard)
    where
        W: io::Write + Send + 'static,
    {
        let json = slog_json::Json::new(output)
            .set_newlines(true)
            .set_flush(true)
            .add_default_keys()
            .build();
        let (drain, guard) = slog_async::Async::new(json.ignore_res())
            .chan_size(QUEUED_LINES)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .build_with_guard();
        let log = Self {
            logger: Logger::root(drain.fuse(), o!()),
            level: level.as_slog(),
            gate: Rc::default(),
        };
        (log, LogGuard(guard))
    }

    /// A log that writes nothing.
    pub fn discard() -> Self {
        Self {
            logger: Logger::root(slog::Discard, o!()),
            level: slog::Level::Critical,
            gate: Rc::default(),
        }
    }

    /// Logs an event with values, for example `slog::b!("target" => name)`, unless too many lines
    /// of the event were written recently.
    pub fn record(&self, event: LogEvent, values: slog::BorrowedKV<'_>) {
        if !self.is_enabled(event) {
            return;
        }
        if self.gate.borrow_mut().admit(Instant::now(), event) {
            self.write(event, values);
        }
    }

    /// Logs how many lines of which events were left out since the last call.
    pub fn report_suppressed(&self) {
        let counts = self.gate.borrow_mut().take_suppressed();
        for (event, lines) in counts {
            let name = event.spec().name;
            self.write(
                LogEvent::LinesSuppressed,
                slog::b!("suppressed" => name, "lines" => lines),
            );
        }
    }

    fn is_enabled(&self, event: LogEvent) -> bool {
        event.spec().level.is_at_least(self.level)
    }

    fn write(&self, event: LogEvent, values: slog::BorrowedKV<'_>) {
        let spec = event.spec();
        if !self.is_enabled(event) {
            return;
        }
        let statics = RecordStatic {
            location: &LOCATION,
            tag: "",
            level: spec.level,
        };
        let logger = self
            .logger
            .new(o!("event" => spec.number, "name" => spec.name));
        logger.log(&Record::new(
            &statics,
            &format_args!("{}", spec.meaning),
            values,
        ));
    }
}
