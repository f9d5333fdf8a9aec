//! Guards against followers of the ticket stream that reach different states, go back to an older
//! state, or serve without a state.

mod common;

use common::*;
use filbertpitch_config::event::FollowerEvent;
use filbertpitch_config::fold::ConfigState;
use filbertpitch_config::follower::{LogFollower, ReadStep, TransferOutcome};
use filbertpitch_config::record::{RecordBody, snapshot_body};
use filbertpitch_config::snapshot::SnapshotRecord;
use filbertpitch_types::peer::{RecordTransfer, StateTransfer};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

/// Whether the retained records suffice to rebuild the state.
fn is_recoverable(log: &ModelLog) -> bool {
    log.first == 0
        || log.records[log.first..].iter().any(|record| {
            let RecordBody::Snapshot(snapshot) = RecordBody::parse(&record.body) else {
                return false;
            };
            let next = snapshot.state.next_offset();
            snapshot.verify(Some(record.offset)).is_ok() && next.0 >= log.first as u64
        })
}

fn check_converged(follower: &LogFollower, log: &ModelLog) -> Result<(), TestCaseError> {
    let expected = log.full_fold();
    if is_recoverable(log) {
        prop_assert!(follower.has_state());
        prop_assert_eq!(state_text(follower.state()), state_text(&expected));
        prop_assert_eq!(&*follower.configuration(), &**expected.configuration());
    } else {
        prop_assert!(!follower.has_state());
        prop_assert!(follower.configuration().services.is_empty());
    }
    Ok(())
}

fn mismatches(follower: &mut LogFollower) -> usize {
    let mismatch = |event: &FollowerEvent| matches!(event, FollowerEvent::SnapshotMismatch { .. });
    follower.take_events().filter(mismatch).count()
}

proptest! {
    #[test]
    fn new_reader_rebuilds_the_state_of_the_full_history(
        steps in any_history(40),
        expired in any::<prop::sample::Index>(),
        limit in 1..9u32,
    ) {
        let mut log = build_log(&steps);
        log.first = expired.index(log.records.len() + 1);
        let mut follower = LogFollower::new(small_reads(limit));
        catch_up(&mut follower, &log, &mut TimePoint(0));
        check_converged(&follower, &log)?;
        prop_assert_eq!(mismatches(&mut follower), 0);
    }

    #[test]
    fn reader_converges_from_any_retained_offset(
        steps in any_history(40),
        expired in any::<prop::sample::Index>(),
        start in any::<prop::sample::Index>(),
    ) {
        let mut log = build_log(&steps);
        log.first = expired.index(log.records.len() + 1);
        let start = log.first + start.index(log.records.len() - log.first + 1);
        let mut follower = LogFollower::starting_at(small_reads(3), LogOffset(start as u64));
        catch_up(&mut follower, &log, &mut TimePoint(0));
        check_converged(&follower, &log)?;
    }

    #[test]
    fn reader_behind_the_retention_catches_up_and_never_goes_back(
        steps in any_history(40),
        cuts in prop::collection::vec((0..12usize, 0..12usize, 0..6usize), 1..8),
    ) {
        let full = build_log(&steps);
        let mut log = ModelLog::default();
        let mut follower = LogFollower::new(small_reads(3));
        let mut now = TimePoint(0);
        catch_up(&mut follower, &log, &mut now);
        for (appended, expired, reads) in cuts {
            let end = (log.records.len() + appended).min(full.records.len());
            log.records = full.records[..end].to_vec();
            log.first = (log.first + expired).min(end);
            for _ in 0..reads {
                let before = follower.next_offset();
                read_once(&mut follower, &log, &mut now);
                prop_assert!(follower.next_offset() >= before);
                prop_assert!(follower.has_state());
                let known = fold(&full.records[..follower.next_offset().0 as usize]);
                prop_assert_eq!(&*follower.configuration(), &**known.configuration());
            }
        }
        let ours = follower.next_offset();
        catch_up(&mut follower, &log, &mut now);
        if is_recoverable(&log) || ours.0 >= log.first as u64 {
            prop_assert_eq!(state_text(follower.state()), state_text(&log.full_fold()));
        }
    }

    #[test]
    fn peer_transfers_only_advance_a_reader(
        steps in any_history(30),
        offers in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..8),
    ) {
        let log = build_log(&steps);
        let mut follower = LogFollower::new(small_reads(3));
        for (index, whole) in offers {
            let before = follower.next_offset();
            let end = index.index(log.records.len() + 1);
            let mut peer = LogFollower::new(small_reads(5));
            let known = ModelLog { records: log.records[..end].to_vec(), ..ModelLog::default() };
            catch_up(&mut peer, &known, &mut TimePoint(0));
            let next = peer.next_offset();
            if whole {
                let outcome = follower.on_state(&peer.state_transfer().unwrap());
                prop_assert_eq!(outcome == TransferOutcome::Adopted, next > before);
                prop_assert!(follower.has_state());
            } else {
                let records = peer.record_transfer(before, usize::MAX);
                follower.on_records(&records);
            }
            prop_assert_eq!(follower.next_offset(), next.max(before));
            let known = fold(&log.records[..follower.next_offset().0 as usize]);
            prop_assert_eq!(state_text(follower.state()), state_text(&known));
        }
        catch_up(&mut follower, &log, &mut TimePoint(0));
        prop_assert_eq!(state_text(follower.state()), state_text(&log.full_fold()));
    }

    #[test]
    fn arbitrary_transfers_never_panic(next: u64, snapshot: String, offset: u64) {
        let mut follower = LogFollower::new(small_reads(3));
        let transfer = StateTransfer { next: LogOffset(next), snapshot: snapshot.as_str().into() };
        prop_assert_eq!(follower.on_state(&transfer), TransferOutcome::Unusable);
        let body = snapshot.into();
        let record = filbertpitch_types::platform::LogRecord {
            offset: LogOffset(offset), appended_at: WallTime(0), body,
        };
        follower.on_records(&RecordTransfer { records: vec![record] });
        prop_assert!(!follower.has_state());
    }
}

