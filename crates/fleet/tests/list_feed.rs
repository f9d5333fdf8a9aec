//! The feed of changes in the list of targets: what VMs know after gaps, races and restarts.

use std::collections::BTreeMap;

use filbertpitch_fleet::listing::{FeedGap, ListEntry, ListFollower};
use filbertpitch_types::fleet::{FeedRecord, ListRecord, TargetChange};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

/// In these tests a value says nothing but whether it can be read.
fn read(record: &ListRecord) -> Option<TargetChange> {
    let name = record.key.parse::<TargetName>().ok()?;
    Some(match record.value.as_deref() {
        None => TargetChange::Removed(name),
        Some(_) => TargetChange::Unreadable(name),
    })
}

fn entry(offset: u64, key: &str, value: Option<u8>) -> ListEntry {
    let record = ListRecord {
        key: key.into(),
        value: value.map(|value| value.to_string().into()),
    };
    ListEntry {
        offset: LogOffset(offset),
        notice: read(&record),
        record,
    }
}

fn removed(name: &str) -> TargetChange {
    TargetChange::Removed(name.parse().unwrap())
}

fn started(keys: &[&str], through: u64) -> ListFollower {
    let mut follower = ListFollower::default();
    let entries = keys.iter().enumerate();
    let entries = entries.map(|(offset, key)| entry(offset as u64, key, Some(1)));
    let notices = follower.take_list(entries.collect(), LogOffset(through));
    assert_eq!(notices.len(), keys.len());
    follower
}

/// Guards against bytes that grow with VMs and targets: renewals are not published.
#[test]
fn renewals_are_no_changes() {
    let mut follower = started(&["a", "b"], 2);
    let renewals = vec![entry(2, "a", Some(1)), entry(3, "b", Some(1))];
    assert!(follower.take_changes(renewals, LogOffset(4)).is_empty());
    let record = follower.next_record();
    assert_eq!(record.changes, []);
    assert_eq!((record.from, record.through), (LogOffset(2), LogOffset(4)));
}

/// Guards against a target that has left and is used again.
#[test]
fn a_removal_reaches_those_who_follow_the_feed() {
    let mut writer = started(&["a", "b"], 2);
    let mut reader = started(&["a", "b"], 2);
    writer.take_changes(vec![entry(2, "a", None)], LogOffset(3));
    let record = writer.next_record();
    assert_eq!(reader.take_feed(record, read), Ok(vec![removed("a")]));
    assert_eq!(reader.through(), LogOffset(3));
}

/// Guards against a late record of the feed that brings back what a later part of the list has changed.
#[test]
fn an_old_record_changes_nothing() {
    let mut reader = started(&["a"], 1);
    reader.take_changes(vec![entry(1, "a", None)], LogOffset(2));
    let old = FeedRecord {
        from: LogOffset(0),
        through: LogOffset(1),
        changes: vec![entry(0, "a", Some(1)).record],
    };
    assert_eq!(reader.take_feed(old, read), Ok(vec![]));
    let record = reader.next_record();
    assert_eq!(record.changes, [entry(1, "a", None).record]);
}

#[test]
fn a_gap_is_noticed() {
    let mut reader = started(&["a"], 1);
    let later = FeedRecord {
        from: LogOffset(5),
        through: LogOffset(6),
        changes: vec![],
    };
    assert_eq!(reader.take_feed(later, read), Err(FeedGap));
}

/// The store has dropped the records between. Guards against targets that went meanwhile.
#[test]
fn a_list_that_is_read_anew_removes_what_it_lacks() {
    let mut writer = started(&["a", "b"], 2);
    let notices = writer.take_list(vec![entry(7, "b", Some(1))], LogOffset(8));
    assert_eq!(notices, [removed("a")]);
    let mut reader = started(&["a", "b"], 2);
    let notices = reader.take_feed(writer.next_record(), read);
    assert_eq!(notices, Ok(vec![removed("a")]));
}

