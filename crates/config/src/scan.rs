//! Searches the retained records for the newest usable snapshot.

use filbertpitch_types::platform::{LogRecord, ReadAnswer};
use filbertpitch_types::prelude::*;

use crate::event::FollowerEvent;
use crate::fold::ConfigState;
use crate::record::RecordBody;

/// A snapshot that is usable as long as the log retains the records after its offset.
#[derive(Debug)]
pub(crate) struct FoundSnapshot {
    pub(crate) state: ConfigState,
    /// No record that must be applied after the snapshot was appended before this time.
    pub(crate) as_of: WallTime,
}

/// A search for the newest usable snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotScan {
    started: LogOffset,
    next: LogOffset,
    best: Option<FoundSnapshot>,
    /// Whether the lack of a usable snapshot has been reported.
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

    /// The offset at which the search started.
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

    /// Searches the records of an answer. Returns whether the search has reached the end of the log.
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

    /// Takes the newest snapshot if it is not older than `ours` and the log retains all records
    /// after it.
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

    /// Whether the lack of a usable snapshot must be reported; true only on the first call.
    pub(crate) fn report_once(&mut self) -> bool {
        !std::mem::replace(&mut self.reported, true)
    }
}
