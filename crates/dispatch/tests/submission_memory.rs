//! Guards against a submission that is accepted twice, and against unbounded memory.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::job::rejected_answer;
use filbertpitch_dispatch::submission::{
    RequestDigest, SubmissionSettings, SubmissionStatus, SubmissionTable,
};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

const THIS: IncarnationId = IncarnationId(7);
const DIGEST: RequestDigest = RequestDigest(1);

fn at(seconds: u64) -> TimePoint {
    TimePoint(seconds * 1_000_000)
}

fn prefixed(epoch: EpochNumber, key: u32) -> SubmissionId {
    SubmissionId::Prefixed {
        prefix: OwnerPrefix {
            zone: "dharan".parse().unwrap(),
            address: ([127, 0, 0, 1], 7000).into(),
            incarnation: THIS,
            epoch,
        },
        key: format!("key-{key}").into(),
    }
}

fn bare(key: u32) -> SubmissionId {
    SubmissionId::Bare {
        key: format!("key-{key}").into(),
        first_submitted: WallTime(5),
    }
}

fn small_table() -> SubmissionTable {
    let settings = SubmissionSettings {
        epoch_length: Duration::from_secs(10),
        acceptance_window: Duration::from_secs(60),
        bare_key_margin: Duration::from_secs(5),
        byte_limit: ByteSize::kib(16),
        epoch_byte_limit: ByteSize::kib(2),
    };
    SubmissionTable::new(THIS, settings, at(0))
}

fn finish(table: &mut SubmissionTable, submission: &SubmissionId) {
    let answer = rejected_answer(submission.clone(), NotRunReason::Cancelled, None);
    table.record_answer(Rc::clone(&answer), None);
}

fn is_new(table: &SubmissionTable, submission: &SubmissionId) -> bool {
    matches!(table.lookup(submission), SubmissionStatus::New)
}

#[derive(Clone, Debug)]
enum SubmissionStep {
    Accept { key: u32, bare: bool },
    Finish { pick: usize },
    Wait { seconds: u64 },
}

fn steps() -> impl Strategy<Value = Vec<SubmissionStep>> {
    let step = prop_oneof![
        4 => (0..200u32, any::<bool>()).prop_map(|(key, bare)| SubmissionStep::Accept { key, bare }),
        4 => any::<usize>().prop_map(|pick| SubmissionStep::Finish { pick }),
        1 => (0..20u64).prop_map(|seconds| SubmissionStep::Wait { seconds }),
    ];
    prop::collection::vec(step, 1..300)
}

proptest! {
    /// Guards against an accepted submission that is taken for a new one after its answer was
    /// evicted. A submission with a prefix must never be new again, and a bare key must not be new
    /// again while the claim table may accept the key. Also guards against memory beyond the limit.
    #[test]
    fn an_accepted_submission_is_never_new_again(steps in steps()) {
        let mut table = small_table();
        let mut now = 0;
        let mut live = Vec::new();
        let mut accepted = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                SubmissionStep::Accept { key, bare: is_bare } => {
                    let submission = match is_bare {
                        true => bare(key),
                        false => prefixed(table.current_epoch(), key),
                    };
                    if is_new(&table, &submission) {
                        table.accept(&submission, JobNumber(number as u64), DIGEST);
                        live.push(submission.clone());
                        accepted.push((now, submission));
                    }
                }
                SubmissionStep::Finish { pick } if !live.is_empty() => {
                    let submission = live.swap_remove(pick % live.len());
                    finish(&mut table, &submission);
                }
                SubmissionStep::Finish { .. } => {}
                SubmissionStep::Wait { seconds } => now += seconds,
            }
            table.advance(at(now));
            for (since, submission) in &accepted {
                // The claim table rejects a bare key by its age, at the latest after the window and
                // the margin for clients whose clocks are ahead.
                let claimable = submission.prefix().is_some() || now - since <= 65;
                prop_assert!(!claimable || !is_new(&table, submission));
            }
            for submission in &live {
                let is_live = matches!(table.lookup(submission), SubmissionStatus::Live { .. });
                prop_assert!(is_live);
            }
        }
        for submission in live.drain(..) {
            finish(&mut table, &submission);
        }
        table.advance(at(now));
        prop_assert!(table.bytes() <= ByteSize::kib(16) + ByteSize::kib(4));
    }
}

/// Guards against a burst of short jobs that closes the epoch of a prefix issued seconds ago.
#[test]
fn memory_limit_evicts_answers_before_it_closes_epochs() {
    let mut table = small_table();
    let first = table.current_epoch();
    for key in 0..200 {
        let submission = prefixed(table.current_epoch(), key);
        table.accept(&submission, JobNumber(u64::from(key)), DIGEST);
        finish(&mut table, &submission);
        table.advance(at(1));
    }
    assert!(is_new(&table, &prefixed(first, 1000)));
    let oldest = table.lookup(&prefixed(first, 0));
    assert!(matches!(oldest, SubmissionStatus::Expired));
    let newest = table.lookup(&prefixed(table.current_epoch(), 199));
    assert!(matches!(
        newest,
        SubmissionStatus::Finished { .. } | SubmissionStatus::New
    ));
}

/// Guards against an epoch that stays open beyond its window, or is closed within it.
#[test]
fn an_epoch_closes_after_its_window() {
    let mut table = small_table();
    let first = table.current_epoch();
    for second in 0..=70 {
        assert_eq!(is_new(&table, &prefixed(first, 1)), second <= 70);
        table.advance(at(second));
    }
    let late = table.lookup(&prefixed(first, 1));
    assert!(matches!(late, SubmissionStatus::Expired));
}

/// Guards against a second run of a bare key whose client's clock was ahead. The claim table
/// accepts such a key until the key's first submission time is older than the window. By then, more
/// time than the window has passed since the key arrived.
#[test]
fn a_bare_key_is_kept_beyond_the_window() {
    let mut table = small_table();
    // A key that arrives at the end of an epoch is kept for the shortest time, because keys are
    // dropped with their epoch.
    table.advance(at(9));
    table.accept(&bare(1), JobNumber(0), DIGEST);
    finish(&mut table, &bare(1));
    for second in 9..=9 + 65 {
        table.advance(at(second));
        assert!(!is_new(&table, &bare(1)), "new again after {second} s");
    }
}

/// Guards against jobs that end after their epoch was closed and keep their memory, become new
/// again or remove the other running jobs of the epoch.
#[test]
fn a_job_that_ends_after_its_epoch_closed_is_dropped_alone() {
    let mut table = small_table();
    let epoch = table.current_epoch();
    let jobs = (0..3).map(|key| prefixed(epoch, key)).collect::<Vec<_>>();
    for (number, submission) in (0..).zip(&jobs) {
        table.accept(submission, JobNumber(number), DIGEST);
    }
    (0..=80).for_each(|second| table.advance(at(second)));
    for ended in 0..jobs.len() {
        finish(&mut table, &jobs[ended]);
        finish(&mut table, &jobs[ended]);
        assert_eq!(table.len(), jobs.len() - ended - 1);
        for (index, submission) in jobs.iter().enumerate() {
            let status = table.lookup(submission);
            let expected = match index <= ended {
                true => matches!(status, SubmissionStatus::Expired),
                false => matches!(status, SubmissionStatus::Live { .. }),
            };
            assert!(expected, "{submission} is {status:?}");
        }
    }
    assert_eq!(table.bytes(), ByteSize(0));
}