#[test]
fn what_was_published_is_not_published_again() {
    let mut writer = started(&["a"], 1);
    writer.take_changes(vec![entry(1, "a", None)], LogOffset(2));
    let record = writer.next_record();
    writer.take_changes(vec![entry(2, "b", Some(1))], LogOffset(3));
    writer.published(record.through);
    let next = writer.next_record();
    assert_eq!(next.from, record.through);
    assert_eq!(next.changes, [entry(2, "b", Some(1)).record]);
}

/// All targets are listed anew, for example after the store was away. Guards against a record that the
/// platform refuses for its size, again and again at each VM.
#[test]
fn changes_that_fit_no_record_are_read_from_the_list() {
    let mut writer = started(&["a"], 1);
    let mut reader = started(&["a"], 1);
    let entries = (0..1100_u64).map(|target| {
        let mut entry = entry(target + 1, &format!("target-{target}"), Some(1));
        entry.record.value = Some("x".repeat(250).into());
        entry
    });
    let entries = entries.collect::<Vec<_>>();
    writer.take_changes(entries.clone(), LogOffset(1101));
    let record = writer.next_record();
    assert_eq!(record.changes, []);
    assert_eq!(reader.take_feed(record.clone(), read), Err(FeedGap));
    reader.take_changes(entries, LogOffset(1101));
    assert_eq!(reader.take_feed(record.clone(), read), Ok(vec![]));
    writer.published(record.through);
    assert_eq!(writer.next_record(), record);
}

proptest! {
    /// Several VMs read the list and the feed in any order, and publish when they have read the feed to its
    /// end. Guards against a VM whose knowledge differs from the list.
    #[test]
    fn all_vms_know_the_same(
        changes in prop::collection::vec((0_usize..4, any::<bool>()), 1..40),
        turns in prop::collection::vec((0_usize..3, 0_u8..4, 0_usize..41), 1..120),
    ) {
        let keys = ["a", "b", "c", "d"];
        let list = changes.iter().enumerate().map(|(offset, (key, there))| {
            entry(offset as u64, keys[*key], there.then_some(1))
        });
        let list = list.collect::<Vec<_>>();
        let mut vms = [(); 3].map(|()| (ListFollower::default(), 0_usize, BTreeMap::new()));
        let mut feed = Vec::<FeedRecord>::new();
        let mut grown = 0;
        let last = (0..3).flat_map(|vm| [(vm, 1, list.len()), (vm, 0, list.len())]);
        for (vm, turn, length) in turns.into_iter().chain(last) {
            grown = grown.max(length.min(list.len()));
            let (follower, read_to, known) = &mut vms[vm];
            let mut notices = Vec::new();
            let from = usize::try_from(follower.through().0).unwrap();
            match turn {
                0 => {
                    let news = list[from..grown].to_vec();
                    notices = follower.take_changes(news, LogOffset(grown as u64));
                }
                1 => {
                    for record in &feed[*read_to..] {
                        if let Ok(more) = follower.take_feed(record.clone(), read) {
                            notices.extend(more);
                        }
                    }
                    *read_to = feed.len();
                }
                2 if *read_to == feed.len() => {
                    let record = follower.next_record();
                    follower.published(record.through);
                    feed.push(record);
                    *read_to = feed.len();
                }
                _ => {}
            }
            for notice in notices {
                let (name, there) = match notice {
                    TargetChange::Removed(name) => (name, false),
                    TargetChange::Unreadable(name) => (name, true),
                    TargetChange::Listed(entry) => (entry.name, true),
                };
                known.insert(name.as_str().to_owned(), there);
            }
        }
        let mut expected = BTreeMap::new();
        for (key, there) in &changes {
            expected.insert(keys[*key].to_owned(), *there);
        }
        for (follower, _, known) in vms {
            prop_assert_eq!(follower.through(), LogOffset(list.len() as u64));
            prop_assert_eq!(&known, &expected);
        }
    }
}
