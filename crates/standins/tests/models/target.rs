//! Guards the target protocol that the dispatcher's at-most-once rules depend on.

use std::time::Duration;

use crate::support::{attempt, attempts, check, clock, start, target};
use filbertpitch_standins::audit::{DoubledReason, audit_starts};
use filbertpitch_standins::plan::expected_output;
use filbertpitch_standins::target_model::{
    EndedAttempt, Reachability, StartReply, TargetFault, TargetModel,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, AttemptState, RefusalReason};
use proptest::prelude::*;
use test_case::test_case;

fn done(input: &str, run_ms: u64) -> AttemptOutcome {
    AttemptOutcome::Done {
        output: expected_output(input),
        run_time: Duration::from_millis(run_ms),
    }
}

fn verdict(reply: StartReply) -> AttemptOutcome {
    match reply {
        StartReply::Now(answer) => answer.verdict,
        StartReply::WhenEnded => panic!("the attempt is running"),
    }
}

fn refused(reason: RefusalReason) -> AttemptOutcome {
    AttemptOutcome::Refused { reason }
}

fn ended(model: &mut TargetModel, millis: u64) -> Vec<EndedAttempt> {
    model.advance(clock(millis));
    model.take_ended()
}

fn state(model: &mut TargetModel, millis: u64, attempt: AttemptId) -> AttemptState {
    let answer = model.check(clock(millis), &check(&[attempt], 0));
    answer.reports[0].state.clone()
}

/// A second run would break "at most once"; the repeated start must share the first run.
#[test]
fn repeated_start_joins_the_run_and_then_gets_the_stored_result() {
    let mut model = target();
    let request = start(attempt(1, 0), "run=50ms", 10_000);
    assert_eq!(model.start(clock(0), &request), StartReply::WhenEnded);
    assert_eq!(model.start(clock(20), &request), StartReply::WhenEnded);
    assert!(ended(&mut model, 49).is_empty());
    let first = ended(&mut model, 50);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].verdict, done("run=50ms", 50));
    let repeated = verdict(model.start(clock(100), &request));
    assert_eq!(repeated, done("run=50ms", 50));
    assert_eq!(model.ledger().entries().len(), 1);
}

/// A start that arrives after the stop must not run.
#[test]
fn stop_fences_an_attempt_that_was_never_received() {
    let mut model = target();
    let answer = model.stop(clock(0), &attempts(&[attempt(1, 0)]));
    let fenced = refused(RefusalReason::Fenced);
    assert_eq!(answer.reports[0].state, AttemptState::Ended(fenced.clone()));
    let late = model.start(clock(10), &start(attempt(1, 0), "run=1ms", 10_000));
    assert_eq!(verdict(late), fenced);
    assert!(model.ledger().entries().is_empty());
}

/// A fence that is forgotten early would let a delayed start run.
#[test_case(599_999, true; "kept for ten minutes")]
#[test_case(600_101, false; "forgotten afterwards")]
fn fence_is_kept_for_the_memory_period(millis: u64, kept: bool) {
    let mut model = target();
    model.stop(clock(0), &attempts(&[attempt(1, 0)]));
    let reply = model.start(clock(millis), &start(attempt(1, 0), "run=1ms", 700_000));
    assert_eq!(reply != StartReply::WhenEnded, kept);
}

/// A stopped run must end for the request that waits for it.
#[test]
fn stop_ends_a_running_attempt() {
    let mut model = target();
    model.start(clock(0), &start(attempt(1, 0), "run=5s", 10_000));
    let answer = model.stop(clock(100), &attempts(&[attempt(1, 0)]));
    let stopped = AttemptState::Ended(AttemptOutcome::Stopped);
    assert_eq!(answer.reports[0].state, stopped);
    assert_eq!(answer.load.running, 0);
    assert_eq!(model.take_ended()[0].verdict, AttemptOutcome::Stopped);
}

/// A target that ignores the lease would overlap with the retry elsewhere.
#[test]
fn lease_ends_the_attempt_unless_a_check_renews_it() {
    let mut model = target();
    model.start(clock(0), &start(attempt(1, 0), "run=5s", 1_000));
    model.start(clock(0), &start(attempt(2, 0), "run=5s", 1_000));
    model.check(clock(500), &check(&[attempt(1, 0)], 2_000));
    let lapsed = ended(&mut model, 1_000);
    assert_eq!(lapsed.len(), 1);
    assert_eq!(lapsed[0].attempt, attempt(2, 0));
    assert_eq!(lapsed[0].verdict, AttemptOutcome::LeaseExpired);
    assert!(ended(&mut model, 1_999).is_empty());
    assert_eq!(ended(&mut model, 2_000)[0].attempt, attempt(1, 0));
}

/// A check by a VM that does not hold the lease must not extend the run.
#[test]
fn check_of_another_holder_does_not_renew() {
    let mut model = target();
    model.start(clock(0), &start(attempt(1, 0), "run=5s", 1_000));
    let mut request = check(&[attempt(1, 0)], 9_000);
    request.holder = IncarnationId(8);
    model.check(clock(500), &request);
    assert_eq!(
        ended(&mut model, 1_000)[0].verdict,
        AttemptOutcome::LeaseExpired
    );
}

