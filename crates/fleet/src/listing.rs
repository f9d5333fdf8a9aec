//! Follows the list of targets of the platform through a feed of its changes.
//!
//! Each target renews its entry every second or two. If every VM read all renewals, the bytes read
//! would grow with the product of VMs and targets. Instead one VM reads the list and publishes its
//! changes to an internal topic, the feed, which the others read. A VM that receives no feed
//! records claims the feed by a record without a range, reads the list from the offset where the feed
//! ended and continues the feed. The append is conditional on the end of the feed, so that only one VM
//! succeeds, and only that VM reads the list.
//!
//! Each record of the feed covers a range of offsets of the list and starts where the previous one
//! ends. A VM that finds a gap reads the list from the offset up to which it knows the list, or the
//! whole list if that part is no longer retained. Changes that do not fit into one record are left
//! out on purpose, which also makes a gap.

use std::collections::{BTreeMap, BTreeSet};

use filbertpitch_types::fleet::{FeedRecord, ListRecord, TargetChange, TargetEntry};
use filbertpitch_types::prelude::*;

/// The most bytes of changes in a record of the feed as it is encoded: half of what the platform accepts.
const FEED_RECORD_BYTES: usize = 128 << 10;

/// What encoding a change adds beside its key and its value: names of fields, quotes and delimiters.
const FEED_FRAME_BYTES: usize = 32;

/// The memory that all entries may take. A VM has some 256 MB; 30,000 targets take half of this.
const MAX_LIST_BYTES: usize = 32 << 20;

/// The memory of an entry beside its labels: two names, the fields, and a node of a tree.
const ENTRY_BYTES: usize = 512;

/// The memory of a label beside its text.
const LABEL_BYTES: usize = 48;

/// The bytes of a record of the list beside its key and its value: both length fields.
const RECORD_FRAME_BYTES: usize = 5;

/// The part of the estimated length that each shorter record takes off.
const LENGTH_DECAY: u32 = 64;

/// Whether a record of the feed only says that its publisher is going to read the list. No range of the
/// list ends at offset 0.
pub fn is_claim(record: &FeedRecord) -> bool {
    *record == claim_record()
}

/// The record with which a VM claims the feed.
pub fn claim_record() -> FeedRecord {
    FeedRecord::default()
}

/// A record of the list and its meaning.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The offset in the list.
    pub offset: LogOffset,
    /// The record as the platform stores it.
    pub record: ListRecord,
    /// The change that the record stands for; `None` if it names no target.
    pub change: Option<TargetChange>,
}

/// A record of the feed starts after the known part of the list, so that the part between must be
/// read from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedGap;

/// A change that the feed does not cover.
#[derive(Clone, Debug)]
struct UnpublishedChange {
    offset: LogOffset,
    record: ListRecord,
    /// Whether other VMs may know the target as listed, or must learn that it is.
    matters: bool,
}

/// How many entries were left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Because all entries together take too much memory.
    pub for_memory: u64,
    /// Of the feed, because a record would be too large.
    pub from_feed: u64,
}

/// The state of the list and of the feed as known to a VM.
#[derive(Clone, Debug, Default)]
pub struct ListFollower {
    /// The latest change of each key of the list.
    latest: BTreeMap<Box<str>, TargetChange>,
    /// The memory that `latest` takes.
    latest_bytes: usize,
    left_out: LeftOut,
    /// The offset up to which the list is known.
    through: LogOffset,
    /// The length of the latest records, for the estimate of the size of a read.
    record_bytes: u32,
    /// The offset from which on `unpublished` is complete: the end of the feed, or that of the
    /// first read.
    published_through: LogOffset,
    /// Changes that the feed does not cover, with their offsets.
    unpublished: BTreeMap<Box<str>, UnpublishedChange>,
    /// The offset up to which `unpublished` lacks changes because they do not fit into a record.
    unpublishable: Option<LogOffset>,
    /// The keys of listed targets that have not been seen since a whole read ended without all pages.
    unseen: BTreeSet<Box<str>>,
}

impl ListFollower {
    /// The offset at which reading the list continues.
    pub fn through(&self) -> LogOffset {
        self.through
    }

    /// How many entries were left out so far.
    pub fn left_out(&self) -> LeftOut {
        self.left_out
    }

    /// Whether a change says anything new: that a target is listed, or that a known one is not.
    pub fn concerns(&self, change: &TargetChange) -> bool {
        matches!(change, TargetChange::Listed(_))
            || self.latest.contains_key(target_name(change).as_str())
    }

    /// Applies a read of the whole list, up to `through` at least. Returns the changes.
    pub fn apply_list(&mut self, entries: Vec<ListEntry>, through: LogOffset) -> Vec<TargetChange> {
        let listed = entries.iter().map(|entry| entry.record.key.clone());
        let listed = listed.collect::<BTreeSet<_>>();
        let gone = self.listed_keys().filter(|key| !listed.contains(*key));
        let gone = gone.cloned().collect::<Vec<_>>();
        let gone = self.removals(gone, through);
        self.apply_read(gone.into_iter().chain(entries), through)
    }

