//! Guards the behaviour of the log service and the VM list that the dispatcher must tolerate.

use std::time::Duration;

use crate::support::clock;
use filbertpitch_standins::log_model::{AppendResult, LogModel, LogSettings, ReadResult};
use filbertpitch_standins::vm_model::{ListUnavailable, VmChange, VmModel};
use filbertpitch_types::platform::{ReadAnswer, VmEntry, VmRole, VmState};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use test_case::test_case;

const STREAM: &str = "tickets";

fn log() -> LogModel {
    LogModel::new(LogSettings {
        append_rate: 100,
        ..LogSettings::default()
    })
}

fn append(model: &mut LogModel, millis: u64, body: &str) -> AppendResult {
    model.append(clock(millis), STREAM, body.into())
}

fn read(model: &mut LogModel, millis: u64, from: u64) -> ReadAnswer {
    match model.read(clock(millis), STREAM, LogOffset(from), 100) {
        ReadResult::Records(answer) => answer,
        other => panic!("no records: {other:?}"),
    }
}

/// A record that is visible before its synced write would be lost by a crash of the log.
#[test]
fn record_becomes_visible_with_its_answer() {
    let mut model = log();
    let at = clock(5).time;
    let offset = LogOffset(0);
    assert_eq!(
        append(&mut model, 0, "a"),
        AppendResult::Stored { offset, at }
    );
    assert!(read(&mut model, 4, 0).records.is_empty());
    assert_eq!(model.next_visible(STREAM, LogOffset(0)), Some(at));
    let answer = read(&mut model, 5, 0);
    assert_eq!(&*answer.records[0].body, "a");
    assert_eq!(answer.next, LogOffset(1));
    assert_eq!(model.next_visible(STREAM, LogOffset(1)), None);
}

/// An unlimited append rate would hide that appends must be batched.
#[test]
fn append_rate_is_limited() {
    let mut model = log();
    let results = (0..200)
        .map(|_| append(&mut model, 0, "a"))
        .collect::<Vec<_>>();
    let stored = results
        .iter()
        .filter(|result| matches!(result, AppendResult::Stored { .. }));
    assert_eq!(stored.count(), 101);
    assert_eq!(results[101], AppendResult::Throttled);
    assert_eq!(read(&mut model, 505, 0).next, LogOffset(51));
}

/// The caller gets no answer although the record is there, so a blind retry would duplicate it.
#[test]
fn append_whose_answer_is_lost_takes_effect() {
    let mut model = log();
    model.lose_answers(1);
    let lost = append(&mut model, 0, "a");
    assert!(matches!(lost, AppendResult::AnswerLost { .. }));
    assert!(matches!(
        append(&mut model, 0, "b"),
        AppendResult::Stored { .. }
    ));
    assert_eq!(read(&mut model, 100, 0).records.len(), 2);
}

/// Seeded losses must be reproducible and close to the requested share.
#[test]
fn lost_answers_follow_the_seed() {
    let lost = || {
        let mut model = log();
        model.set_lost_answer_probability(0.3);
        let results = (0..1_000).map(|index| append(&mut model, index * 10, "a"));
        let lost = results.map(|result| matches!(result, AppendResult::AnswerLost { .. }));
        lost.collect::<Vec<_>>()
    };
    assert_eq!(lost(), lost());
    let count = lost().into_iter().filter(|&lost| lost).count();
    assert!((200..400).contains(&count), "{count}");
}

/// A reader behind the retention must learn that records are missing.
#[test]
fn records_are_kept_for_the_retention() {
    let mut model = log();
    model.set_retention(Duration::from_secs(60));
    append(&mut model, 0, "a");
    append(&mut model, 30_000, "b");
    assert_eq!(read(&mut model, 60_004, 0).records.len(), 2);
    let gone = model.read(clock(60_005), STREAM, LogOffset(0), 100);
    let ReadResult::Gone(answer) = gone else {
        panic!("not gone: {gone:?}");
    };
    assert_eq!((answer.first, answer.next), (LogOffset(1), LogOffset(2)));
    assert!(answer.records.is_empty());
    assert_eq!(read(&mut model, 120_000, 2).next, LogOffset(2));
    append(&mut model, 120_000, "c");
    assert_eq!(read(&mut model, 120_010, 2).records[0].offset, LogOffset(2));
}

/// An outage must not lose what was accepted before it.
#[test]
fn outage_refuses_reads_and_appends() {
    let mut model = log();
    append(&mut model, 0, "a");
    model.set_outage(true);
    assert_eq!(append(&mut model, 10, "b"), AppendResult::Unavailable);
    let refused = model.read(clock(10), STREAM, LogOffset(0), 100);
    assert_eq!(refused, ReadResult::Unavailable);
    model.set_outage(false);
    assert_eq!(read(&mut model, 20, 0).records.len(), 1);
}

/// Slow mode must delay the effect together with the answer.
#[test]
fn slow_mode_delays_appends() {
    let mut model = log();
    model.set_slow(true);
    append(&mut model, 0, "a");
    assert!(read(&mut model, 1_999, 0).records.is_empty());
    assert_eq!(read(&mut model, 2_000, 0).records.len(), 1);
}

proptest! {
    /// Offsets without gaps and records in order, also when the latency changes: the order of the
    /// log decides conflicts between operators.
    #[test]
    fn visible_records_form_a_growing_prefix(
        steps in prop::collection::vec((0..50u64, any::<bool>()), 1..100),
    ) {
        let mut model = log();
        let mut millis = 0;
        let mut seen = Vec::new();
        for (pause, slow) in steps {
            millis += pause;
            model.set_slow(slow);
            append(&mut model, millis, &millis.to_string());
            let answer = read(&mut model, millis, 0);
            prop_assert!(answer.records.starts_with(&seen));
            let offsets = answer.records.iter().map(|record| record.offset.0);
            prop_assert!(offsets.eq(0..answer.records.len() as u64));
            seen = answer.records;
        }
    }
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.parse().unwrap(),
        address: "127.0.0.1:7300".parse().unwrap(),
        zone: "itahari".parse().unwrap(),
        role: VmRole::Target,
        state: VmState::Live,
    }
}

/// The dispatcher must cope with a list that shows a change late.
#[test_case(VmChange::MarkLeaving("a".parse().unwrap()), &[("a", VmState::Leaving)]; "leaving")]
#[test_case(VmChange::Remove("a".parse().unwrap()), &[]; "removed")]
#[test_case(VmChange::Add(vm("b")), &[("a", VmState::Live), ("b", VmState::Live)]; "added")]
fn change_is_visible_after_the_lag(change: VmChange, expected: &[(&str, VmState)]) {
    let mut model = VmModel::new(vec![vm("a")], Duration::from_secs(2));
    model.change(clock(0).time, change);
    let before = model.list(clock(1_999).time).unwrap();
    assert_eq!(before.vms, [vm("a")]);
    let after = model.list(clock(2_000).time).unwrap();
    let states = after.vms.iter().map(|vm| (vm.name.as_str(), vm.state));
    assert!(states.eq(expected.iter().copied()));
}

/// Changes made during an outage must appear after it.
#[test]
fn outage_hides_the_list() {
    let mut model = VmModel::new(vec![vm("a")], Duration::ZERO);
    model.set_outage(true);
    model.change(clock(0).time, VmChange::Remove("a".parse().unwrap()));
    assert_eq!(model.list(clock(10).time), Err(ListUnavailable));
    model.set_outage(false);
    assert!(model.list(clock(20).time).unwrap().vms.is_empty());
}