/// Refusals must name the reason on which the dispatcher bases its next step.
#[test_case("orders", "quote", 0, false, RefusalReason::Expired; "lease ran out")]
#[test_case("orders", "quote", 9_000, true, RefusalReason::Leaving; "leaving")]
#[test_case("orders", "unknown", 9_000, false, RefusalReason::UnknownKind; "unknown kind")]
#[test_case("unknown", "quote", 9_000, false, RefusalReason::UnknownKind; "unknown service")]
fn start_is_refused(service: &str, kind: &str, lease: u64, leaving: bool, reason: RefusalReason) {
    let mut model = target();
    if leaving {
        model.inject(clock(0), TargetFault::Leave);
    }
    let mut request = start(attempt(1, 0), "run=1ms", lease);
    request.service = service.parse().unwrap();
    request.kind = kind.parse().unwrap();
    assert_eq!(verdict(model.start(clock(10), &request)), refused(reason));
    model.inject(clock(20), TargetFault::Stay);
    request.lease_until = clock(9_000).wall;
    let repeated = model.start(clock(30), &request);
    assert_eq!(verdict(repeated), refused(reason));
}

/// A throttled run that kept its slot would still block short work.
#[test]
fn throttle_frees_the_slot_and_continues_at_a_quarter_of_the_speed() {
    let mut model = target();
    for job in 0..8 {
        model.start(clock(0), &start(attempt(job, 0), "run=1s", 60_000));
    }
    let extra = start(attempt(8, 0), "run=1s", 60_000);
    let busy = verdict(model.start(clock(0), &extra));
    assert_eq!(busy, refused(RefusalReason::Busy));
    let answer = model.throttle(clock(500), &attempts(&[attempt(0, 0)]));
    assert_eq!((answer.load.running, answer.load.throttled), (7, 1));
    let retry = start(attempt(8, 1), "run=1s", 60_000);
    assert_eq!(model.start(clock(500), &retry), StartReply::WhenEnded);
    assert_eq!(ended(&mut model, 2_499).len(), 8);
    let parked = ended(&mut model, 2_500);
    assert_eq!(parked[0].attempt, attempt(0, 0));
    assert_eq!(parked[0].verdict, done("run=1s", 2_500));
}

/// Lost progress would make a resumed run as long as a fresh one.
#[test]
fn checkpoint_carries_progress_to_another_target() {
    let (mut first, mut second) = (target(), target());
    first.start(clock(0), &start(attempt(1, 0), "run=1s once", 60_000));
    let answer = first.checkpoint(clock(700), &attempts(&[attempt(1, 0)]));
    let AttemptState::Ended(AttemptOutcome::Checkpointed { token }) = &answer.reports[0].state
    else {
        panic!("no checkpoint: {answer:?}");
    };
    let mut resume = start(attempt(1, 1), "run=1s once", 60_000);
    resume.resume_from = Some(token.clone());
    second.start(clock(1_000), &resume);
    assert!(ended(&mut second, 1_299).is_empty());
    assert_eq!(
        ended(&mut second, 1_300)[0].verdict,
        done("run=1s once", 300)
    );
    let entries = first
        .ledger()
        .entries()
        .iter()
        .chain(second.ledger().entries());
    assert!(audit_starts(entries.copied()).doubled.is_empty());
}

/// A frozen holder must not complete work whose lease ran out meanwhile.
#[test]
fn freeze_stops_progress_and_leases_run_on() {
    let mut model = target();
    model.start(clock(0), &start(attempt(1, 0), "run=100ms", 1_000));
    model.start(clock(0), &start(attempt(2, 0), "run=100ms", 5_000));
    model.inject(clock(50), TargetFault::Freeze);
    assert_eq!(model.next_due(), None);
    assert!(ended(&mut model, 1_500).is_empty());
    model.inject(clock(2_000), TargetFault::Thaw);
    let lapsed = model.take_ended();
    assert_eq!(lapsed.len(), 1);
    assert_eq!(lapsed[0].verdict, AttemptOutcome::LeaseExpired);
    assert!(ended(&mut model, 2_049).is_empty());
    assert_eq!(ended(&mut model, 2_050)[0].attempt, attempt(2, 0));
}

/// A restarted target knows nothing, but the ledger must still show the earlier start.
#[test]
fn restart_forgets_attempts_but_not_the_ledger() {
    let mut model = target();
    let request = start(attempt(1, 0), "run=1s", 60_000);
    model.start(clock(0), &request);
    model.inject(clock(10), TargetFault::Die);
    assert_eq!(model.reachability(), Reachability::Dead);
    model.inject(clock(20), TargetFault::Restart);
    assert_eq!(state(&mut model, 30, attempt(1, 0)), AttemptState::Unknown);
    model.start(clock(40), &request);
    let audit = audit_starts(model.ledger().entries().iter().copied());
    assert_eq!(audit.starts, 2);
    assert_eq!(audit.doubled[0].reason, DoubledReason::SameAttempt);
}