    /// Applies a read of the whole list that has ended without all pages. Returns the changes. Targets that
    /// were not read stay listed until [`Self::drop_unseen`].
    pub fn apply_part(&mut self, entries: Vec<ListEntry>, through: LogOffset) -> Vec<TargetChange> {
        self.unseen = self.listed_keys().cloned().collect();
        self.apply_read(entries.into_iter(), through)
    }

    /// Drops the targets whose entries have not been read since the latest [`Self::apply_part`]. Returns the
    /// changes.
    pub fn drop_unseen(&mut self) -> Vec<TargetChange> {
        let unseen = std::mem::take(&mut self.unseen);
        let gone = self.removals(unseen, self.through);
        self.apply_entries(gone.into_iter(), self.through)
    }

    fn listed_keys(&self) -> impl Iterator<Item = &Box<str>> {
        let listed = |change: &TargetChange| !matches!(change, TargetChange::Removed(_));
        let latest = self.latest.iter();
        latest.filter_map(move |(key, change)| listed(change).then_some(key))
    }

    fn removals<I>(&self, keys: I, through: LogOffset) -> Vec<ListEntry>
    where
        I: IntoIterator<Item = Box<str>>,
    {
        let removals = keys.into_iter().filter_map(|key| {
            let name = target_name(self.latest.get(&key)?).clone();
            Some(ListEntry {
                offset: LogOffset(through.0.saturating_sub(1)),
                record: ListRecord { key, value: None },
                change: Some(TargetChange::Removed(name)),
            })
        });
        removals.collect()
    }

    fn apply_read<I>(&mut self, entries: I, through: LogOffset) -> Vec<TargetChange>
    where
        I: Iterator<Item = ListEntry>,
    {
        let first = self.latest.is_empty();
        let changes = self.apply_entries(entries, through);
        if first {
            // It is unknown which of these entries the feed does not cover.
            self.published_through = self.through;
            self.unpublished.clear();
            self.unpublishable = None;
        }
        changes
    }

    /// Applies the records of the list up to `through`. Returns the changes.
    pub fn apply_changes(
        &mut self,
        entries: Vec<ListEntry>,
        through: LogOffset,
    ) -> Vec<TargetChange> {
        self.apply_entries(entries.into_iter(), through)
    }

    fn apply_entries<I>(&mut self, entries: I, through: LogOffset) -> Vec<TargetChange>
    where
        I: Iterator<Item = ListEntry>,
    {
        let mut changes = Vec::new();
        for mut entry in entries {
            let Some(mut change) = entry.change else {
                continue;
            };
            let key = entry.record.key.clone();
            self.unseen.remove(&key);
            self.note_length(&entry.record);
            if let Some(latest) = self.latest.get_mut(&key)
                && is_expected(latest, &change)
            {
                *latest = change;
                continue;
            }
            if !self.has_room(&key, &change) {
                self.left_out.for_memory += 1;
                if !self.latest.contains_key(&key) {
                    continue;
                }
                // The former entry does not hold any more.
                change = TargetChange::Unreadable(target_name(&change).clone());
                entry.record.value = Some("".into());
            }
            let unlisted = entry.record.value.as_deref().is_none_or(str::is_empty);
            let former = self.latest.get(&key);
            let listed = matches!(former, Some(TargetChange::Listed(_)));
            let former_matters = self.unpublished.get(&key).is_some_and(|it| it.matters);
            let unpublished = UnpublishedChange {
                offset: entry.offset,
                record: entry.record,
                matters: !unlisted || listed || former_matters,
            };
            self.unpublished.insert(key.clone(), unpublished);
            self.latest_bytes -= former.map_or(0, change_bytes);
            self.latest_bytes += change_bytes(&change);
            self.latest.insert(key, change.clone());
            changes.push(change);
        }
        self.through = self.through.max(through);
        self.bound_unpublished();
        changes
    }

    /// Whether a change of a key can be kept. Keys that are not listed make room for one that is.
    fn has_room(&mut self, key: &str, change: &TargetChange) -> bool {
        let former = self.latest.get(key).map_or(0, change_bytes);
        let added = change_bytes(change);
        let fits = |bytes: usize| bytes - former + added <= MAX_LIST_BYTES;
        if fits(self.latest_bytes) {
            return true;
        }
        if !matches!(change, TargetChange::Listed(_)) {
            return false;
        }
        self.latest
            .retain(|kept, change| **kept == *key || matches!(change, TargetChange::Listed(_)));
        self.latest_bytes = self.latest.values().map(change_bytes).sum();
        fits(self.latest_bytes)
    }

