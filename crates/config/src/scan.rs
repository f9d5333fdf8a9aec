//! The search for a snapshot in the retained records.

use filbertpitch_types::platform::{LogRecord, ReadAnswer};
use filbertpitch_types::prelude::*;

use crate::event::FollowerEvent;
use crate::fold::ConfigState;
use crate::record::RecordBody;

/// A snapshot that can be used as long as the records after its offset are kept.
#[derive(Debug)]
pub(crate) struct FoundSnapshot {
    pub(crate) state: ConfigState,
    /// No record that is needed after the snapshot was appended earlier.
    pub(crate) as_of: WallTime,
}

/// A search for the newest usable snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotScan {
    started: LogOffset,
    next: LogOffset,
    best: Option<FoundSnapshot>,
    /// Whether the lack of a snapshot has been reported.
    reported: bool,
}

impl SnapshotScan {
    pub(crate) fn new(started: LogOffset) -> Self {
        Self {
            started,
            next: started,
            best: None,
            reported: false,
        }
    }

    /// Where the search started.
    pub(crate) fn started(&self) -> LogOffset {
        self.started
    }

    /// The next offset to read.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Continues at `first` because the records before it have expired.
    pub(crate) fn skip_expired(&mut self, first: LogOffset) {
        self.started = self.started.max(first);
        self.next = first;
    }

    /// Searches the records of an answer. Returns whether the end of the log is reached.
    pub(crate) fn read(&mut self, answer: &ReadAnswer, events: &mut Vec<FollowerEvent>) -> bool {
        for record in &answer.records {
            let Some(next) = record.offset.0.checked_add(1) else {
                break;
            };
            if record.offset == self.next {
                self.next = LogOffset(next);
                self.consider(record, events);
            }
        }
        self.next >= answer.next
    }

    fn consider(&mut self, record: &LogRecord, events: &mut Vec<FollowerEvent>) {
        let RecordBody::Snapshot(snapshot) = RecordBody::parse(&record.body) else {
            return;
        };
        if let Err(problem) = snapshot.verify(Some(record.offset)) {
            let offset = record.offset;
            events.push(FollowerEvent::SnapshotUnusable { offset, problem });
            return;
        }
        let next = snapshot.state.next_offset();
        let newer = |best: &FoundSnapshot| next >= best.state.next_offset();
        if self.best.as_ref().is_none_or(newer) {
            self.best = Some(FoundSnapshot {
                as_of: snapshot.as_of.min(record.appended_at),
                state: snapshot.state,
            });
        }
    }

    /// Takes the newest snapshot if it is not behind `ours` and every record after it is kept.
    pub(crate) fn take_usable(
        &mut self,
        first: LogOffset,
        ours: LogOffset,
    ) -> Option<FoundSnapshot> {
        self.best.take_if(|found| {
            let next = found.state.next_offset();
            next >= first && next >= ours
        })
    }

    /// Whether the lack of a snapshot is to be reported now.
    pub(crate) fn report_once(&mut self) -> bool {
        !std::mem::replace(&mut self.reported, true)
    }
}
