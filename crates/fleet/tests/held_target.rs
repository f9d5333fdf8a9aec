//! One held target: what is known of its runs after answers that are lost, late or out of order.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_fleet::held::{
    EndedRun, HeldSettings, HeldTarget, HoldPhase, LookOutcome, LookPlan, StartOutcome,
};
use filbertpitch_fleet::ledger::{RunPhase, TargetRun};
use filbertpitch_types::lease::{
    EndedEntry, PollReport, RunRequest, RunningEntry, StartAnswer, StartRefusal,
};
use filbertpitch_types::prelude::*;
use test_case::test_case;

const START: TimePoint = TimePoint(50_000_000);
const BOOT: TargetBoot = TargetBoot(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn capacity() -> ResourceVector {
    ResourceVector::from((32_000, 1024, 0))
}

fn room() -> ResourceVector {
    ResourceVector::from((14_000, 64, 0))
}

fn task(index: u16) -> TaskName {
    TaskName {
        job: JobId(7),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// A held target and the time.
struct Holder {
    target: HeldTarget,
    now: TimePoint,
}

impl Holder {
    fn claiming() -> Self {
        let target = HeldTarget::claim(HeldSettings::default(), FencingToken(5), capacity(), START);
        Self { target, now: START }
    }

    /// A target that has confirmed its holder.
    fn confirmed() -> Self {
        let mut holder = Self::claiming();
        holder.exchange(vec![], vec![]);
        assert_eq!(holder.target.phase(), HoldPhase::Confirmed);
        holder
    }

    fn plan(&mut self) -> LookPlan {
        self.target
            .plan_look(self.now, false)
            .expect("a look is due")
    }

    /// The target's clock is 40 s behind.
    fn target_time(&self) -> TargetTime {
        TargetTime((self.now.0 - 40_000_000) / 1000)
    }

    fn report(&self, running: Vec<RunName>, ended: Vec<EndedEntry>) -> PollReport {
        let running = running.into_iter();
        PollReport {
            time: Some(self.target_time()),
            boot: Some(BOOT),
            running: running
                .map(|run| RunningEntry { run, load: None })
                .collect(),
            ended,
        }
    }

    fn answer(&mut self, plan: &LookPlan, report: &PollReport) -> LookOutcome {
        self.target.look_answered(self.now, plan.number, report)
    }

    /// Sends a look and takes over its answer at once.
    fn exchange(&mut self, running: Vec<RunName>, ended: Vec<EndedEntry>) -> LookOutcome {
        let plan = self.plan();
        let report = self.report(running, ended);
        self.answer(&plan, &report)
    }

    /// Lets the time pass until the next regular look.
    fn pause(&mut self) {
        self.now = self.now + HeldSettings::default().look_wait;
    }

    fn lose_look(&mut self) -> bool {
        let plan = self.plan();
        self.now = self.now + plan.terms.timeout;
        self.target.look_lost(self.now, plan.number, true)
    }

    fn order(&mut self, index: u16) -> RunRequest {
        let run = TargetRun {
            run: RunNumber(1),
            room: Some(room()),
            home: Some(VmIndex::from(0)),
            queue: None,
            expected: ms(100),
            since: self.now,
            restarted: false,
            phase: RunPhase::Running {
                confirmed_at: self.now,
            },
        };
        let order = self
            .target
            .order_run(self.now, task(index), run, Rc::from("work"));
        order.expect("the target's clock is known").order
    }

    fn start(&mut self, index: u16, answer: StartAnswer) -> (RunName, StartOutcome) {
        let name = self.order(index).run;
        self.now = self.now + ms(2);
        let outcome = self.target.start_answered(self.now, name, answer);
        (name, outcome)
    }

    fn free(&self) -> ResourceVector {
        self.target.ledger().free()
    }
}

fn ended(number: u64, run: RunName, end: RunEnd) -> EndedEntry {
    EndedEntry { number, run, end }
}

fn ends(outcome: &LookOutcome) -> Vec<(TaskName, RunEnd)> {
    let ends = outcome.ended.iter();
    ends.map(|EndedRun { task, end, .. }| (*task, *end))
        .collect()
}

/// Guards against starts on a target that another VM may still hold.
#[test]
fn a_target_takes_no_work_before_it_has_confirmed_the_holder() {
    let mut holder = Holder::claiming();
    assert_eq!(holder.target.open_room(START), ResourceVector::default());
    let plan = holder.plan();
    assert_eq!(plan.order.lease_end, None, "the clock is not known");
    assert_eq!(plan.order.wait, Duration::ZERO);
    let report = holder.report(vec![], vec![]);
    holder.answer(&plan, &report);
    assert_eq!(holder.target.open_room(START), capacity());
}

/// Guards against work ordered on a target that may have begun another life under another holder.
#[test]
fn a_lost_look_closes_the_room() {
    let mut holder = Holder::confirmed();
    assert!(!holder.lose_look());
    assert_eq!(
        holder.target.open_room(holder.now),
        ResourceVector::default()
    );
    assert!(holder.target.is_reachable());
    assert!(holder.lose_look(), "unreachable from the second one on");
    holder.pause();
    assert!(holder.exchange(vec![], vec![]).regained);
    assert_eq!(holder.target.open_room(holder.now), capacity());
}

/// Guards against overfull targets: an order takes its room until its outcome is known.
#[test]
fn an_order_without_an_answer_takes_room() {
    let mut holder = Holder::confirmed();
    let (_, outcome) = holder.start(0, StartAnswer::Lost);
    assert_eq!(outcome, StartOutcome::Uncertain);
    assert_eq!(holder.free(), capacity() - room());
    // The order may still arrive.
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(outcome.absent_orders, [task(0)]);
    assert!(outcome.never_started.is_empty());
    assert_eq!(holder.free(), capacity() - room());
    // From now on it is void.
    holder.now = holder.now + ms(400);
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(outcome.never_started.len(), 1);
    assert_eq!(holder.free(), capacity());
}

#[test]
fn a_refused_order_frees_its_room() {
    let mut holder = Holder::confirmed();
    let refused = StartAnswer::Refused(StartRefusal::NoCapacity, None);
    let (_, outcome) = holder.start(0, refused);
    assert_eq!(outcome, StartOutcome::NotStarted(StartRefusal::NoCapacity));
    let (_, outcome) = holder.start(1, StartAnswer::NotSent);
    assert_eq!(outcome, StartOutcome::NotSent);
    assert_eq!(holder.free(), capacity());
}

/// Guards against a second run of a task that runs although the answer to its order was lost.
#[test]
fn a_look_tells_what_a_lost_answer_did_not() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::Lost);
    let outcome = holder.exchange(vec![name], vec![]);
    assert!(outcome.absent_orders.is_empty());
    let run = holder.target.ledger().get(&task(0)).unwrap();
    assert!(matches!(run.phase, RunPhase::Running { .. }));
    // An answer that arrives after that changes nothing.
    let late = holder.target.start_answered(
        holder.now,
        name,
        StartAnswer::Refused(StartRefusal::Late, None),
    );
    assert_eq!(late, StartOutcome::Ignored);
    assert_eq!(holder.free(), capacity() - room());
}

/// Guards against an end that is applied twice because the target repeats it.
#[test]
fn ends_are_taken_over_once() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::Accepted(None));
    let row = ended(1, name, RunEnd::Done);
    let outcome = holder.exchange(vec![], vec![row]);
    assert_eq!(ends(&outcome), [(task(0), RunEnd::Done)]);
    let plan = holder.plan();
    assert_eq!(plan.order.acked_through, 1);
    let report = holder.report(vec![], vec![row]);
    let outcome = holder.answer(&plan, &report);
    assert_eq!(outcome, LookOutcome::default());
}