    /// Keeps the changes that the feed does not cover within one record.
    fn bound_unpublished(&mut self) {
        if self.unpublished_bytes() <= FEED_RECORD_BYTES {
            return;
        }
        // Nobody uses a target that was never listed.
        let before = self.unpublished.len();
        self.unpublished.retain(|_, change| change.matters);
        self.left_out.from_feed += (before - self.unpublished.len()) as u64;
        if self.unpublished_bytes() > FEED_RECORD_BYTES {
            let changes = std::mem::take(&mut self.unpublished);
            let last = changes.values().map(|change| change.offset).max();
            self.unpublishable = self.unpublishable.max(last);
        }
    }

    fn unpublished_bytes(&self) -> usize {
        let changes = self.unpublished.values();
        changes.map(|change| encoded_bytes(&change.record)).sum()
    }

    fn note_length(&mut self, record: &ListRecord) {
        let value = record.value.as_ref().map_or(0, |value| value.len());
        let length =
            u32::try_from(RECORD_FRAME_BYTES + record.key.len() + value).unwrap_or(u32::MAX);
        // The longest of the latest records: a read that is too short must be repeated.
        self.record_bytes = length.max(self.record_bytes - self.record_bytes / LENGTH_DECAY);
    }

    /// The bytes that a read from [`Self::through`] to `end` returns at most, as far as known.
    pub fn missing_bytes(&self, end: LogOffset) -> u64 {
        let missing = end.0.saturating_sub(self.through.0);
        missing.saturating_mul(u64::from(self.record_bytes.max(1)))
    }

    /// Applies a record of the feed; `read` decodes a record of the list. Returns the changes.
    ///
    /// # Errors
    /// If the record starts after the known part of the list.
    pub fn apply_feed<F>(&mut self, feed: FeedRecord, read: F) -> Result<Vec<TargetChange>, FeedGap>
    where
        F: Fn(&ListRecord) -> Option<TargetChange>,
    {
        if feed.from > self.through {
            return Err(FeedGap);
        }
        self.published_through = self.published_through.max(feed.through);
        let mut changes = Vec::new();
        if feed.through > self.through {
            let entries = feed.changes.into_iter().map(|record| ListEntry {
                offset: feed.from,
                change: read(&record),
                record,
            });
            changes = self.apply_entries(entries, feed.through);
        }
        self.forget_published();
        Ok(changes)
    }

    /// The next record of the feed, for the case that this VM publishes it. Without changes and
    /// with an empty range if the changes are too large for one record.
    pub fn next_record(&self) -> FeedRecord {
        if self.unpublishable.is_some() {
            return FeedRecord {
                from: self.through,
                through: self.through,
                changes: Vec::new(),
            };
        }
        let changes = self.unpublished.values();
        FeedRecord {
            from: self.published_through,
            through: self.through,
            changes: changes.map(|change| change.record.clone()).collect(),
        }
    }

    /// Records that the feed covers the list up to `through`.
    pub fn mark_published(&mut self, through: LogOffset) {
        self.published_through = self.published_through.max(through);
        self.forget_published();
    }

    fn forget_published(&mut self) {
        let from = self.published_through;
        self.unpublished.retain(|_, change| change.offset >= from);
        self.unpublishable = self.unpublishable.filter(|offset| *offset >= from);
    }
}

/// The memory that a change takes.
fn change_bytes(change: &TargetChange) -> usize {
    let TargetChange::Listed(entry) = change else {
        return ENTRY_BYTES;
    };
    let labels = entry.labels.iter().map(|label| LABEL_BYTES + label.len());
    ENTRY_BYTES + labels.sum::<usize>()
}

/// The most bytes that a change takes in a record of the feed.
fn encoded_bytes(record: &ListRecord) -> usize {
    let text = |text: &str| text.bytes().map(escaped_bytes).sum::<usize>();
    FEED_FRAME_BYTES + text(&record.key) + record.value.as_deref().map_or(0, text)
}

/// The most bytes that a byte takes in a string of JSON.
fn escaped_bytes(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    }
}

/// Whether a change says nothing new: at most that the remaining times of a target have become shorter.
/// If each renewal of the entry counted as a change, the feed would carry all renewals of slow or
/// draining targets.
fn is_expected(latest: &TargetChange, change: &TargetChange) -> bool {
    let (TargetChange::Listed(former), TargetChange::Listed(entry)) = (latest, change) else {
        return latest == change;
    };
    if former == entry {
        return true;
    }
    let cold = (former.cold_remaining, entry.cold_remaining);
    let remaining = (former.remaining, entry.remaining);
    let passes = cold.0 >= cold.1
        && cold.0.is_zero() == cold.1.is_zero()
        && remaining.0 >= remaining.1
        && remaining.0.is_some() == remaining.1.is_some();
    let adjusted = TargetEntry {
        cold_remaining: cold.0,
        remaining: remaining.0,
        ..entry.clone()
    };
    passes && *former == adjusted
}

fn target_name(change: &TargetChange) -> &TargetName {
    match change {
        TargetChange::Listed(entry) => &entry.name,
        TargetChange::Removed(name) | TargetChange::Unreadable(name) => name,
    }
}