/// Stragglers must also slow down runs that started before.
#[test]
fn straggle_slows_running_attempts() {
    let mut model = target();
    model.start(clock(0), &start(attempt(1, 0), "run=100ms", 60_000));
    model.inject(clock(50), TargetFault::Straggle { factor: 10 });
    assert!(ended(&mut model, 549).is_empty());
    assert_eq!(ended(&mut model, 550)[0].verdict, done("run=100ms", 550));
}

/// A target that fails everything must answer fast, as the ejection of targets assumes.
#[test]
fn fail_fast_fails_after_a_millisecond() {
    let mut model = target();
    model.inject(clock(0), TargetFault::FailFast { enabled: true });
    model.start(clock(0), &start(attempt(1, 0), "run=10s", 60_000));
    let failed = ended(&mut model, 1);
    assert!(matches!(failed[0].verdict, AttemptOutcome::Failed { .. }));
}

/// An audit that misses a fault would let doubled runs pass.
#[test_case("run=10ms once", (1, 0), (1, 1), 100, Some(DoubledReason::NotRepeatable))]
#[test_case("run=10ms", (1, 0), (1, 1), 100, None; "repeated after its end")]
#[test_case("run=10ms", (1, 0), (1, 1), 5, Some(DoubledReason::Overlap); "overlap")]
#[test_case("run=10ms key=a.0", (1, 0), (2, 0), 100, Some(DoubledReason::TwoOwners); "two jobs")]
#[test_case("run=10ms once", (1, 0), (2, 0), 100, None; "different tasks")]
fn audit_finds_doubled_starts(
    input: &str,
    first: (u64, u8),
    second: (u64, u8),
    after: u64,
    expected: Option<DoubledReason>,
) {
    let (mut one, mut two) = (target(), target());
    one.start(clock(0), &start(attempt(first.0, first.1), input, 60_000));
    one.advance(clock(10));
    two.start(
        clock(after),
        &start(attempt(second.0, second.1), input, 60_000),
    );
    let entries = one.ledger().entries().iter().chain(two.ledger().entries());
    let audit = audit_starts(entries.copied());
    assert_eq!(
        audit.doubled.first().map(|doubled| doubled.reason),
        expected
    );
}

/// One step of the random protocol test.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start(u64),
    Check(u64),
    Stop(u64),
    Throttle(u64),
    Checkpoint(u64),
    Straggle(u32),
    Freeze,
    Thaw,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..20u64).prop_map(Step::Start),
        2 => (0..20u64).prop_map(Step::Check),
        1 => (0..20u64).prop_map(Step::Stop),
        1 => (0..20u64).prop_map(Step::Throttle),
        1 => (0..20u64).prop_map(Step::Checkpoint),
        1 => (1..20u32).prop_map(Step::Straggle),
        1 => Just(Step::Freeze),
        2 => Just(Step::Thaw),
    ]
}

fn apply(model: &mut TargetModel, millis: u64, step: Step) {
    let now = clock(millis);
    let frozen = model.reachability() == Reachability::Frozen;
    match step {
        Step::Straggle(factor) => model.inject(now, TargetFault::Straggle { factor }),
        Step::Freeze => model.inject(now, TargetFault::Freeze),
        Step::Thaw => model.inject(now, TargetFault::Thaw),
        _ if frozen => {}
        Step::Start(job) => {
            let _ = model.start(now, &start(attempt(job, 0), "run=40ms once", millis + 100));
        }
        Step::Check(job) => {
            model.check(now, &check(&[attempt(job, 0)], millis + 100));
        }
        Step::Stop(job) => {
            model.stop(now, &attempts(&[attempt(job, 0)]));
        }
        Step::Throttle(job) => {
            model.throttle(now, &attempts(&[attempt(job, 0)]));
        }
        Step::Checkpoint(job) => {
            model.checkpoint(now, &attempts(&[attempt(job, 0)]));
        }
    }
}

proptest! {
    /// Any order of messages and faults short of a crash must start each attempt at most once,
    /// end it once, and never exceed the slots.
    #[test]
    fn attempts_start_and_end_at_most_once(steps in prop::collection::vec((0..40u64, any_step()), 1..200)) {
        let mut model = target();
        let mut millis = 0;
        let mut ended = Vec::new();
        for (pause, step) in steps {
            millis += pause;
            apply(&mut model, millis, step);
            ended.extend(model.take_ended().into_iter().map(|end| end.attempt));
            prop_assert!(model.load().running <= 8);
        }
        apply(&mut model, millis, Step::Thaw);
        model.advance(clock(millis + 100_000));
        ended.extend(model.take_ended().into_iter().map(|end| end.attempt));
        let audit = audit_starts(model.ledger().entries().iter().copied());
        prop_assert!(audit.doubled.is_empty(), "{:?}", audit.doubled);
        prop_assert_eq!(audit.starts, ended.len() as u64);
        ended.sort();
        ended.dedup();
        prop_assert_eq!(audit.starts, ended.len() as u64);
        prop_assert_eq!(model.load().running + model.load().throttled, 0);
    }
}
