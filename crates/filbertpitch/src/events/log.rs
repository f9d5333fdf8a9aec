//! Writes events as JSON lines.

use std::io;

use slog::{Drain, Logger, Record, RecordLocation, RecordStatic, o};
use slog_async::AsyncGuard;

use super::LogEvent;
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
        };
        (log, LogGuard(guard))
    }

    /// A log that writes nothing.
    pub fn discard() -> Self {
        Self {
            logger: Logger::root(slog::Discard, o!()),
            level: slog::Level::Critical,
        }
    }

    /// Logs an event with values, for example `slog::b!("target" => name)`.
    pub fn record(&self, event: LogEvent, values: slog::BorrowedKV<'_>) {
        let spec = event.spec();
        if !spec.level.is_at_least(self.level) {
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
