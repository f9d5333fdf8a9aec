//! Claims of bare keys: submission keys without a prefix that names the owning incarnation.
//!
//! A VM claims a bare key by appending a record to the claim stream on the platform's log, and the
//! claim with the lowest offset owns the key. A VM that appended a claim therefore reads the stream
//! up to that claim before it starts any task of the submission. Claims are appended in batches,
//! so that the append rate of the log does not limit the rate of submissions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertpitch_types::platform::LogRecord;
use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Limits of claims.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// The largest age at which a key is accepted. It must be shorter than the log's retention by
    /// more than `clock_margin`, so that the log still holds the first claim of every key that is
    /// accepted.
    pub key_window: Duration,
    /// The largest time by which a client's clock may be ahead.
    pub clock_margin: Duration,
    /// The largest number of keys in one record.
    pub batch_limit: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            key_window: Duration::from_secs(600),
            clock_margin: Duration::from_secs(30),
            batch_limit: 512,
        }
    }
}

/// A record of the claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The incarnation that claims the keys.
    pub owner: OwnerPrefix,
    /// The claimed keys.
    pub keys: Vec<SubmissionId>,
}

/// The owner of a bare key, as far as this VM knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// This incarnation owns the key and may run the submission.
    Own,
    /// Another incarnation owns the key.
    Foreign(OwnerPrefix),
    /// No claim has been read yet.
    Unclaimed,
    /// The key's first submission is older than the key window or too far in the future. Such a key
    /// is never claimed.
    Expired,
}

/// The claims that this VM has read from the stream, and the keys that it has yet to claim.
#[derive(Debug)]
pub struct ClaimTable {
    settings: ClaimSettings,
    incarnation: IncarnationId,
    owners: HashMap<SubmissionId, OwnerPrefix>,
    /// The keys in `owners`, by the time of their first submission.
    by_age: BTreeMap<WallTime, Vec<SubmissionId>>,
    pending: Vec<SubmissionId>,
    next: LogOffset,
    caught_up: bool,
}

impl ClaimTable {
    /// Creates an empty table for `incarnation`.
    pub fn new(incarnation: IncarnationId, settings: ClaimSettings) -> Self {
        Self {
            settings,
            incarnation,
            owners: HashMap::new(),
            by_age: BTreeMap::new(),
            pending: Vec::new(),
            next: LogOffset(0),
            caught_up: false,
        }
    }

    /// The next offset to read from the stream.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Whether the stream has been read to its end at least once. Until then, a key without a known
    /// owner must not be taken for unclaimed.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// The owner of `submission` at time `wall`. A submission that is not a bare key counts as
    /// expired.
    pub fn status(&self, submission: &SubmissionId, wall: WallTime) -> ClaimStatus {
        let SubmissionId::Bare {
            first_submitted, ..
        } = submission
        else {
            return ClaimStatus::Expired;
        };
        let too_old = wall.since(*first_submitted) > self.settings.key_window;
        let from_future = first_submitted.since(wall) > self.settings.clock_margin;
        if too_old || from_future {
            return ClaimStatus::Expired;
        }
        match self.owners.get(submission) {
            Some(owner) if owner.incarnation == self.incarnation => ClaimStatus::Own,
            Some(owner) => ClaimStatus::Foreign(owner.clone()),
            None => ClaimStatus::Unclaimed,
        }
    }

    /// Adds `submission` to the keys that are claimed with the next batches. A key that is already
    /// among them is not added again.
    pub fn queue_claim(&mut self, submission: SubmissionId) {
        if !self.pending.contains(&submission) {
            self.pending.push(submission);
        }
    }

    /// Takes the next batch to append, if any key is pending.
    pub fn take_batch(&mut self, owner: OwnerPrefix) -> Option<ClaimBatch> {
        if self.pending.is_empty() {
            return None;
        }
        let count = self.pending.len().min(self.settings.batch_limit);
        let keys = self.pending.drain(..count).collect();
        Some(ClaimBatch { owner, keys })
    }

    /// Applies records in log order; `next` is the end of the stream. Records that `decode` rejects
    /// are skipped. Returns the number of skipped records.
    pub fn apply(&mut self, records: &[LogRecord], next: LogOffset, decode: ClaimDecoder) -> usize {
        let mut malformed = 0;
        let start = self.next;
        for record in records.iter().filter(|record| record.offset >= start) {
            match decode(&record.body) {
                Some(batch) => self.apply_batch(batch),
                None => malformed += 1,
            }
            self.next = record.offset.next();
        }
        if self.next >= next {
            self.caught_up = true;
        }
        malformed
    }

    fn apply_batch(&mut self, batch: ClaimBatch) {
        for key in batch.keys {
            let SubmissionId::Bare {
                first_submitted, ..
            } = key
            else {
                continue;
            };
            // The claim with the lowest offset owns the key.
            if !self.owners.contains_key(&key) {
                let same_time = self.by_age.entry(first_submitted).or_default();
                same_time.push(key.clone());
                self.owners.insert(key, batch.owner.clone());
            }
        }
    }

    /// Limits the key window to half of the log's retention. With a longer window, the log could
    /// have dropped the first claim of a key that is still accepted.
    pub fn limit_window(&mut self, retention: Duration) {
        self.settings.key_window = self.settings.key_window.min(retention / 2);
    }

    /// Skips the records before `first`, which the log no longer keeps. They are older than the key
    /// window.
    pub fn skip_to(&mut self, first: LogOffset) {
        self.next = self.next.max(first);
    }

    /// Removes the keys outside the key window, whose status is [`ClaimStatus::Expired`].
    pub fn remove_expired(&mut self, wall: WallTime) {
        let kept = self.settings.key_window + self.settings.clock_margin;
        while let Some(entry) = self.by_age.first_entry() {
            if wall.since(*entry.key()) <= kept {
                break;
            }
            for key in entry.remove() {
                self.owners.remove(&key);
            }
        }
    }
}

/// Decodes the body of a claim record; `None` if it is malformed.
pub type ClaimDecoder = fn(&str) -> Option<ClaimBatch>;