/// A history with one object per ticket, all accepted.
fn plain_log(tickets: u64) -> ModelLog {
    let mut log = ModelLog::default();
    for number in 1..=tickets {
        log.append(&format!(
            r#"{{"ticket":{{"number":{number},"nonce":"n{number}","author":"o","objects":[{{"team":"m{number}"}}]}}}}"#
        ));
    }
    log
}

#[test]
fn records_before_the_snapshot_record_are_applied() {
    let mut log = plain_log(6);
    let snapshot = SnapshotRecord::take(&fold(&log.records[..4]), log.now);
    log.append(&snapshot_body(&snapshot));
    log.first = 4;
    let mut follower = LogFollower::new(small_reads(256));
    catch_up(&mut follower, &log, &mut TimePoint(0));
    assert_eq!(follower.configuration().teams.len(), 6);
}

#[test]
fn snapshot_that_needs_expired_records_is_not_used() {
    let mut log = plain_log(6);
    let snapshot = SnapshotRecord::take(&fold(&log.records[..4]), log.now);
    log.append(&snapshot_body(&snapshot));
    log.first = 5;
    let mut follower = LogFollower::new(small_reads(256));
    catch_up(&mut follower, &log, &mut TimePoint(0));
    assert!(!follower.has_state());
    let none = |event: &FollowerEvent| matches!(event, FollowerEvent::NoUsableSnapshot { .. });
    assert_eq!(follower.take_events().filter(none).count(), 1);
}

#[test]
fn newest_snapshot_is_taken() {
    let mut log = plain_log(6);
    for taken in [3, 6, 4] {
        let snapshot = SnapshotRecord::take(&fold(&log.records[..taken]), log.now);
        log.append(&snapshot_body(&snapshot));
    }
    log.first = 2;
    let mut follower = LogFollower::new(small_reads(256));
    catch_up(&mut follower, &log, &mut TimePoint(0));
    let installed = FollowerEvent::SnapshotInstalled { next: LogOffset(6) };
    assert!(follower.take_events().any(|event| event == installed));
}

#[test]
fn complete_reader_reports_a_wrong_snapshot_and_keeps_its_state() {
    let mut log = plain_log(4);
    let other = {
        let mut other = plain_log(4);
        other.records[1].body = other.records[1].body.replace("m2", "x2").into();
        SnapshotRecord::take(&fold(&other.records[..3]), other.now)
    };
    log.append(&snapshot_body(&other));
    let mut follower = LogFollower::new(small_reads(256));
    catch_up(&mut follower, &log, &mut TimePoint(0));
    assert_eq!(mismatches(&mut follower), 1);
    assert_eq!(state_text(follower.state()), state_text(&log.full_fold()));
}

#[test]
fn reader_serves_only_at_the_end_of_the_log() {
    let log = plain_log(6);
    let mut follower = LogFollower::new(small_reads(4));
    let mut now = TimePoint(0);
    read_once(&mut follower, &log, &mut now);
    assert!(!follower.has_state() && follower.configuration().teams.is_empty());
    assert!(follower.state_transfer().is_none());
    read_once(&mut follower, &log, &mut now);
    assert!(follower.has_state());
    assert_eq!(follower.configuration().teams.len(), 6);
}

#[test]
fn failed_reads_are_retried_with_backoff_while_the_read_age_grows() {
    let mut follower = LogFollower::new(small_reads(4));
    let mut now = TimePoint(0);
    assert_eq!(follower.read_age(now), None);
    read_once(&mut follower, &plain_log(1), &mut now);
    let read_at = now;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        assert!(matches!(follower.next_read(now), ReadStep::Read(_)));
        assert_eq!(follower.next_read(now), ReadStep::InFlight);
        follower.on_read_failed(now);
        let ReadStep::NotBefore(due) = follower.next_read(now) else {
            panic!("no pause");
        };
        pauses.push(due.since(now).as_millis());
        now = due;
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1000, 1000]);
    assert_eq!(follower.read_age(now), Some(now.since(read_at)));
    assert!(follower.has_state());
}

#[test]
fn log_that_does_not_wait_is_not_read_in_a_tight_loop() {
    let mut follower = LogFollower::new(small_reads(4));
    let mut now = TimePoint(0);
    read_once(&mut follower, &ModelLog::default(), &mut now);
    assert!(matches!(follower.next_read(now), ReadStep::NotBefore(_)));
}

#[test]
fn invalid_peer_state_is_rejected() {
    let state = plain_log(2).full_fold();
    let text = state_text(&state).replace(r#""team/m1":1,"#, "");
    let state = serde_json::from_str::<ConfigState>(&text).unwrap();
    let snapshot = snapshot_body(&SnapshotRecord::take(&state, WallTime(0)));
    let mut follower = LogFollower::new(small_reads(4));
    let transfer = StateTransfer {
        next: LogOffset(2),
        snapshot,
    };
    assert_eq!(follower.on_state(&transfer), TransferOutcome::Unusable);
}
