//! Guards against a submission being accepted twice, and against unbounded memory.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::job::rejected_answer;
use filbertpitch_dispatch::submission::{
    ContentDigest, SubmissionSettings, SubmissionStatus, SubmissionTable,
};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

const THIS: IncarnationId = IncarnationId(7);
const CONTENT: ContentDigest = ContentDigest(1);

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
        window: Duration::from_secs(60),
        key_margin: Duration::from_secs(5),
        byte_limit: ByteSize::kib(16),
        epoch_bytes: ByteSize::kib(2),
    };
    SubmissionTable::new(THIS, settings, at(0))
}

fn finish(table: &mut SubmissionTable, submission: &SubmissionId) {
    let answer = rejected_answer(submission.clone(), NotRunReason::Cancelled, None);
    table.finish(Rc::clone(&answer), None);
}

fn is_new(table: &SubmissionTable, submission: &SubmissionId) -> bool {
    matches!(table.lookup(submission), SubmissionStatus::New)
}

#[derive(Clone, Debug)]
enum Step {
    Accept { key: u32, bare: bool },
    Finish { pick: usize },
    Wait { seconds: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..200u32, any::<bool>()).prop_map(|(key, bare)| Step::Accept { key, bare }),
        4 => any::<usize>().prop_map(|pick| Step::Finish { pick }),
        1 => (0..20u64).prop_map(|seconds| Step::Wait { seconds }),
    ];
    prop::collection::vec(step, 1..300)
}

proptest! {
    /// An accepted submission is never new again, whatever is forgotten, while its epoch may
    /// accept submissions or the job is running.
    #[test]
    fn an_accepted_submission_is_never_new_again(steps in steps()) {
        let mut table = small_table();
        let mut now = 0;
        let mut live = Vec::new();
        let mut accepted = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Accept { key, bare: is_bare } => {
                    let submission = match is_bare {
                        true => bare(key),
                        false => prefixed(table.current_epoch(), key),
                    };
                    if is_new(&table, &submission) {
                        table.accept(&submission, JobNumber(number as u64), CONTENT);
                        live.push(submission.clone());
                        accepted.push((now, submission));
                    }
                }
                Step::Finish { pick } if !live.is_empty() => {
                    let submission = live.swap_remove(pick % live.len());
                    finish(&mut table, &submission);
                }
                Step::Finish { .. } => {}
                Step::Wait { seconds } => now += seconds,
            }
            table.advance(at(now));
            for (since, submission) in &accepted {
                // A bare key is refused by its age after the window, at the latest when the margin
                // for clocks that are ahead has passed too.
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

/// Guards against a burst of short jobs closing the epoch of a prefix that was issued seconds ago.
#[test]
fn memory_pressure_forgets_answers_before_it_closes_epochs() {
    let mut table = small_table();
    let first = table.current_epoch();
    for key in 0..200 {
        let submission = prefixed(table.current_epoch(), key);
        table.accept(&submission, JobNumber(u64::from(key)), CONTENT);
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

/// Guards against an epoch that never closes.
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

/// Guards against a second run of a bare key whose client's clock was ahead: the claim table lets
/// it through until its first submission time is older than the window.
#[test]
fn a_bare_key_is_remembered_beyond_the_window() {
    let mut table = small_table();
    // The end of an epoch is the worst case, because keys are dropped with their epoch.
    table.advance(at(9));
    table.accept(&bare(1), JobNumber(0), CONTENT);
    finish(&mut table, &bare(1));
    for second in 9..=9 + 65 {
        table.advance(at(second));
        assert!(!is_new(&table, &bare(1)), "new again after {second} s");
    }
}

/// Guards against jobs that outlive their epoch: each must free its memory when it ends, and must
/// neither become new again nor affect the other running jobs of the epoch.
#[test]
fn a_job_that_ends_after_its_epoch_closed_is_dropped_alone() {
    let mut table = small_table();
    let epoch = table.current_epoch();
    let jobs = (0..3).map(|key| prefixed(epoch, key)).collect::<Vec<_>>();
    for (number, submission) in (0..).zip(&jobs) {
        table.accept(submission, JobNumber(number), CONTENT);
    }
    (0..=80).for_each(|second| table.advance(at(second)));
    for ended in 0..jobs.len() {
        finish(&mut table, &jobs[ended]);
        finish(&mut table, &jobs[ended]);
        assert_eq!(table.len(), jobs.len() - ended - 1);
        for (index, submission) in jobs.iter().enumerate() {
            let verdict = table.lookup(submission);
            let expected = match index <= ended {
                true => matches!(verdict, SubmissionStatus::Expired),
                false => matches!(verdict, SubmissionStatus::Live { .. }),
            };
            assert!(expected, "{submission} is {verdict:?}");
        }
    }
    assert_eq!(table.bytes(), ByteSize(0));
}
