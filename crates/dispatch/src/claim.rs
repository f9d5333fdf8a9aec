//! Claims of bare submission keys on the platform's log.
//!
//! A key belongs to the claim with the lowest offset. A VM that appended a claim therefore reads
//! the stream up to its own claim before it starts anything. Claims are appended in batches so
//! that the log's append rate does not limit the submissions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertpitch_types::platform::LogRecord;
use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Bounds on claims.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// How old a key may be. Shorter than the log's retention by more than `clock_margin`, so
    /// that the first claim of an acceptable key is always still in the log.
    pub key_window: Duration,
    /// How far a client's clock may be ahead.
    pub clock_margin: Duration,
    /// The most keys in one append.
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

/// The content of one record of the claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The incarnation that claims the keys.
    pub owner: OwnerPrefix,
    /// The keys.
    pub keys: Vec<SubmissionId>,
}

/// Who owns a bare key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// This incarnation; it may run the submission.
    Own,
    /// Another incarnation.
    Foreign(OwnerPrefix),
    /// Nobody yet, as far as the stream has been read.
    Unclaimed,
    /// The key is older than the window or from the future; it is never claimed.
    Expired,
}

/// The claims that this VM has read and the keys that it wants to claim.
#[derive(Debug)]
pub struct ClaimTable {
    settings: ClaimSettings,
    incarnation: IncarnationId,
    owners: HashMap<SubmissionId, OwnerPrefix>,
    by_age: BTreeMap<WallTime, Vec<SubmissionId>>,
    pending: Vec<SubmissionId>,
    next: LogOffset,
    caught_up: bool,
}

impl ClaimTable {
    /// An empty table for `this` incarnation.
    pub fn new(this: IncarnationId, settings: ClaimSettings) -> Self {
        Self {
            settings,
            incarnation: this,
            owners: HashMap::new(),
            by_age: BTreeMap::new(),
            pending: Vec::new(),
            next: LogOffset(0),
            caught_up: false,
        }
    }

    /// The next offset to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Whether the stream was once read to its end. Before that no key counts as unclaimed.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Who owns `submission`.
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

    /// Puts `submission` into the next batch.
    pub fn queue_claim(&mut self, submission: SubmissionId) {
        if !self.pending.contains(&submission) {
            self.pending.push(submission);
        }
    }

    /// Takes the next batch to append, if any key is wanted.
    pub fn take_batch(&mut self, owner: OwnerPrefix) -> Option<ClaimBatch> {
        if self.pending.is_empty() {
            return None;
        }
        let count = self.pending.len().min(self.settings.batch_limit);
        let keys = self.pending.drain(..count).collect();
        Some(ClaimBatch { owner, keys })
    }

    /// Applies records in log order. Malformed records are skipped and counted.
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
            // The lowest offset wins, so a later claim never replaces an earlier one.
            if !self.owners.contains_key(&key) {
                let aged = self.by_age.entry(first_submitted).or_default();
                aged.push(key.clone());
                self.owners.insert(key, batch.owner.clone());
            }
        }
    }

    /// Shortens the key window when the log keeps records for less than twice as long. Otherwise
    /// the first claim of an acceptable key could have expired.
    pub fn limit_window(&mut self, retention: Duration) {
        self.settings.key_window = self.settings.key_window.min(retention / 2);
    }

    /// Skips records that the log no longer keeps. They are older than the key window.
    pub fn skip_to(&mut self, first: LogOffset) {
        self.next = self.next.max(first);
    }

    /// Forgets keys outside the window; they are answered as expired.
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

/// Reads the text of a claim record.
pub type ClaimDecoder = fn(&str) -> Option<ClaimBatch>;