/// Guards against a run that is taken for lapsed because a report from before its start arrives
/// after a later one.
#[test]
fn a_report_from_before_the_start_ends_no_run() {
    let mut holder = Holder::confirmed();
    let plan = holder.plan();
    let early = holder.report(vec![], vec![]);
    holder.now = holder.now + ms(5);
    holder.start(0, StartAnswer::Accepted(None));
    let outcome = holder.answer(&plan, &early);
    assert!(outcome.ended.is_empty());
    assert_eq!(holder.target.ledger().len(), 1);
}

/// Guards against runs that stay in the books although the target has forgotten them.
#[test]
fn a_confirmed_run_that_is_not_listed_has_lapsed() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    holder.now = holder.now + ms(5);
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(ends(&outcome), [(task(0), RunEnd::LeaseExpired)]);
}

/// Guards against a holder that counts the runs of a target's former life.
#[test]
fn the_runs_of_a_former_life_have_ended() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.exchange(vec![], vec![ended(1, name, RunEnd::Done)]);
    holder.start(1, StartAnswer::Accepted(None));
    let plan = holder.plan();
    let report = PollReport {
        boot: Some(TargetBoot(2)),
        time: Some(TargetTime(3)),
        ..PollReport::default()
    };
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.reborn);
    assert_eq!(ends(&outcome), [(task(1), RunEnd::LeaseExpired)]);
    holder.pause();
    assert_eq!(
        holder.plan().order.acked_through,
        0,
        "its counts begin anew"
    );
}

