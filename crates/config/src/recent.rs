//! The records applied last, for lagging peers and for checking snapshots.

use std::collections::VecDeque;

use filbertpitch_types::platform::LogRecord;
use filbertpitch_types::prelude::*;

/// A contiguous run of records that ends before the state's next offset.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: VecDeque<LogRecord>,
    bytes: usize,
}

impl RecentRecords {
    /// The most records kept.
    const COUNT_LIMIT: usize = 4096;
    /// The most bytes kept, a small part of the 128 MB of a VM.
    const BYTE_LIMIT: usize = 4 << 20;

    pub(crate) fn push(&mut self, record: &LogRecord) {
        self.bytes += record.body.len();
        self.records.push_back(record.clone());
        while self.records.len() > Self::COUNT_LIMIT || self.bytes > Self::BYTE_LIMIT {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.body.len();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }

    /// The records at and after `from`, or nothing if the record at `from` is not kept.
    pub(crate) fn since(&self, from: LogOffset) -> Option<impl Iterator<Item = &LogRecord>> {
        let first = self.records.front()?.offset;
        let skipped = usize::try_from(from.0.checked_sub(first.0)?).ok()?;
        (skipped < self.records.len()).then(|| self.records.iter().skip(skipped))
    }
}
