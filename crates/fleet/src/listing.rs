//! Follows the platform's list of targets through a feed of its changes.
//!
//! Answers lists of many targets: each target renews its entry every second or two, and if every VM read
//! all renewals, the bytes read would grow with the product of VMs and targets. Instead one VM reads the
//! list and publishes what has changed in a topic of the system, and the others read that. Any VM
//! that misses the feed reads the list itself, from where the feed ended, and tries to go on with the feed;
//! a condition on the feed's end lets only one of them succeed.
//!
//! Each record of the feed covers a range of the list's offsets and follows the one before. A VM that
//! finds a gap reads the list itself from where its own knowledge ends, and the whole list if that part
//! is not kept any more. More changes than fit one record are left out on purpose: that is a gap, too.

use std::collections::BTreeMap;

use filbertpitch_types::fleet::{FeedRecord, ListRecord, TargetChange};
use filbertpitch_types::prelude::*;

/// The most bytes of changes in a record of the feed: a quarter of what the platform takes, since text grows
/// when it is encoded.
const FEED_RECORD_BYTES: usize = 64 << 10;

/// A record of the list and what it says.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// Its offset in the list.
    pub offset: LogOffset,
    /// As the platform stores it.
    pub record: ListRecord,
    /// What it says; nothing if it names no target.
    pub notice: Option<TargetChange>,
}

/// The feed does not follow what is known: the list must be read up to there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedGap;

/// What a VM knows of the list and of the feed.
#[derive(Clone, Debug, Default)]
pub struct ListFollower {
    /// What the list says, by key.
    latest: BTreeMap<Box<str>, TargetChange>,
    /// Where the part of the list ends that is known.
    through: LogOffset,
    /// From where on `pending` is complete: where the feed ends, or what was read first.
    covered: LogOffset,
    /// Changes that the feed does not cover, and their offsets.
    pending: BTreeMap<Box<str>, (LogOffset, ListRecord)>,
}

impl ListFollower {
    /// Where to go on reading the list.
    pub fn through(&self) -> LogOffset {
        self.through
    }

    /// Takes over the whole list, which was read up to `through` at least. Returns what has changed.
    pub fn take_list(&mut self, entries: Vec<ListEntry>, through: LogOffset) -> Vec<TargetChange> {
        let first = self.latest.is_empty();
        let listed = entries.iter().map(|entry| entry.record.key.clone());
        let listed = listed.collect::<std::collections::BTreeSet<_>>();
        let known = self.latest.iter();
        let gone = known.filter(|(key, notice)| {
            !listed.contains(*key) && !matches!(notice, TargetChange::Removed(_))
        });
        let gone = gone.map(|(key, notice)| ListEntry {
            offset: LogOffset(through.0.saturating_sub(1)),
            record: ListRecord {
                key: key.clone(),
                value: None,
            },
            notice: Some(TargetChange::Removed(name_of(notice).clone())),
        });
        let gone = gone.collect::<Vec<_>>();
        let notices = self.take_entries(gone.into_iter().chain(entries), through);
        if first {
            // Which of the entries the feed does not cover is not known.
            self.pending.clear();
            self.covered = self.through;
        }
        notices
    }

    /// Takes over the records of the list up to `through`. Returns what has changed.
    pub fn take_changes(
        &mut self,
        entries: Vec<ListEntry>,
        through: LogOffset,
    ) -> Vec<TargetChange> {
        self.take_entries(entries.into_iter(), through)
    }

    fn take_entries<I>(&mut self, entries: I, through: LogOffset) -> Vec<TargetChange>
    where
        I: Iterator<Item = ListEntry>,
    {
        let mut notices = Vec::new();
        for entry in entries {
            let Some(notice) = entry.notice else {
                continue;
            };
            let key = entry.record.key.clone();
            if self.latest.get(&key) == Some(&notice) {
                continue;
            }
            self.pending
                .insert(key.clone(), (entry.offset, entry.record));
            self.latest.insert(key, notice.clone());
            notices.push(notice);
        }
        self.through = self.through.max(through);
        notices
    }

    /// Takes over a record of the feed; `read` says what a record of the list says. Returns what has
    /// changed.
    ///
    /// # Errors
    /// When the record does not follow what is known.
    pub fn take_feed<F>(&mut self, feed: FeedRecord, read: F) -> Result<Vec<TargetChange>, FeedGap>
    where
        F: Fn(&ListRecord) -> Option<TargetChange>,
    {
        if feed.from > self.through {
            return Err(FeedGap);
        }
        self.covered = self.covered.max(feed.through);
        let mut notices = Vec::new();
        if feed.through > self.through {
            let entries = feed.changes.into_iter().map(|record| ListEntry {
                offset: feed.from,
                notice: read(&record),
                record,
            });
            notices = self.take_entries(entries, feed.through);
        }
        let covered = self.covered;
        self.pending.retain(|_, (offset, _)| *offset >= covered);
        Ok(notices)
    }

    /// The next record of the feed, if this VM is the one to publish it.
    pub fn next_record(&self) -> FeedRecord {
        let records = self.pending.values().map(|(_, record)| record);
        let bytes = records
            .clone()
            .map(|record| record.key.len() + record.value.as_ref().map_or(0, |value| value.len()));
        if bytes.sum::<usize>() > FEED_RECORD_BYTES {
            return FeedRecord {
                from: self.through,
                through: self.through,
                changes: Vec::new(),
            };
        }
        FeedRecord {
            from: self.covered,
            through: self.through,
            changes: records.cloned().collect(),
        }
    }

    /// The feed has taken the record in.
    pub fn published(&mut self, through: LogOffset) {
        self.covered = self.covered.max(through);
        self.pending.retain(|_, (offset, _)| *offset >= through);
    }
}

fn name_of(notice: &TargetChange) -> &TargetName {
    match notice {
        TargetChange::Listed(entry) => &entry.name,
        TargetChange::Removed(name) | TargetChange::Unreadable(name) => name,
    }
}