/// Guards against a second run while the first one still runs on a target that cannot be reached.
#[test]
fn runs_of_an_unreachable_target_end_with_their_lease() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    let ordered_at = holder.now;
    holder.lose_look();
    holder.lose_look();
    assert!(!holder.target.is_reachable());
    assert!(holder.target.advance(holder.now).is_empty());
    holder.now = holder.now + HeldSettings::default().lost_interval;
    let plan = holder.plan();
    assert_eq!(
        plan.order.lease_end, None,
        "an unreachable target gets no longer lease"
    );
    holder.target.look_lost(holder.now, plan.number, true);
    let due = holder.target.next_due();
    holder.now = holder.now + ms(3000);
    let lapsed = holder.target.advance(holder.now);
    assert_eq!(lapsed.len(), 1);
    assert_eq!(lapsed[0].end, RunEnd::LeaseExpired);
    let lease = HeldSettings::default().lease;
    assert!(due > ordered_at && due < ordered_at + lease * 3, "{due}");
}

/// Guards against room that is granted while an unknown run takes it, and against runs that nobody
/// wants.
#[test]
fn runs_of_a_former_holder_take_the_whole_target_until_their_home_is_known() {
    let mut holder = Holder::claiming();
    let found = RunName {
        task: task(0),
        run: RunNumber(3),
    };
    let other = RunName {
        task: task(1),
        run: RunNumber(1),
    };
    let outcome = holder.exchange(vec![found, other], vec![]);
    assert_eq!(outcome.foreign_runs, [found, other]);
    assert_eq!(holder.free(), ResourceVector::default());
    assert_eq!(
        holder.plan().order.lease_end,
        None,
        "nobody has said that the runs are wanted"
    );
    holder.target.begin_audit(holder.now + ms(60));
    let former = RunName {
        run: RunNumber(2),
        ..found
    };
    let home = VmIndex::from(1);
    assert!(!holder.target.adopt_run(former, home, room(), ms(100)));
    assert!(holder.target.adopt_run(found, home, room(), ms(100)));
    assert!(holder.target.end_audit(holder.now + ms(59)).is_empty());
    assert_eq!(holder.target.end_audit(holder.now + ms(60)), [task(1)]);
}

/// Guards against a new run of a task whose former run was told to stop but may still run.
#[test]
fn a_stop_is_repeated_and_takes_room_until_the_end_is_known() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::Accepted(None));
    let order = holder.target.stop_run(holder.now, &task(0)).unwrap();
    assert_eq!(order.run, name);
    assert_eq!(holder.target.stop_run(holder.now, &task(0)), None);
    holder.now = holder.now + ms(100);
    assert_eq!(holder.target.overdue_stops(holder.now), [task(0)]);
    assert!(holder.target.stop_run(holder.now, &task(0)).is_some());
    let outcome = holder.exchange(vec![], vec![]);
    assert!(outcome.ended.is_empty(), "the stop is not confirmed");
    holder.target.stop_accepted(holder.now, name);
    assert!(holder.target.overdue_stops(holder.now).is_empty());
    holder.now = holder.now + ms(1);
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(outcome.ended.len(), 1);
    assert_eq!(holder.free(), capacity());
}

/// Guards against an order of the former token whose answer is taken for that of the new one.
#[test]
fn orders_before_a_new_claim_are_uncertain() {
    let mut holder = Holder::confirmed();
    let name = holder.order(0).run;
    holder.target.claim_again(holder.now, FencingToken(9));
    assert_eq!(holder.target.phase(), HoldPhase::Claiming);
    let outcome = holder
        .target
        .start_answered(holder.now, name, StartAnswer::NotSent);
    assert_eq!(outcome, StartOutcome::Ignored);
    assert_eq!(holder.free(), capacity() - room());
    assert_eq!(holder.plan().order.token, FencingToken(9));
}

