//! The most recently applied records, for lagging peers and for checking snapshots.

use std::collections::VecDeque;

use filbertpitch_types::platform::LogRecord;
use filbertpitch_types::prelude::*;

/// A contiguous sequence of records that ends before the next offset of the state.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: VecDeque<LogRecord>,
    bytes: usize,
}

impl RecentRecords {
    /// The maximum number of stored records.
    const COUNT_LIMIT: usize = 4096;
    /// The maximum total size of the stored records in bytes, a small part of the 128 MB of a VM.
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

    /// The records at and after `from`, or `None` if the record at `from` is not stored.
    pub(crate) fn since(&self, from: LogOffset) -> Option<impl Iterator<Item = &LogRecord>> {
        let first = self.records.front()?.offset;
        let skipped = usize::try_from(from.0.checked_sub(first.0)?).ok()?;
        (skipped < self.records.len()).then(|| self.records.iter().skip(skipped))
    }
}