/// Guards against a target that is asked again and again although it does not wait.
#[test]
fn a_target_that_answers_at_once_is_not_asked_at_once() {
    let mut holder = Holder::confirmed();
    let asked_at = holder.now;
    holder.exchange(vec![], vec![]);
    assert_eq!(holder.target.plan_look(holder.now, false), None);
    assert!(holder.target.next_due() > asked_at + ms(300));
    holder.target.hasten_look(holder.now);
    assert!(holder.target.plan_look(holder.now, false).is_some());
}

/// Guards against an end that is noticed late because a look waits at the target.
#[test]
fn a_hastened_look_does_not_wait_for_the_regular_one() {
    let mut holder = Holder::confirmed();
    let regular = holder.plan();
    assert!(regular.order.wait > Duration::ZERO);
    assert_eq!(holder.target.plan_look(holder.now, false), None);
    holder.target.hasten_look(holder.now);
    let quick = holder.plan();
    assert_eq!(quick.order.wait, Duration::ZERO);
    let report = holder.report(vec![], vec![]);
    let later = holder.now + ms(20);
    assert!(!holder.target.look_lost(later, quick.number, true));
    holder.target.look_answered(later, regular.number, &report);
    assert!(holder.target.is_reachable());
}

fn reborn_report(holder: &Holder) -> PollReport {
    PollReport {
        boot: Some(TargetBoot(2)),
        ..holder.report(vec![], vec![])
    }
}

/// Guards against a run that counts as never started because the target has crashed since (fault run,
/// seed 10303).
#[test]
fn an_order_without_an_answer_may_have_run_before_a_restart() {
    let mut holder = Holder::confirmed();
    let (name, outcome) = holder.start(0, StartAnswer::Lost);
    assert_eq!(outcome, StartOutcome::Uncertain);
    holder.target.hasten_look(holder.now);
    let plan = holder.plan();
    holder.now = holder.now + ms(1);
    let report = reborn_report(&holder);
    let mut outcome = holder.answer(&plan, &report);
    assert!(outcome.reborn && outcome.never_started.is_empty());
    for _ in 0..4 {
        if outcome.ended.is_empty() {
            holder.pause();
            let plan = holder.plan();
            let report = reborn_report(&holder);
            outcome = holder.answer(&plan, &report);
            assert!(outcome.never_started.is_empty());
        }
    }
    let ended = outcome.ended.first().expect("the order is void by now");
    assert_eq!((ended.task, ended.end), (name.task, RunEnd::LeaseExpired));
}

/// Guards against a run of the new life of a target that counts as ended, because the report that
/// shows the restart is older than the run (fault run, seed 10211).
#[test]
fn a_run_that_is_younger_than_the_report_of_a_restart_goes_on() {
    let mut holder = Holder::confirmed();
    holder.target.hasten_look(holder.now);
    let plan = holder.plan();
    holder.now = holder.now + ms(1);
    let report = reborn_report(&holder);
    let (name, outcome) = holder.start(0, StartAnswer::Accepted(None));
    assert_eq!(outcome, StartOutcome::Started);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.reborn && outcome.ended.is_empty(), "{outcome:?}");
    assert!(holder.target.ledger().get(&name.task).is_some());
    holder.now = holder.now + ms(1);
    holder.target.hasten_look(holder.now);
    let plan = holder.plan();
    let report = reborn_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert_eq!(outcome.ended.len(), 1, "it is not there any more");
}

/// Guards against the loss of a start whose answer was lost, and against a second run: the target
/// starts a run once, however often it is told.
#[test]
fn a_silent_start_is_sent_again_under_the_same_number() {
    let mut holder = Holder::confirmed();
    let first = holder.order(0);
    holder.now = holder.now + ms(30);
    let silent = StartAnswer::Silent;
    let outcome = holder.target.start_answered(holder.now, first.run, silent);
    let StartOutcome::Repeated(plan) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(plan.order.run, first.run);
    assert_eq!(plan.order.token, first.token);
    assert!(plan.order.lease_end > first.lease_end);
    assert!(plan.terms.fresh_connection);
    assert!(!holder.target.take_lost_answer());
    let accepted = StartAnswer::Accepted(None);
    let outcome = holder
        .target
        .start_answered(holder.now, first.run, accepted);
    assert_eq!(outcome, StartOutcome::Started);
    assert!(holder.target.take_lost_answer());
}

/// Guards against a task that is given to another target although its first order was carried out.
#[test_case(StartAnswer::Refused(StartRefusal::OldRun, None))]
#[test_case(StartAnswer::Refused(StartRefusal::Late, None))]
#[test_case(StartAnswer::Refused(StartRefusal::Unhealthy, None))]
#[test_case(StartAnswer::NotSent)]
fn a_refusal_of_a_repeated_start_proves_nothing(answer: StartAnswer) {
    let mut holder = Holder::confirmed();
    let run = holder.order(0).run;
    let silent = StartAnswer::Silent;
    holder.target.start_answered(holder.now, run, silent);
    let outcome = holder.target.start_answered(holder.now, run, answer);
    assert_eq!(outcome, StartOutcome::Uncertain);
    assert!(holder.target.ledger().get(&run.task).is_some());
}

/// A process that was paused may have lost its target meanwhile: it must not order anything before the
/// target has confirmed it again.
#[test]
fn a_paused_holder_does_not_repeat_a_start() {
    let mut holder = Holder::confirmed();
    let run = holder.order(0).run;
    holder.now = holder.now + ms(4000);
    holder.target.reconfirm(holder.now);
    let silent = StartAnswer::Silent;
    let outcome = holder.target.start_answered(holder.now, run, silent);
    assert_eq!(outcome, StartOutcome::Uncertain);
}

/// Guards against a start that is repeated after its home has withdrawn it.
#[test]
fn a_stopped_start_is_not_repeated() {
    let mut holder = Holder::confirmed();
    let run = holder.order(0).run;
    assert!(holder.target.stop_run(holder.now, &run.task).is_some());
    let silent = StartAnswer::Silent;
    let outcome = holder.target.start_answered(holder.now, run, silent);
    assert_eq!(outcome, StartOutcome::Ignored);
}

/// Guards against a target that is given up, with all its runs, because a few of its answers were lost.
#[test]
fn a_lost_look_says_nothing_about_a_target_that_has_answered_since() {
    let mut holder = Holder::confirmed();
    holder.pause();
    let look = holder.plan();
    holder.now = holder.now + ms(5);
    holder.start(0, StartAnswer::Accepted(None));
    holder.now = holder.now + look.terms.timeout;
    assert!(!holder.target.look_lost(holder.now, look.number, true));
    assert!(holder.target.take_lost_answer());
    assert_ne!(
        holder.target.open_room(holder.now),
        ResourceVector::default()
    );
}

/// Guards against an end that is seen late while answers get lost.
#[test]
fn two_looks_wait_for_an_end_while_answers_get_lost() {
    let mut holder = Holder::confirmed();
    holder.pause();
    let regular = holder.plan();
    assert_eq!(
        holder.target.plan_look(holder.now, true),
        None,
        "nothing runs"
    );
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    let twin = holder.target.plan_look(holder.now, true).expect("a twin");
    assert_eq!(holder.target.plan_look(holder.now, true), None);
    let end = vec![ended(1, run, RunEnd::Done)];
    let report = holder.report(vec![], end);
    assert_eq!(
        ends(&holder.answer(&twin, &report)),
        [(task(0), RunEnd::Done)]
    );
    assert_eq!(ends(&holder.answer(&regular, &report)), []);
}

/// A holder that was shut out and has claimed its target again finds a later run of a task that it had
/// started. Guards against a run that takes room nobody counts.
#[test]
fn a_later_run_of_a_known_task_takes_its_place() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    let later = RunName {
        run: RunNumber(17),
        ..run
    };
    let outcome = holder.exchange(vec![later], vec![]);
    assert_eq!(ends(&outcome), [(task(0), RunEnd::LeaseExpired)]);
    assert_eq!(outcome.foreign_runs, [later]);
    assert_eq!(
        holder.free(),
        ResourceVector::default(),
        "its room is not known"
    );
}

/// Another refusal makes the holder look at its target again while a repeated start is under way. Guards
/// against a refusal of that start that is taken for proof.
#[test]
fn a_repeated_start_is_remembered_while_the_hold_is_confirmed_again() {
    let mut holder = Holder::confirmed();
    let run = holder.order(0).run;
    let silent = StartAnswer::Silent;
    holder.target.start_answered(holder.now, run, silent);
    holder.target.reconfirm(holder.now);
    let refused = StartAnswer::Refused(StartRefusal::OldRun, None);
    let outcome = holder.target.start_answered(holder.now, run, refused);
    assert_eq!(outcome, StartOutcome::Uncertain);
}
