//! A held target: the state of its runs after responses that are lost, late or out of order.

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::entity::{TargetIndex, VmIndex};
use filbertpitch_fleet::heartbeat::PeerLocality;
use filbertpitch_fleet::held::{
    EndedRun, HeldSettings, HeldTarget, HoldPhase, OutlivedRun, PollOutcome, PollPlan, RunOwner,
    StartOutcome,
};
use filbertpitch_fleet::lease_limits::LeaseLimits;
use filbertpitch_fleet::ledger::{ListedCapacity, RunPhase, RunPlace, TargetRun};
use filbertpitch_fleet::link::{LinkSettings, PeerLink};
use filbertpitch_fleet::target_clock::max_lease_duration;
use filbertpitch_types::fleet::{
    DemandReport, PeerEnvelope, PeerIdentity, PeerState, RoutingReport,
};
use filbertpitch_types::lease::{
    EndedEntry, PollReport, RunRequest, RunningEntry, StartAnswer, StartRefusal,
};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::{test_case, test_matrix};
use typed_index_collections::TiVec;

const START: TimePoint = TimePoint(50_000_000);
const BOOT: TargetBoot = TargetBoot(1);

/// An envelope without content.
fn template(from: PeerIdentity) -> PeerEnvelope {
    PeerEnvelope {
        from,
        to: None,
        losses: LossCount(0),
        sent_at: START,
        heard_until: None,
        heartbeat_interval_ms: 150,
        state: PeerState::Ready,
        uptime_ms: 60_000,
        config_version: None,
        first_message: 0,
        messages: Vec::new(),
        next_expected: 0,
        demand: DemandReport::default(),
        holdings_version: 0,
        holdings: None,
        capacities: Vec::new(),
        zones: Vec::new(),
        routing: RoutingReport::default(),
        origins: Vec::new(),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn millis_of(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

fn capacity() -> ResourceVector {
    ResourceVector::from((32_000, 1024, 0))
}

fn resources() -> ResourceVector {
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
    settings: HeldSettings,
    /// The link to the coordinator of all runs; empty while it is this VM itself.
    links: TiVec<VmIndex, Option<PeerLink>>,
    /// How much slower than real time the target's clock runs, in percent.
    drift_percent: u64,
}

impl Holder {
    fn claiming() -> Self {
        let settings = HeldSettings::default();
        let listed = ListedCapacity {
            usable: capacity(),
            ..ListedCapacity::default()
        };
        let target = HeldTarget::claim(settings.clone(), FencingToken(5), listed, START);
        Self {
            target,
            now: START,
            settings,
            links: TiVec::from(vec![None]),
            drift_percent: 0,
        }
    }

    /// A target that has confirmed its holder.
    fn confirmed() -> Self {
        let mut holder = Self::claiming();
        holder.exchange(vec![], vec![]);
        assert_eq!(holder.target.phase(), HoldPhase::Confirmed);
        holder
    }

    /// The next poll, if one is due.
    fn poll(&mut self, hedged: bool) -> Option<PollPlan> {
        let limits = LeaseLimits::new(&self.links, &self.settings, self.now);
        self.target.plan_poll(self.now, hedged, &limits)
    }

    fn plan(&mut self) -> PollPlan {
        self.poll(false).expect("a poll is due")
    }

    /// Assigns a found run to a coordinator.
    fn adopt(&mut self, run: RunName, coordinator: VmIndex, expected: Duration) -> bool {
        let owner = RunOwner {
            coordinator,
            origin: None,
        };
        let limits = LeaseLimits::new(&self.links, &self.settings, self.now);
        let target = &mut self.target;
        target.adopt_run(run, owner, resources(), expected, &limits)
    }

    /// Makes the coordinator of all runs a peer that has last named a message sent at `heard_until`.
    fn limit_coordinator(&mut self, heard_until: TimePoint) {
        let peer = PeerIdentity {
            vm: "vm-a".parse().unwrap(),
            incarnation: IncarnationId(1),
            address: "127.0.0.1:7000".parse().unwrap(),
            zone: "north".parse().unwrap(),
            processor: MilliCores(250),
        };
        let settings = LinkSettings::default();
        let mut link = PeerLink::new(settings, peer.clone(), PeerLocality::SameZone, START);
        let envelope = PeerEnvelope {
            sent_at: self.now,
            heard_until: Some(heard_until),
            ..template(peer)
        };
        link.receive(self.now, envelope, |_| TargetIndex::from(0));
        self.links = TiVec::from(vec![Some(link)]);
    }

    /// The time that the target's clock shows now.
    fn target_time(&self) -> TargetTime {
        self.target_time_at(self.now)
    }

    /// The time that the target's clock shows at `time`; 40 s behind at the start.
    fn target_time_at(&self, time: TimePoint) -> TargetTime {
        let shown = (time.0 - START.0) * (100 - self.drift_percent) / 100;
        TargetTime((START.0 - 40_000_000 + shown) / 1000)
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

    fn answer(&mut self, plan: &PollPlan, report: &PollReport) -> PollOutcome {
        self.target
            .handle_poll_report(self.now, plan.number, report)
    }

    /// Sends a poll and applies its report at once.
    fn exchange(&mut self, running: Vec<RunName>, ended: Vec<EndedEntry>) -> PollOutcome {
        let plan = self.plan();
        let report = self.report(running, ended);
        self.answer(&plan, &report)
    }

    /// Advances the time to the next regular poll.
    fn pause(&mut self) {
        self.now = self.now + HeldSettings::default().poll_wait;
    }

    fn lose_poll(&mut self) -> bool {
        let plan = self.plan();
        self.now = self.now + plan.options.timeout;
        self.target.handle_poll_failure(self.now, plan.number, true)
    }

    fn request_start(&mut self, index: u16) -> RunRequest {
        let run = TargetRun {
            run: RunNumber(1),
            resources: Some(resources()),
            coordinator: Some(VmIndex::from(0)),
            queue: None,
            expected: ms(100),
            since: self.now,
            lease_limit: TimePoint(u64::MAX),
            origin: None,
            origin_limit: TimePoint(u64::MAX),
            coordinator_replaced: false,
            place: RunPlace::default(),
            trial_until: None,
            phase: RunPhase::Running {
                confirmed_at: self.now,
            },
        };
        let start_request = self
            .target
            .start_run(self.now, task(index), run, Rc::from("work"));
        start_request.expect("the target's clock is known").request
    }

    fn start(&mut self, index: u16, answer: StartAnswer) -> (RunName, StartOutcome) {
        let name = self.request_start(index).run;
        self.now = self.now + ms(2);
        let outcome = self.target.handle_start_response(self.now, name, answer);
        (name, outcome)
    }

    fn free(&self) -> ResourceVector {
        self.target.ledger().free()
    }
}

fn ended(number: u64, run: RunName, end: RunEnd) -> EndedEntry {
    EndedEntry { number, run, end }
}

fn ends(outcome: &PollOutcome) -> Vec<(TaskName, RunEnd)> {
    let ends = outcome.ended.iter();
    ends.map(|EndedRun { task, end, .. }| (*task, *end))
        .collect()
}

/// Guards against starting runs on a target that another VM may still hold.
#[test]
fn unconfirmed_target_has_no_free_capacity() {
    let mut holder = Holder::claiming();
    assert_eq!(
        holder.target.free_capacity(START),
        ResourceVector::default()
    );
    let plan = holder.plan();
    assert_eq!(plan.request.lease_end, None, "the clock is not known");
    assert_eq!(plan.request.wait, Duration::ZERO);
    let report = holder.report(vec![], vec![]);
    holder.answer(&plan, &report);
    assert_eq!(holder.target.free_capacity(START), capacity());
}

/// Guards against starting runs on a target that may have restarted under another holder.
#[test]
fn failed_poll_leaves_no_free_capacity() {
    let mut holder = Holder::confirmed();
    assert!(!holder.lose_poll());
    assert_eq!(
        holder.target.free_capacity(holder.now),
        ResourceVector::default()
    );
    assert!(holder.target.is_reachable());
    assert!(holder.lose_poll(), "unreachable after two failed polls");
    holder.pause();
    assert!(holder.exchange(vec![], vec![]).reachable_again);
    assert_eq!(holder.target.free_capacity(holder.now), capacity());
}

/// Guards against overcommitted targets: a start request occupies its resources until its outcome
/// is known.
#[test]
fn start_without_a_response_occupies_resources() {
    let mut holder = Holder::confirmed();
    let (_, outcome) = holder.start(0, StartAnswer::ConnectionLost);
    assert_eq!(outcome, StartOutcome::Uncertain);
    assert_eq!(holder.free(), capacity() - resources());
    // The request may still arrive.
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(outcome.missing_starts, [task(0)]);
    assert!(outcome.never_started.is_empty());
    assert_eq!(holder.free(), capacity() - resources());
    // From now on the request has expired.
    holder.now = holder.now + ms(400);
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(outcome.never_started.len(), 1);
    assert_eq!(holder.free(), capacity());
}

/// Guards against capacity that stays occupied by runs that have not started.
#[test]
fn refused_start_frees_its_resources() {
    let mut holder = Holder::confirmed();
    let refused = StartAnswer::Refused(StartRefusal::NoCapacity, None);
    let (_, outcome) = holder.start(0, refused);
    assert_eq!(outcome, StartOutcome::NotStarted(StartRefusal::NoCapacity));
    let (_, outcome) = holder.start(1, StartAnswer::NotSent);
    assert_eq!(outcome, StartOutcome::NotSent);
    assert_eq!(holder.free(), capacity());
}

/// Guards against a second run of a task that runs although the response to its start request was
/// lost.
#[test]
fn poll_shows_a_run_whose_start_response_was_lost() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::ConnectionLost);
    let outcome = holder.exchange(vec![name], vec![]);
    assert!(outcome.missing_starts.is_empty());
    let run = holder.target.ledger().get(&task(0)).unwrap();
    assert!(matches!(run.phase, RunPhase::Running { .. }));
    // A response that arrives after that changes nothing.
    let late = holder.target.handle_start_response(
        holder.now,
        name,
        StartAnswer::Refused(StartRefusal::Late, None),
    );
    assert_eq!(late, StartOutcome::Ignored);
    assert_eq!(holder.free(), capacity() - resources());
}

/// Guards against applying an end twice when the target repeats it.
#[test]
fn ends_are_applied_once() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::Accepted(None));
    let entry = ended(1, name, RunEnd::Done);
    let outcome = holder.exchange(vec![], vec![entry]);
    assert_eq!(ends(&outcome), [(task(0), RunEnd::Done)]);
    let plan = holder.plan();
    assert_eq!(plan.request.acked_through, 1);
    let report = holder.report(vec![], vec![entry]);
    let outcome = holder.answer(&plan, &report);
    assert_eq!(outcome, PollOutcome::default());
}

/// Guards against removing a run because a report from before its start arrives late.
#[test]
fn report_from_before_the_start_ends_no_run() {
    let mut holder = Holder::confirmed();
    let plan = holder.plan();
    let early = holder.report(vec![], vec![]);
    holder.now = holder.now + ms(5);
    holder.start(0, StartAnswer::Accepted(None));
    let outcome = holder.answer(&plan, &early);
    assert!(outcome.ended.is_empty());
    assert_eq!(holder.target.ledger().len(), 1);
}

/// Guards against counting a run as ended while its start request is on its way.
#[test]
fn requested_run_that_is_not_listed_has_not_ended() {
    let mut holder = Holder::confirmed();
    holder.request_start(0);
    holder.now = holder.now + ms(5);
    holder.target.poll_now(holder.now);
    let outcome = holder.exchange(vec![], vec![]);
    assert!(outcome.ended.is_empty() && outcome.never_started.is_empty());
    assert_eq!(holder.target.ledger().len(), 1);
}

/// Guards against giving a task to another target while the target may still accept the start request.
#[test]
fn start_without_a_response_is_uncertain_while_its_window_lasts() {
    let mut holder = Holder::confirmed();
    let requested_at = holder.now;
    holder.start(0, StartAnswer::ConnectionLost);
    holder.now = requested_at + holder.settings.start_window - ms(1);
    holder.target.poll_now(holder.now);
    let outcome = holder.exchange(vec![], vec![]);
    assert!(outcome.never_started.is_empty());
}

/// Guards against the same after a repetition of the request, whose window begins anew.
#[test]
fn window_of_a_retried_start_begins_anew() {
    let mut holder = Holder::confirmed();
    let first = holder.request_start(0);
    holder.now = holder.now + ms(150);
    let timed_out = StartAnswer::TimedOut;
    let outcome = holder
        .target
        .handle_start_response(holder.now, first.run, timed_out);
    assert!(matches!(outcome, StartOutcome::Retry(_)), "{outcome:?}");
    let repeated_at = holder.now;
    let lost = StartAnswer::ConnectionLost;
    let outcome = holder
        .target
        .handle_start_response(holder.now, first.run, lost);
    assert_eq!(outcome, StartOutcome::Uncertain);
    holder.now = repeated_at + holder.settings.start_window - ms(1);
    holder.target.poll_now(holder.now);
    let outcome = holder.exchange(vec![], vec![]);
    assert!(outcome.never_started.is_empty());
}

/// Guards against taking the run in a report that a later one has overtaken for a run that another VM
/// has started, after its end was reported.
#[test]
fn ended_run_in_an_overtaken_report_is_not_found() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    let regular = holder.plan();
    let overtaken = holder.report(vec![run], vec![]);
    holder.now = holder.now + ms(5);
    holder.target.poll_now(holder.now);
    let quick = holder.plan();
    let later = holder.report(vec![], vec![ended(1, run, RunEnd::Done)]);
    assert_eq!(ends(&holder.answer(&quick, &later)).len(), 1);
    holder.answer(&regular, &overtaken);
    assert!(holder.target.ledger().is_empty());
}

/// Guards against taking the end of an earlier run of a task for the end of the present one.
#[test]
fn end_of_an_earlier_run_does_not_end_the_present_one() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    let earlier = RunName {
        run: RunNumber(0),
        ..run
    };
    let outcome = holder.exchange(vec![run], vec![ended(1, earlier, RunEnd::Stopped)]);
    assert_eq!(ends(&outcome), []);
    assert_eq!(outcome.unknown_ends, [(earlier, RunEnd::Stopped)]);
    assert_eq!(holder.target.ledger().len(), 1);
}

/// Guards against runs that stay in the ledger although the target no longer has them.
#[test]
fn confirmed_run_that_is_not_listed_has_ended() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    holder.now = holder.now + ms(5);
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(ends(&outcome), [(task(0), RunEnd::LeaseExpired)]);
}

/// Guards against a holder that counts the runs of a former instance of the target.
#[test]
fn runs_of_a_former_instance_have_ended() {
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
    assert!(outcome.restarted);
    assert_eq!(ends(&outcome), [(task(1), RunEnd::LeaseExpired)]);
    holder.pause();
    assert_eq!(
        holder.plan().request.acked_through,
        0,
        "the numbers of its ends begin anew"
    );
}

/// Guards against a target that is not used, or taken for slow, because of the failures and the run times of a former
/// instance, which may have been of another kind.
#[test]
fn next_instance_is_not_judged_by_the_former_one() {
    let mut holder = Holder::confirmed();
    let until = holder.now + ms(60_000);
    let health = holder.target.health_mut();
    health.record_success(ms(400), ms(100));
    for _ in 0..3 {
        health.record_failure(holder.now);
    }
    // The list may show the next instance first.
    health.set_cold_until(holder.now, Some(until));
    assert!(health.slowdown() > 1.2);
    let plan = holder.plan();
    let report = PollReport {
        boot: Some(TargetBoot(2)),
        ..holder.report(vec![], vec![])
    };
    assert!(holder.answer(&plan, &report).restarted);
    let health = holder.target.health_mut();
    assert!(
        health.admits(holder.now, 1),
        "failures of the former instance"
    );
    assert_eq!(health.slowdown(), 1.0);
    assert!(health.is_cold());
}

/// What makes it possible that a target has restarted without the knowledge of its holder.
#[derive(Clone, Copy, Debug)]
enum Doubt {
    SilentPoll,
    BrokenPoll,
    BrokenStart,
    Pause,
}

/// Guards against an end that the next instance of a target forgets before anyone has read it: the former instance had
/// an end with the same number, and the holder has not noticed the restart.
#[test_case(Doubt::SilentPoll; "poll without a response")]
#[test_case(Doubt::BrokenPoll; "poll on a broken connection")]
#[test_case(Doubt::BrokenStart; "start on a broken connection")]
#[test_case(Doubt::Pause; "paused holder")]
fn no_end_is_acknowledged_while_the_target_may_have_restarted(doubt: Doubt) {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.exchange(vec![], vec![ended(1, name, RunEnd::Done)]);
    holder.pause();
    let lost = match doubt {
        Doubt::SilentPoll | Doubt::BrokenPoll => {
            let plan = holder.plan();
            assert_eq!(plan.request.acked_through, 1);
            holder.now = holder.now + plan.options.timeout;
            let silent = matches!(doubt, Doubt::SilentPoll);
            let target = &mut holder.target;
            target.handle_poll_failure(holder.now, plan.number, silent);
            holder.now = holder.now + ms(500);
            holder.plan()
        }
        Doubt::BrokenStart => {
            holder.start(1, StartAnswer::ConnectionLost);
            holder.plan()
        }
        Doubt::Pause => {
            holder.target.reconfirm(holder.now);
            holder.plan()
        }
    };
    assert_eq!(lost.request.acked_through, 0);
    let report = holder.report(vec![], vec![]);
    holder.answer(&lost, &report);
    holder.pause();
    assert_eq!(
        holder.plan().request.acked_through,
        1,
        "the same instance has answered"
    );
}

/// Guards against a second run while the first one still runs on an unreachable target.
#[test]
fn runs_of_an_unreachable_target_end_with_their_lease() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    let ordered_at = holder.now;
    holder.lose_poll();
    holder.lose_poll();
    assert!(!holder.target.is_reachable());
    assert!(holder.target.advance(holder.now).is_empty());
    holder.now = holder.now + HeldSettings::default().unreachable_poll_interval;
    let plan = holder.plan();
    assert_eq!(
        plan.request.lease_end, None,
        "an unreachable target gets no extension of its lease"
    );
    holder
        .target
        .handle_poll_failure(holder.now, plan.number, true);
    let due = holder.target.next_due();
    holder.now = holder.now + ms(3000);
    let expired = holder.target.advance(holder.now);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].end, RunEnd::LeaseExpired);
    let lease = HeldSettings::default().lease;
    assert!(due > ordered_at && due < ordered_at + lease * 3, "{due}");
}

/// Guards against giving away capacity that an unknown run occupies, and against runs that no
/// coordinator wants.
#[test]
fn found_runs_occupy_the_whole_target_until_a_coordinator_adopts_them() {
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
    assert_eq!(outcome.unknown_runs, [found, other]);
    assert_eq!(holder.free(), ResourceVector::default());
    assert_eq!(
        holder.plan().request.lease_end,
        None,
        "no coordinator has adopted the runs"
    );
    holder.target.begin_adoption(holder.now + ms(60));
    let former = RunName {
        run: RunNumber(2),
        ..found
    };
    let coordinator = VmIndex::from(1);
    assert!(!holder.adopt(former, coordinator, ms(100)));
    assert!(holder.adopt(found, coordinator, ms(100)));
    assert!(holder.target.take_unadopted(holder.now + ms(59)).is_empty());
    assert_eq!(holder.target.take_unadopted(holder.now + ms(60)), [task(1)]);
}

/// Guards against a new run of a task whose former run was told to stop but may still run.
#[test]
fn stop_is_retried_and_occupies_resources_until_the_end_is_known() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::Accepted(None));
    let stop_request = holder.target.stop_run(holder.now, &task(0)).unwrap();
    assert_eq!(stop_request.run, name);
    assert_eq!(holder.target.stop_run(holder.now, &task(0)), None);
    holder.now = holder.now + ms(100);
    assert_eq!(holder.target.overdue_stops(holder.now), [task(0)]);
    assert!(holder.target.stop_run(holder.now, &task(0)).is_some());
    let outcome = holder.exchange(vec![], vec![]);
    assert!(outcome.ended.is_empty(), "the stop is not confirmed");
    holder.target.handle_stop_accepted(holder.now, name);
    assert!(holder.target.overdue_stops(holder.now).is_empty());
    holder.now = holder.now + ms(1);
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(outcome.ended.len(), 1);
    assert_eq!(holder.free(), capacity());
}

/// Guards against taking a run for ended because a report from before its stop was accepted does not
/// list it: its start request may have arrived in between.
#[test]
fn report_from_before_an_accepted_stop_ends_no_run() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::ConnectionLost);
    holder.target.stop_run(holder.now, &task(0)).unwrap();
    holder.target.poll_now(holder.now);
    let plan = holder.plan();
    let early = holder.report(vec![], vec![]);
    holder.now = holder.now + ms(5);
    holder.target.handle_stop_accepted(holder.now, run);
    let outcome = holder.answer(&plan, &early);
    assert!(outcome.ended.is_empty());
    assert_eq!(holder.target.ledger().len(), 1);
}

/// Guards against keeping a run that is being stopped for a coordinator that counts on it.
#[test]
fn run_that_is_being_stopped_is_not_adopted() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.target.stop_run(holder.now, &task(0)).unwrap();
    let coordinator = VmIndex::from(0);
    let adopted = holder.adopt(run, coordinator, ms(100));
    assert!(!adopted);
}

/// Guards against applying the response to a request under the former token to the new claim.
#[test]
fn starts_before_a_new_claim_are_uncertain() {
    let mut holder = Holder::confirmed();
    let name = holder.request_start(0).run;
    holder.target.reclaim(holder.now, FencingToken(9));
    assert_eq!(holder.target.phase(), HoldPhase::Claiming);
    let outcome = holder
        .target
        .handle_start_response(holder.now, name, StartAnswer::NotSent);
    assert_eq!(outcome, StartOutcome::Ignored);
    assert_eq!(holder.free(), capacity() - resources());
    assert_eq!(holder.plan().request.token, FencingToken(9));
}

/// Guards against a target that is polled in a busy loop because it does not wait.
#[test]
fn target_that_answers_at_once_is_not_polled_at_once() {
    let mut holder = Holder::confirmed();
    let polled_at = holder.now;
    holder.exchange(vec![], vec![]);
    assert_eq!(holder.poll(false), None);
    assert!(holder.target.next_due() > polled_at + ms(300));
    holder.target.poll_now(holder.now);
    assert!(holder.poll(false).is_some());
}

/// Guards against noticing an end late because a long poll is open.
#[test]
fn immediate_poll_does_not_wait_for_the_regular_one() {
    let mut holder = Holder::confirmed();
    let regular = holder.plan();
    assert!(regular.request.wait > Duration::ZERO);
    assert_eq!(holder.poll(false), None);
    holder.target.poll_now(holder.now);
    let quick = holder.plan();
    assert_eq!(quick.request.wait, Duration::ZERO);
    let report = holder.report(vec![], vec![]);
    let later = holder.now + ms(20);
    assert!(!holder.target.handle_poll_failure(later, quick.number, true));
    holder
        .target
        .handle_poll_report(later, regular.number, &report);
    assert!(holder.target.is_reachable());
}

fn restart_report(holder: &Holder) -> PollReport {
    PollReport {
        boot: Some(TargetBoot(2)),
        ..holder.report(vec![], vec![])
    }
}

/// Guards against counting a run as never started although the target has restarted since (fault
/// run, seed 10303).
#[test]
fn start_without_a_response_may_have_run_before_a_restart() {
    let mut holder = Holder::confirmed();
    let (name, outcome) = holder.start(0, StartAnswer::ConnectionLost);
    assert_eq!(outcome, StartOutcome::Uncertain);
    holder.target.poll_now(holder.now);
    let plan = holder.plan();
    holder.now = holder.now + ms(1);
    let report = restart_report(&holder);
    let mut outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted && outcome.never_started.is_empty());
    for _ in 0..4 {
        if outcome.ended.is_empty() {
            holder.pause();
            let plan = holder.plan();
            let report = restart_report(&holder);
            outcome = holder.answer(&plan, &report);
            assert!(outcome.never_started.is_empty());
        }
    }
    let ended = outcome
        .ended
        .first()
        .expect("the request has expired by now");
    assert_eq!((ended.task, ended.end), (name.task, RunEnd::LeaseExpired));
}

/// Guards against a second run of a task whose start request has expired on the clock of the former
/// instance of a target: the next one, whose clock has begun anew, refuses it only for its lower token.
#[test]
fn start_without_a_response_is_open_until_the_next_instance_is_claimed() {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::ConnectionLost);
    holder.now = holder.now + ms(400);
    let plan = holder.plan();
    let report = restart_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted);
    assert_eq!(ends(&outcome), [], "the request may still arrive");
    assert!(outcome.never_started.is_empty());
    holder.target.reclaim(holder.now, FencingToken(9));
    let plan = holder.plan();
    let report = restart_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert_eq!(ends(&outcome), [(name.task, RunEnd::LeaseExpired)]);
}

/// Guards against a restart that stays unnoticed while a poll waits at the next instance, although that has
/// answered a start request: its ends that the poll seems to acknowledge get lost, and a run counts as lost in
/// the crash (fault run, `Large`, seed 21).
#[test_case(TargetTime(1), true; "clock that has begun anew")]
#[test_case(TargetTime(u64::MAX), false; "clock that goes on")]
fn start_answered_on_another_clock_shows_a_restart(time: TargetTime, restarted: bool) {
    let mut holder = Holder::confirmed();
    let waiting = holder.plan();
    assert!(!waiting.request.wait.is_zero());
    let time = time.min(holder.target_time());
    holder.start(0, StartAnswer::Accepted(Some(time)));
    let poll = holder.poll(false);
    assert_eq!(poll.is_some(), restarted, "{poll:?}");
    assert!(
        poll.is_none_or(|poll| poll.request.wait.is_zero() && poll.request.lease_end.is_none())
    );
}

/// Guards against counting a run on the new instance of a target as ended because the report that
/// shows the restart is older than the run (fault run, seed 10211).
#[test]
fn run_younger_than_the_report_of_a_restart_is_kept() {
    let mut holder = Holder::confirmed();
    holder.target.poll_now(holder.now);
    let plan = holder.plan();
    holder.now = holder.now + ms(1);
    let report = restart_report(&holder);
    let (name, outcome) = holder.start(0, StartAnswer::Accepted(None));
    assert_eq!(outcome, StartOutcome::Started);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted && outcome.ended.is_empty(), "{outcome:?}");
    assert!(holder.target.ledger().get(&name.task).is_some());
    holder.now = holder.now + ms(1);
    holder.target.poll_now(holder.now);
    let plan = holder.plan();
    let report = restart_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert_eq!(outcome.ended.len(), 1, "the run is no longer listed");
}

/// Guards against a run that counts as ended although a delayed copy of its start request may still be
/// carried out: the new instance of the target has not seen a higher token yet.
#[test_case(false; "start without a response")]
#[test_case(true; "stop that the former instance has accepted")]
fn start_without_a_response_is_not_over_before_the_next_claim(stopped: bool) {
    let mut holder = Holder::confirmed();
    let (name, _) = holder.start(0, StartAnswer::ConnectionLost);
    if stopped {
        holder.target.stop_run(holder.now, &name.task).unwrap();
        holder.target.handle_stop_accepted(holder.now, name);
    }
    holder.now = holder.now + ms(400);
    holder.target.poll_now(holder.now);
    let plan = holder.plan();
    let report = restart_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted);
    assert_eq!(ends(&outcome), [], "the poll has carried the former token");
    holder.target.reclaim(holder.now, FencingToken(9));
    let plan = holder.plan();
    let report = restart_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert_eq!(ends(&outcome), [(name.task, RunEnd::LeaseExpired)]);
}

/// Guards against the same for a run of the former instance whose start request was repeated: a copy of the
/// first request may still arrive.
#[test]
fn repeated_start_is_not_over_before_the_next_claim() {
    let mut holder = Holder::confirmed();
    let run = holder.request_start(0).run;
    holder.now = holder.now + ms(30);
    let timed_out = StartAnswer::TimedOut;
    holder
        .target
        .handle_start_response(holder.now, run, timed_out);
    let accepted = StartAnswer::Accepted(None);
    let outcome = holder
        .target
        .handle_start_response(holder.now, run, accepted);
    assert_eq!(outcome, StartOutcome::Started);
    holder.pause();
    let plan = holder.plan();
    let report = restart_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted);
    assert_eq!(ends(&outcome), [], "the poll has carried the former token");
    holder.target.reclaim(holder.now, FencingToken(9));
    holder.now = holder.now + ms(1);
    let plan = holder.plan();
    let report = restart_report(&holder);
    let outcome = holder.answer(&plan, &report);
    assert_eq!(ends(&outcome), [(run.task, RunEnd::LeaseExpired)]);
}

/// Guards against losing a start whose response was lost, and against a second run: the target
/// starts a run only once, however often it is requested.
#[test]
fn timed_out_start_is_retried_with_the_same_run_number() {
    let mut holder = Holder::confirmed();
    let first = holder.request_start(0);
    holder.now = holder.now + ms(30);
    let timed_out = StartAnswer::TimedOut;
    let outcome = holder
        .target
        .handle_start_response(holder.now, first.run, timed_out);
    let StartOutcome::Retry(plan) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(plan.request.run, first.run);
    assert_eq!(plan.request.token, first.token);
    assert!(plan.request.lease_end > first.lease_end);
    assert!(plan.options.fresh_connection);
    assert!(!holder.target.take_lost_response());
    let accepted = StartAnswer::Accepted(None);
    let outcome = holder
        .target
        .handle_start_response(holder.now, first.run, accepted);
    assert_eq!(outcome, StartOutcome::Started);
    assert!(holder.target.take_lost_response());
}

/// Guards against giving a task to another target although its first request has started a run.
#[test_case(StartAnswer::Refused(StartRefusal::OldRun, None))]
#[test_case(StartAnswer::Refused(StartRefusal::Late, None))]
#[test_case(StartAnswer::Refused(StartRefusal::Unhealthy, None))]
#[test_case(StartAnswer::NotSent)]
fn refusal_of_a_retried_start_leaves_it_uncertain(answer: StartAnswer) {
    let mut holder = Holder::confirmed();
    let run = holder.request_start(0).run;
    let timed_out = StartAnswer::TimedOut;
    holder
        .target
        .handle_start_response(holder.now, run, timed_out);
    let outcome = holder.target.handle_start_response(holder.now, run, answer);
    assert_eq!(outcome, StartOutcome::Uncertain);
    assert!(holder.target.ledger().get(&run.task).is_some());
}

/// Another VM may have taken over the target while the process was paused. Guards against sending
/// requests before the target has confirmed this VM again.
#[test]
fn paused_holder_does_not_retry_a_start() {
    let mut holder = Holder::confirmed();
    let run = holder.request_start(0).run;
    holder.now = holder.now + ms(4000);
    holder.target.reconfirm(holder.now);
    let timed_out = StartAnswer::TimedOut;
    let outcome = holder
        .target
        .handle_start_response(holder.now, run, timed_out);
    assert_eq!(outcome, StartOutcome::Uncertain);
}

/// Guards against retrying a start after its coordinator has cancelled it.
#[test]
fn stopped_start_is_not_retried() {
    let mut holder = Holder::confirmed();
    let run = holder.request_start(0).run;
    assert!(holder.target.stop_run(holder.now, &run.task).is_some());
    let timed_out = StartAnswer::TimedOut;
    let outcome = holder
        .target
        .handle_start_response(holder.now, run, timed_out);
    assert_eq!(outcome, StartOutcome::Ignored);
}

/// Guards against counting a target as unreachable, and losing all its runs, because a few of its
/// responses were lost.
#[test]
fn lost_poll_of_a_target_that_has_responded_since_is_not_counted() {
    let mut holder = Holder::confirmed();
    holder.pause();
    let poll = holder.plan();
    holder.now = holder.now + ms(5);
    holder.start(0, StartAnswer::Accepted(None));
    holder.now = holder.now + poll.options.timeout;
    assert!(
        !holder
            .target
            .handle_poll_failure(holder.now, poll.number, true)
    );
    assert!(holder.target.take_lost_response());
    assert_ne!(
        holder.target.free_capacity(holder.now),
        ResourceVector::default()
    );
}

/// Guards against noticing an end late while responses get lost.
#[test]
fn two_polls_wait_for_an_end_while_responses_get_lost() {
    let mut holder = Holder::confirmed();
    holder.pause();
    let regular = holder.plan();
    assert_eq!(holder.poll(true), None, "nothing runs");
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    let hedge = holder.poll(true).expect("a hedge poll");
    assert_eq!(holder.poll(true), None);
    let end = vec![ended(1, run, RunEnd::Done)];
    let report = holder.report(vec![], end);
    assert_eq!(
        ends(&holder.answer(&hedge, &report)),
        [(task(0), RunEnd::Done)]
    );
    assert_eq!(ends(&holder.answer(&regular, &report)), []);
}

/// A holder that another one has displaced claims its target again and finds a later run of a task
/// that it had started. Guards against a run whose resources nobody counts.
#[test]
fn later_run_of_a_known_task_replaces_it() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    let later = RunName {
        run: RunNumber(17),
        ..run
    };
    let outcome = holder.exchange(vec![later], vec![]);
    assert_eq!(ends(&outcome), [(task(0), RunEnd::LeaseExpired)]);
    assert_eq!(
        outcome.unknown_runs,
        [],
        "the target may have another holder"
    );
    let confirmation = holder.plan();
    assert_eq!(confirmation.request.wait, Duration::ZERO);
    let report = holder.report(vec![later], vec![]);
    let outcome = holder.answer(&confirmation, &report);
    assert_eq!(outcome.unknown_runs, [later]);
    assert_eq!(
        holder.free(),
        ResourceVector::default(),
        "its resources are unknown"
    );
}

/// How a holder has concluded that a run is over, and what it is shown then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Conclusion {
    /// The lease has expired on an unreachable target.
    LeaseExpired,
    /// A report has not listed the run.
    Missing,
    /// The start request got no response and has expired.
    NeverStarted,
}

impl Conclusion {
    /// A holder that has come to the conclusion about a run.
    fn reach(self) -> (Holder, RunName) {
        let mut holder = Holder::confirmed();
        let answer = match self {
            Self::NeverStarted => StartAnswer::ConnectionLost,
            _ => StartAnswer::Accepted(None),
        };
        let (run, _) = holder.start(0, answer);
        match self {
            Self::LeaseExpired => {
                while holder.target.is_reachable() {
                    holder.lose_poll();
                }
                holder.now = holder.now + ms(3000);
                assert_eq!(holder.target.advance(holder.now).len(), 1);
            }
            Self::Missing => {
                holder.pause();
                assert_eq!(holder.exchange(vec![], vec![]).ended.len(), 1);
            }
            Self::NeverStarted => {
                holder.pause();
                assert_eq!(holder.exchange(vec![], vec![]).never_started.len(), 1);
            }
        }
        (holder, run)
    }

    /// Sends a poll that returns at once; its report lists `run`.
    fn look(holder: &mut Holder, boot: TargetBoot, run: RunName) -> PollOutcome {
        holder.target.poll_now(holder.now);
        let mut plan = holder.plan();
        if !plan.request.wait.is_zero() {
            holder.target.poll_now(holder.now);
            plan = holder.plan();
        }
        holder.now = holder.now + ms(1);
        let report = report_of_instance(holder, boot.0, vec![run]);
        holder.answer(&plan, &report)
    }
}

/// Guards against a broken bound that nobody notices: the target has a run that had counted as over.
#[test_case(Conclusion::LeaseExpired)]
#[test_case(Conclusion::Missing)]
#[test_case(Conclusion::NeverStarted)]
fn run_that_outlives_its_reported_end_is_noticed(conclusion: Conclusion) {
    let (mut holder, run) = conclusion.reach();
    let concluded_at = holder.now;
    let outcome = Conclusion::look(&mut holder, BOOT, run);
    assert_eq!(outcome.outlived, [OutlivedRun { run, concluded_at }]);
    let outcome = Conclusion::look(&mut holder, BOOT, run);
    assert_eq!(outcome.outlived, [], "noticed once");
}

/// Guards against a false alarm about a run with the same number on the next instance.
#[test_case(Conclusion::LeaseExpired)]
#[test_case(Conclusion::Missing)]
#[test_case(Conclusion::NeverStarted)]
fn run_of_the_next_instance_has_not_outlived_its_end(conclusion: Conclusion) {
    let (mut holder, run) = conclusion.reach();
    let outcome = Conclusion::look(&mut holder, TargetBoot(BOOT.0 + 1), run);
    assert!(outcome.restarted && outcome.outlived.is_empty());
}

/// Guards against a false alarm about a run with the number of one that was never started, which another
/// holder has started.
#[test]
fn run_of_another_holder_has_not_outlived_its_end() {
    let (mut holder, run) = Conclusion::NeverStarted.reach();
    let waiting = holder.plan();
    assert!(!waiting.request.wait.is_zero());
    holder.now = holder.now + ms(100);
    let report = holder.report(vec![run], vec![]);
    assert_eq!(holder.answer(&waiting, &report).outlived, []);
    holder.target.reclaim(holder.now, FencingToken(9));
    let outcome = Conclusion::look(&mut holder, BOOT, run);
    assert_eq!(outcome.outlived, []);
}

/// Guards against a false alarm about a run with the number of one that was never started, which this holder
/// has started at another request.
#[test]
fn run_that_is_requested_again_has_not_outlived_its_end() {
    let (mut holder, run) = Conclusion::NeverStarted.reach();
    let (again, _) = holder.start(0, StartAnswer::Accepted(None));
    assert_eq!(again, run);
    let outcome = Conclusion::look(&mut holder, BOOT, run);
    assert_eq!(outcome.outlived, []);
}

/// Guards against a false alarm by a report to a poll that was sent before the end was reported.
#[test]
fn report_to_an_earlier_poll_shows_no_outlived_run() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    let regular = holder.plan();
    let overtaken = holder.report(vec![run], vec![]);
    holder.now = holder.now + ms(5);
    holder.target.poll_now(holder.now);
    let quick = holder.plan();
    holder.now = holder.now + ms(1);
    let later = holder.report(vec![], vec![]);
    assert_eq!(holder.answer(&quick, &later).ended.len(), 1);
    assert_eq!(holder.answer(&regular, &overtaken).outlived, []);
}

/// Guards against a crash that counts for no task because an earlier refused connection, after which the
/// same instance has responded, was taken for it.
#[test]
fn crash_after_a_false_alarm_is_noticed() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    assert!(holder.target.notice_crash().is_some());
    assert_eq!(holder.target.notice_crash(), None);
    holder.pause();
    holder.exchange(vec![run], vec![]);
    let crash = holder.target.notice_crash().expect("a crash");
    assert_eq!(crash.alone, Some(task(0)));
}

/// Guards against a crash that counts for a task which the next instance of the target has started.
#[test]
fn run_of_the_next_instance_is_not_blamed_for_the_crash() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    let (later, _) = holder.start(1, StartAnswer::Accepted(None));
    holder.pause();
    let plan = holder.plan();
    let report = PollReport {
        boot: Some(TargetBoot(BOOT.0 + 1)),
        ..holder.report(vec![later], vec![])
    };
    let crash = holder.answer(&plan, &report).crash.expect("a crash");
    assert_eq!(crash.tasks, [task(0)]);
}

fn report_of_instance(holder: &Holder, boot: u64, running: Vec<RunName>) -> PollReport {
    PollReport {
        boot: Some(TargetBoot(boot)),
        ..holder.report(running, vec![])
    }
}

/// Guards against a run of an earlier instance that is still in the ledger and is blamed for the next
/// crash too, so that a task is given up after one crash (fault run, `Resizing`, seed 10262).
#[test]
fn run_of_an_earlier_instance_is_not_blamed_for_a_second_crash() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    holder.target.stop_run(holder.now, &task(0));
    holder.pause();
    let plan = holder.plan();
    let report = report_of_instance(&holder, BOOT.0 + 1, vec![]);
    let crash = holder.answer(&plan, &report).crash.expect("a crash");
    assert_eq!(crash.tasks, [task(0)]);
    assert_eq!(holder.target.ledger().len(), 1, "the stop is not confirmed");
    assert_eq!(holder.target.notice_crash(), None);
    holder.start(1, StartAnswer::Accepted(None));
    holder.pause();
    let plan = holder.plan();
    let report = report_of_instance(&holder, BOOT.0 + 2, vec![]);
    let crash = holder.answer(&plan, &report).crash.expect("a crash");
    assert_eq!((crash.tasks, crash.alone), (vec![task(1)], Some(task(1))));
}

/// Guards against a task that is given up although its only run on a crashed target may never have reached
/// it (fault run, `Resizing`, seed 10262), and against a crash that leaves such a task unsuspected.
#[test]
fn unconfirmed_run_is_suspected_but_not_alone() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::ConnectionLost);
    let crash = holder.target.notice_crash().expect("a crash");
    assert_eq!((crash.tasks, crash.alone), (vec![task(0)], None));
}

/// Guards against a run that counts as confirmed because the holder has told the target to stop it: the
/// target has not listed the run, so that its start request was lost.
#[test]
fn stopped_run_that_never_started_is_not_alone() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::ConnectionLost);
    holder.now = holder.now + ms(5);
    let outcome = holder.exchange(vec![], vec![]);
    assert_eq!(outcome.missing_starts, [task(0)]);
    holder.target.stop_run(holder.now, &task(0));
    let crash = holder.target.notice_crash().expect("a crash");
    assert_eq!((crash.tasks, crash.alone), (vec![task(0)], None));
}

/// Guards against a task that is blamed for the crash of a target which was silent when the task was
/// requested: the target has never confirmed the run, and may have been down or out of reach (fault run
/// with lists of targets that cannot be read).
#[test]
fn unconfirmed_run_is_not_suspected_of_a_silent_crash() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    holder.start(1, StartAnswer::ConnectionLost);
    while holder.target.is_reachable() {
        holder.pause();
        holder.lose_poll();
    }
    holder.now = holder.target.next_due().max(holder.now) + ms(3000);
    assert_eq!(holder.target.advance(holder.now).len(), 2);
    let plan = holder.plan();
    let report = report_of_instance(&holder, BOOT.0 + 1, vec![]);
    let crash = holder.answer(&plan, &report).crash.expect("a crash");
    assert_eq!((crash.tasks, crash.alone), (vec![task(0)], None));
}

/// Guards against a crash that counts for no task because the holder had requested the run before it
/// learnt that another instance had started it.
#[test]
fn run_that_the_next_instance_lists_is_blamed_for_its_crash() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    let plan = holder.plan();
    let report = report_of_instance(&holder, BOOT.0 + 1, vec![run]);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted && outcome.crash.is_none(), "{outcome:?}");
    let crash = holder.target.notice_crash().expect("a crash");
    assert_eq!(crash.tasks, [task(0)]);
}

/// What a former instance of a target had done with the run that its next instance lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FormerStart {
    /// It had listed the run.
    Listed,
    /// It had listed the run, whose start request was repeated.
    Repeated,
    /// The start request got a response, which may have come from either instance.
    Accepted,
    /// The start request got no response.
    Unanswered,
}

/// Another VM has held the restarted target meanwhile and has started a run there for another coordinator,
/// which counts it as over one lease after its release. Guards against a lease that is renewed for the
/// coordinator of the former instance's run because both runs have the same number.
#[test_case(FormerStart::Listed, true; "the former instance has listed the run")]
#[test_case(FormerStart::Repeated, false; "a copy of its start request may have arrived late")]
#[test_case(FormerStart::Accepted, false; "its start request was answered by either instance")]
#[test_case(FormerStart::Unanswered, false; "its start request may have arrived late")]
fn run_that_a_former_instance_had_is_not_that_of_the_next_one(start: FormerStart, ended: bool) {
    let mut holder = Holder::confirmed();
    let run = holder.request_start(0).run;
    let answers = match start {
        FormerStart::Listed | FormerStart::Accepted => vec![StartAnswer::Accepted(None)],
        FormerStart::Repeated => vec![StartAnswer::TimedOut, StartAnswer::Accepted(None)],
        FormerStart::Unanswered => vec![StartAnswer::ConnectionLost],
    };
    for answer in answers {
        holder.now = holder.now + ms(30);
        holder.target.handle_start_response(holder.now, run, answer);
    }
    if let FormerStart::Listed | FormerStart::Repeated = start {
        holder.pause();
        holder.exchange(vec![run], vec![]);
    }
    holder.pause();
    let plan = holder.plan();
    let report = report_of_instance(&holder, BOOT.0 + 1, vec![run]);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted);
    let expected = ended.then_some((run.task, RunEnd::LeaseExpired));
    assert_eq!(ends(&outcome), Vec::from_iter(expected));
    let mut asked = outcome.unknown_runs;
    holder.target.reclaim(holder.now, FencingToken(9));
    let plan = holder.plan();
    let report = report_of_instance(&holder, BOOT.0 + 1, vec![run]);
    asked.extend(holder.answer(&plan, &report).unknown_runs);
    assert_eq!(asked, [run]);
    let renewal = holder.plan().request.lease_end;
    assert_eq!(renewal, None, "the coordinator is asked first");
    assert!(holder.adopt(run, VmIndex::from(0), ms(100)));
    holder.target.poll_now(holder.now);
    assert!(holder.plan().request.lease_end.is_some());
}

/// Guards against a crash that counts for no task because the target was silent, so that its runs had
/// ended with their lease before its next instance responded.
#[test_case(BOOT, false; "the same instance")]
#[test_case(TargetBoot(BOOT.0 + 1), true; "another instance")]
fn silent_crash_is_noticed_with_the_next_instance(boot: TargetBoot, crashed: bool) {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    while holder.target.is_reachable() {
        holder.pause();
        holder.lose_poll();
    }
    holder.now = holder.target.next_due().max(holder.now) + ms(3000);
    assert_eq!(holder.target.advance(holder.now).len(), 1);
    let plan = holder.plan();
    let report = PollReport {
        boot: Some(boot),
        ..holder.report(vec![], vec![])
    };
    let crash = holder.answer(&plan, &report).crash;
    assert_eq!(
        crash.map(|crash| crash.tasks),
        crashed.then(|| vec![task(0)])
    );
}

/// The refusal of another request makes the holder reconfirm its target while a retried start is in
/// flight. Guards against taking a refusal of the retry as proof that nothing was started.
#[test]
fn retried_start_is_remembered_during_reconfirmation() {
    let mut holder = Holder::confirmed();
    let run = holder.request_start(0).run;
    let timed_out = StartAnswer::TimedOut;
    holder
        .target
        .handle_start_response(holder.now, run, timed_out);
    holder.target.reconfirm(holder.now);
    let refused = StartAnswer::Refused(StartRefusal::OldRun, None);
    let outcome = holder
        .target
        .handle_start_response(holder.now, run, refused);
    assert_eq!(outcome, StartOutcome::Uncertain);
}

/// A holder whose target has had a run for longer than a lease, and which hears nothing from the
/// coordinator any more.
fn holder_without_coordinator(lease_left: Duration) -> (Holder, RunName) {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    for _ in 0..3 {
        holder.pause();
        holder.exchange(vec![run], vec![]);
    }
    holder.pause();
    let limit = holder.now + lease_left;
    holder.limit_coordinator(limit - holder.settings.coordinator_timeout);
    (holder, run)
}

/// Guards against a run that outlasts the time by which its coordinator, which the holder does not
/// hear, counts it as ended.
#[test]
fn lease_ends_at_the_limit_of_the_coordinator() {
    let (mut holder, run) = holder_without_coordinator(ms(300));
    let plan = holder.plan();
    // Without the drift that the clock may have until the limit, 6 ms, and has had since its last sample,
    // 8 ms.
    let lease_end = TargetTime(holder.target_time().0 + 286);
    assert_eq!(plan.request.lease_end, Some(lease_end));
    assert_eq!(plan.request.wait, ms(147), "the lease must be renewed soon");
    let report = holder.report(vec![run], vec![]);
    holder.now = holder.now + plan.request.wait;
    holder.answer(&plan, &report);
    assert_eq!(
        holder.target.free_capacity(holder.now),
        ResourceVector::default(),
        "a start would extend the lease"
    );
}

/// A lost coordinator is heard again while the target has not confirmed the stop of its run. Guards
/// against a lease that is extended for a run which the coordinator counts as dropped.
#[test]
fn run_to_be_stopped_keeps_its_lease_limit() {
    let (mut holder, run) = holder_without_coordinator(ms(300));
    let plan = holder.plan();
    holder.target.stop_run(holder.now, &run.task).unwrap();
    holder.now = holder.now + plan.request.wait;
    let report = holder.report(vec![run], vec![]);
    holder.answer(&plan, &report);
    holder.limit_coordinator(holder.now);
    // 98% of the 153 ms that are left, rounded down.
    let lease_end = TargetTime(holder.target_time().0 + 149);
    assert_eq!(holder.plan().request.lease_end, Some(lease_end));
}

/// Guards against a lease that goes on for a run that is to be stopped, because this VM is its coordinator
/// and the stop requests are lost: its client sends the job again after a fixed time.
#[test]
fn own_run_to_be_stopped_has_a_lease_limit() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    holder.target.stop_run(holder.now, &run.task).unwrap();
    let limit = holder.target_time().0 + millis_of(holder.settings.coordinator_timeout);
    for _ in 0..12 {
        let plan = holder.plan();
        let lease_end = plan.request.lease_end;
        assert!(
            lease_end <= Some(TargetTime(limit)),
            "{lease_end:?}, not {limit}"
        );
        holder.target.retry_stop(holder.now, &run.task).unwrap();
        let report = holder.report(vec![run], vec![]);
        holder.now = holder.now + plan.request.wait;
        holder.answer(&plan, &report);
    }
}

/// A new holder is told to keep a run that it has found, and stops it before its next poll. Guards
/// against a lease without a limit for a run that its coordinator counts as dropped.
#[test]
fn adopted_run_to_be_stopped_has_a_lease_limit() {
    let mut holder = Holder::claiming();
    let found = RunName {
        task: task(0),
        run: RunNumber(1),
    };
    holder.exchange(vec![found], vec![]);
    let named = holder.now;
    let coordinator = VmIndex::from(0);
    holder.limit_coordinator(named);
    assert!(holder.adopt(found, coordinator, ms(9000)));
    holder.target.stop_run(holder.now, &found.task).unwrap();
    let limit = holder.target_time().0 + millis_of(holder.settings.coordinator_timeout);
    for _ in 0..5 {
        let plan = holder.plan();
        let lease_end = plan.request.lease_end;
        assert!(
            lease_end <= Some(TargetTime(limit)),
            "{lease_end:?}, not {limit}"
        );
        let report = holder.report(vec![found], vec![]);
        holder.now = holder.now + ms(400);
        holder.answer(&plan, &report);
    }
}

/// Guards against a lease that goes on after its limit because each poll renews it until the present
/// time, which is in the future on a target whose clock the holder estimates ahead.
#[test]
fn lease_is_not_renewed_after_its_limit() {
    let (mut holder, run) = holder_without_coordinator(ms(300));
    let limit = TargetTime(holder.target_time().0 + 300);
    for _ in 0..8 {
        let plan = holder.plan();
        let lease_end = plan.request.lease_end;
        assert!(lease_end <= Some(limit), "{lease_end:?}, not {limit}");
        let report = holder.report(vec![run], vec![]);
        holder.now = holder.now + plan.request.wait.max(ms(1));
        holder.answer(&plan, &report);
    }
}

/// A target that was taken over cannot be reached any more. Guards against counting its runs as ended
/// while the lease of the former holder lasts.
#[test]
fn runs_of_a_former_holder_end_with_its_lease() {
    let mut holder = Holder::claiming();
    let found = RunName {
        task: task(0),
        run: RunNumber(1),
    };
    let outcome = holder.exchange(vec![found], vec![]);
    assert_eq!(outcome.unknown_runs, [found]);
    let confirmed_at = holder.now;
    while !holder.lose_poll() {}
    let lease = holder.settings.lease;
    assert!(holder.now < confirmed_at + lease);
    assert_eq!(holder.target.advance(confirmed_at + lease), []);
    let expired = holder.target.advance(confirmed_at + lease * 2);
    assert_eq!(expired.len(), 1);
}

/// Guards against counting the runs of an unreachable target as ended while the lease lasts that the
/// latest poll has granted.
#[test]
fn runs_of_an_unreachable_target_last_as_long_as_the_latest_lease() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    for _ in 0..3 {
        holder.pause();
        holder.exchange(vec![run], vec![]);
    }
    holder.pause();
    let granted_at = holder.now;
    assert!(holder.plan().request.lease_end.is_some());
    holder.target.reconfirm(holder.now);
    while !holder.lose_poll() {}
    let lease = holder.settings.lease;
    assert!(holder.now < granted_at + lease);
    assert_eq!(holder.target.advance(granted_at + lease), []);
    assert_eq!(holder.target.advance(granted_at + lease * 2).len(), 1);
}

/// Guards against a second run while the first one still runs on the next instance of a target: its clock has
/// begun anew, so that the end of the lease in the start request is far ahead there.
#[test_case(StartAnswer::Accepted(None), ms(1); "with a response without a time")]
#[test_case(StartAnswer::Accepted(Some(TargetTime(100))), ms(1); "with a fast response")]
#[test_case(StartAnswer::Accepted(Some(TargetTime(100))), ms(240); "with a slow response")]
#[test_case(StartAnswer::TimedOut, ms(240); "without a response")]
fn run_that_the_next_instance_may_have_started_has_a_whole_lease(
    answer: StartAnswer,
    took: Duration,
) {
    let mut holder = Holder::confirmed();
    holder.pause();
    let poll = holder.plan();
    holder.now = holder.now + ms(300);
    let run = holder.request_start(0).run;
    let expires_at = holder.now + max_lease_duration(holder.settings.start_window);
    // The restart breaks the connection of the poll.
    holder
        .target
        .handle_poll_failure(holder.now, poll.number, false);
    holder.now = holder.now + took;
    holder.target.handle_start_response(holder.now, run, answer);
    let carried_out_by = match answer {
        StartAnswer::Accepted(_) => holder.now,
        _ => expires_at,
    };
    holder.lose_target();
    let ended_by = carried_out_by + max_lease_duration(holder.settings.lease) + TARGET_EXPIRY_TIME;
    assert!(
        holder.now >= ended_by,
        "the run may last until {ended_by}, and is reported as ended at {}",
        holder.now
    );
}

/// Guards against counting each run as longer than its lease because its start might have been carried out by
/// another instance, although the time in the response shows that the clock has not begun anew.
#[test]
fn run_whose_response_continues_the_clock_ends_with_the_latest_lease() {
    let mut holder = Holder::confirmed();
    holder.pause();
    let poll = holder.plan();
    let granted_at = holder.now;
    holder.now = holder.now + ms(300);
    holder.start(0, StartAnswer::Accepted(Some(holder.target_time())));
    holder
        .target
        .handle_poll_failure(holder.now, poll.number, false);
    holder.lose_target();
    let lease = max_lease_duration(holder.settings.lease);
    assert!(holder.now <= granted_at + lease + TARGET_EXPIRY_TIME + ms(1));
}

/// Guards against counting each run as longer than the lease because its start might have been carried out by
/// another instance, although the present one has listed it.
#[test]
fn listed_run_of_an_unreachable_target_ends_with_the_latest_lease() {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    holder.exchange(vec![run], vec![]);
    holder.pause();
    let poll = holder.plan();
    let granted_at = holder.now;
    holder.now = holder.now + ms(300);
    holder.request_start(1);
    holder
        .target
        .handle_poll_failure(holder.now, poll.number, false);
    holder.lose_target();
    let lease = max_lease_duration(holder.settings.lease);
    assert!(holder.now <= granted_at + lease + TARGET_EXPIRY_TIME + ms(1));
    assert_eq!(
        holder.target.ledger().len(),
        1,
        "the run without a response"
    );
}

/// A run of the task with this index.
fn run_of(index: u16, number: u32) -> RunName {
    RunName {
        task: task(index),
        run: RunNumber(number),
    }
}

/// Guards against renewing the lease of two runs of one task on one target, whichever has the higher number:
/// a target runs all that it is told to start.
#[test_case(5, 6)]
#[test_case(6, 5)]
fn run_beside_the_known_one_is_stopped(known: u32, duplicate: u32) {
    let mut holder = Holder::confirmed();
    let (known, duplicate) = (run_of(0, known), run_of(0, duplicate));
    holder.pause();
    holder.exchange(vec![known], vec![]);
    holder.exchange(vec![known], vec![]);
    assert!(holder.adopt(known, VmIndex::from(0), ms(100)));
    holder.pause();
    let outcome = holder.exchange(vec![known.min(duplicate), known.max(duplicate)], vec![]);
    assert_eq!(outcome.duplicate_runs, [duplicate]);
    assert_eq!(outcome.ended, []);
    assert_eq!(outcome.unknown_runs, []);
    assert_eq!(
        holder.target.free_capacity(holder.now),
        ResourceVector::default()
    );
    let plan = holder.plan();
    assert_eq!(
        (plan.request.lease_end, plan.request.wait),
        (None, Duration::ZERO)
    );
    let report = holder.report(vec![known, duplicate], vec![]);
    assert_eq!(
        holder.answer(&plan, &report).duplicate_runs,
        [],
        "too early for a repetition"
    );
    holder.now = holder.now + holder.settings.stop_retry_interval;
    let repeated = holder.exchange(vec![known, duplicate], vec![]);
    assert_eq!(repeated.duplicate_runs, [duplicate]);
    let stopped = ended(1, duplicate, RunEnd::Stopped);
    let outcome = holder.exchange(vec![known], vec![stopped]);
    assert_eq!(outcome.duplicate_runs, []);
    assert!(holder.target.ledger().get(&known.task).is_some());
    assert!(holder.plan().request.lease_end.is_some());
}

/// Guards against taking a run for over that the target is about to start, because the target lists a later
/// run of the task.
#[test]
fn requested_run_is_not_over_beside_a_later_one() {
    let mut holder = Holder::confirmed();
    let requested = holder.request_start(0).run;
    holder.pause();
    let later = run_of(0, 2);
    let outcome = holder.exchange(vec![later], vec![]);
    assert_eq!(outcome.ended, []);
    assert_eq!(outcome.duplicate_runs, [later]);
    let run = holder.target.ledger().get(&requested.task);
    assert_eq!(run.map(|run| run.run), Some(requested.run));
}

/// Guards against counting the runs of a target that answers as ended because no lease was granted for
/// a while.
#[test]
fn runs_of_a_reachable_target_do_not_end_with_the_time() {
    let mut holder = Holder::confirmed();
    holder.start(0, StartAnswer::Accepted(None));
    assert_eq!(holder.target.advance(holder.now + ms(9000)), []);
}

/// Guards against starting a run whose forwarded job limits it on a target that still has the lease of a
/// former holder.
#[test]
fn claimed_target_may_have_the_lease_of_a_former_holder() {
    let mut holder = Holder::claiming();
    holder.now = holder.now + ms(500);
    holder.exchange(vec![], vec![]);
    let until = holder.now + max_lease_duration(holder.settings.lease);
    assert!(!holder.target.lease_ends_by(holder.now, until - ms(1)));
    assert!(holder.target.lease_ends_by(holder.now, until));
}

/// Guards against a claim that renews the lease of runs which this VM does not know, and whose coordinators
/// count on a lease that nobody renews.
#[test_case(false; "the same claim after a pause")]
#[test_case(true; "a new claim")]
fn poll_that_claims_renews_no_lease(reclaimed: bool) {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    match reclaimed {
        true => holder.target.reclaim(holder.now, FencingToken(9)),
        false => holder.target.reconfirm(holder.now),
    }
    let plan = holder.plan();
    assert_eq!(plan.request.lease_end, None, "the claim is not confirmed");
    assert_eq!(plan.request.wait, Duration::ZERO);
    let report = holder.report(vec![run], vec![]);
    holder.answer(&plan, &report);
    let lease_end = holder.plan().request.lease_end;
    let lease = TargetTime(holder.target_time().0 + 1000);
    assert_eq!(lease_end, Some(lease), "renewed without waiting");
}

/// A call that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailedCall {
    /// The connection of a poll was broken or refused, or another instance has responded to it.
    Poll,
    /// As `Poll`, while another poll, which was sent before, is open.
    ImmediatePoll,
    /// The connection of a start request was broken.
    BrokenStart,
    /// The connection for a start request could not be made.
    RefusedStart,
    /// The response to a poll was lost.
    SilentPoll,
}

/// Guards against a lease that is renewed on the next instance of a target, which may have another holder's
/// runs and counts the end of the lease on another clock.
#[test_case(FailedCall::Poll, true)]
#[test_case(FailedCall::ImmediatePoll, true)]
#[test_case(FailedCall::BrokenStart, true)]
#[test_case(FailedCall::RefusedStart, true)]
#[test_case(FailedCall::SilentPoll, false; "a lost response shows no restart")]
fn lease_is_not_renewed_before_the_same_instance_has_answered(call: FailedCall, doubted: bool) {
    let mut holder = Holder::confirmed();
    let (run, _) = holder.start(0, StartAnswer::Accepted(None));
    holder.pause();
    let open = holder.plan();
    let early = holder.report(vec![run], vec![]);
    holder.now = holder.now + ms(5);
    match call {
        FailedCall::Poll | FailedCall::SilentPoll => {
            let silent = call == FailedCall::SilentPoll;
            holder
                .target
                .handle_poll_failure(holder.now, open.number, silent);
        }
        FailedCall::ImmediatePoll => {
            holder.target.poll_now(holder.now);
            let immediate = holder.plan();
            holder
                .target
                .handle_poll_failure(holder.now, immediate.number, false);
            holder.answer(&open, &early);
        }
        FailedCall::BrokenStart | FailedCall::RefusedStart => {
            let answer = match call {
                FailedCall::BrokenStart => StartAnswer::ConnectionLost,
                _ => StartAnswer::NotSent,
            };
            holder.start(1, answer);
            holder.answer(&open, &early);
        }
    }
    holder.now = holder.now.max(holder.target.next_due());
    let poll = holder.plan();
    assert_eq!(poll.request.lease_end.is_none(), doubted, "{poll:?}");
    assert_eq!(poll.request.wait, Duration::ZERO, "answered at once");
    holder.now = holder.now + ms(2);
    let report = holder.report(vec![run], vec![]);
    holder.answer(&poll, &report);
    let renewed = Some(TargetTime(holder.target_time().0 + 1000));
    assert_eq!(holder.plan().request.lease_end, renewed);
}

/// The lease end of a target whose connections are reset, and what its polls do.
struct ResetTarget {
    holder: Holder,
    random: ChaCha8Rng,
    lease_end: TargetTime,
}

impl ResetTarget {
    /// The time in which connections are reset, and that between the starts of two such times.
    const RESETS: Duration = Duration::from_millis(200);
    const PERIOD: Duration = Duration::from_millis(1000);

    /// Whether a poll that is sent now, or is open now, loses its connection.
    fn resets(&mut self) -> bool {
        let micros = (self.holder.now.0 - START.0) % Self::PERIOD.as_micros() as u64;
        micros < Self::RESETS.as_micros() as u64 && self.random.random_bool(0.5)
    }

    /// Sends a poll and applies its result; returns how long the lease lasts after it.
    fn poll(&mut self, run: RunName) -> Duration {
        self.holder.now = self.holder.now.max(self.holder.target.next_due());
        let plan = self.holder.plan();
        // A connection is reset before or after the request has arrived, or while the poll waits.
        let reset = self.resets();
        let arrives = !reset || self.random.random_bool(0.5);
        self.holder.now = self.holder.now + ms(1);
        if arrives {
            let renewed = plan.request.lease_end.unwrap_or_default();
            self.lease_end = self.lease_end.max(renewed);
        }
        if !reset {
            self.holder.now = self.holder.now + plan.request.wait;
        }
        let left = self.lease_end.0.saturating_sub(self.holder.target_time().0);
        let report = self.holder.report(vec![run], vec![]);
        self.holder.now = self.holder.now + ms(1);
        match reset || self.resets() {
            true => {
                let now = self.holder.now;
                let target = &mut self.holder.target;
                target.handle_poll_failure(now, plan.number, false);
            }
            false => {
                self.holder.answer(&plan, &report);
            }
        }
        ms(left)
    }
}

/// Guards against runs that end because each broken connection delays the renewal of their lease: one poll
/// in two loses its connection for 200 ms in each second.
#[test]
fn runs_outlast_times_in_which_connections_are_reset() {
    for seed in 0..50 {
        let mut holder = Holder::confirmed();
        let (run, _) = holder.start(0, StartAnswer::Accepted(None));
        holder.pause();
        let lease_end = TargetTime(holder.target_time().0 + 600);
        let random = ChaCha8Rng::seed_from_u64(seed);
        let mut target = ResetTarget {
            holder,
            random,
            lease_end,
        };
        while target.holder.now < START + ms(30_000) {
            let left = target.poll(run);
            assert!(left > ms(0), "seed {seed}: the lease has ended");
        }
        assert_eq!(target.holder.target.ledger().len(), 1, "seed {seed}");
    }
}

/// Guards against a start request that extends the lease of a run whose coordinator is not known.
#[test]
fn start_is_not_repeated_beside_a_run_without_a_coordinator() {
    let mut holder = Holder::confirmed();
    let name = holder.request_start(0).run;
    let found = RunName {
        task: task(1),
        run: RunNumber(1),
    };
    holder.now = holder.now + ms(30);
    holder.exchange(vec![found], vec![]);
    let timed_out = StartAnswer::TimedOut;
    let outcome = holder
        .target
        .handle_start_response(holder.now, name, timed_out);
    assert_eq!(outcome, StartOutcome::Uncertain);
}

/// The time that a target may take to end a run whose lease has expired.
const TARGET_EXPIRY_TIME: Duration = Duration::from_millis(50);

/// The call that was slow on its way to the target, with a response that arrived at once.
#[derive(Clone, Copy, Debug)]
enum SlowCall {
    Claim,
    Start,
}

/// The way to the target of a slow call.
const SLOW_WAY: Duration = Duration::from_millis(240);

impl Holder {
    /// Sends a poll that waits at the target, and applies its report.
    fn wait_at_target(&mut self, running: Vec<RunName>) {
        let plan = self.plan();
        self.now = self.now + plan.request.wait;
        let report = self.report(running, vec![]);
        self.answer(&plan, &report);
    }

    /// A target with a run, of whose clock the slow call has given the latest sample that is not of a
    /// poll that has waited.
    fn after_slow_call(call: SlowCall, drift_percent: u64) -> (Self, RunName) {
        let mut holder = Self::claiming();
        holder.drift_percent = drift_percent;
        let claim = holder.plan();
        if let SlowCall::Claim = call {
            holder.now = holder.now + SLOW_WAY;
        }
        let report = holder.report(vec![], vec![]);
        holder.answer(&claim, &report);
        if let SlowCall::Claim = call {
            let (run, _) = holder.start(0, StartAnswer::Accepted(None));
            return (holder, run);
        }
        for _ in 0..6 {
            holder.wait_at_target(vec![]);
        }
        let run = holder.request_start(0).run;
        holder.now = holder.now + SLOW_WAY;
        let accepted = StartAnswer::Accepted(Some(holder.target_time()));
        let outcome = holder
            .target
            .handle_start_response(holder.now, run, accepted);
        assert_eq!(outcome, StartOutcome::Started);
        (holder, run)
    }

    /// Loses polls until the target is unreachable, and then advances the time until its runs are reported
    /// as ended. Returns the latest lease end that the polls have named.
    fn lose_target(&mut self) -> Option<TargetTime> {
        let mut latest = None;
        while self.target.is_reachable() {
            let plan = self.plan();
            latest = latest.max(plan.request.lease_end);
            self.now = self.now + plan.options.timeout;
            self.target.handle_poll_failure(self.now, plan.number, true);
        }
        let given_up = self.now + ms(10_000);
        while self.target.advance(self.now).is_empty() {
            self.now = self.now + ms(1);
            assert!(self.now < given_up, "the runs never end");
        }
        latest
    }
}

/// Guards against a second run while the first one still runs on an unreachable target, because a
/// request was slow on its way there so that the lease ends later than the holder counts.
#[test_matrix([SlowCall::Claim, SlowCall::Start], [0, 2])]
fn lease_renewed_after_a_slow_call_has_ended_when_its_runs_are_reported(
    call: SlowCall,
    drift_percent: u64,
) {
    let (mut holder, _) = Holder::after_slow_call(call, drift_percent);
    let lease_end = holder.lose_target().expect("a renewal");
    let ended_by = holder.target_time_at(holder.now - TARGET_EXPIRY_TIME);
    assert!(
        lease_end <= ended_by,
        "the lease ends at {lease_end:?}, its runs are reported as ended at {ended_by:?}"
    );
}

/// Guards against a second run of a task whose start request the target still accepts although the holder
/// has reported that the run never started.
#[test_matrix([SlowCall::Claim, SlowCall::Start], [0, 2])]
fn start_request_after_a_slow_call_has_expired_when_it_counts_as_never_started(
    call: SlowCall,
    drift_percent: u64,
) {
    let (mut holder, run) = Holder::after_slow_call(call, drift_percent);
    let request = holder.request_start(1);
    let lost = StartAnswer::ConnectionLost;
    holder
        .target
        .handle_start_response(holder.now, request.run, lost);
    let polled_at = loop {
        holder.target.poll_now(holder.now);
        let outcome = holder.exchange(vec![run], vec![]);
        if !outcome.never_started.is_empty() {
            break holder.target_time();
        }
        holder.now = holder.now + ms(1);
    };
    let lease_end = request.lease_end;
    assert!(
        lease_end <= polled_at,
        "the request expires at {lease_end:?}, the run counts as never started at {polled_at:?}"
    );
}

/// Guards against a run that outlasts the time by which its coordinator, which the holder does not
/// hear, counts it as ended, because a request was slow on its way to the target.
#[test_matrix([SlowCall::Claim, SlowCall::Start], [0, 2])]
fn lease_limited_after_a_slow_call_ends_by_the_limit(call: SlowCall, drift_percent: u64) {
    let (mut holder, run) = Holder::after_slow_call(call, drift_percent);
    for _ in 0..3 {
        holder.wait_at_target(vec![run]);
    }
    let limit = holder.now + ms(300);
    holder.limit_coordinator(limit - holder.settings.coordinator_timeout);
    let lease_end = holder.plan().request.lease_end.expect("a renewal");
    let limit = holder.target_time_at(limit);
    assert!(
        lease_end <= limit,
        "the lease ends at {lease_end:?}, the limit is {limit:?}"
    );
}

/// Guards against a lease that is counted from the clock of another process, which has refused a request
/// that was not meant for it.
#[test]
fn time_of_another_instance_is_no_sample_of_the_clock() {
    let mut holder = Holder::claiming();
    let claim = holder.plan();
    holder.now = holder.now + ms(3);
    let report = holder.report(vec![], vec![]);
    holder.answer(&claim, &report);
    let other = TargetTime(holder.target_time().0 + 60_000);
    let refused = StartAnswer::Refused(StartRefusal::OtherInstance, Some(other));
    let (_, outcome) = holder.start(0, refused);
    assert_eq!(
        outcome,
        StartOutcome::NotStarted(StartRefusal::OtherInstance)
    );
    holder.target.poll_now(holder.now);
    let lease_end = holder.plan().request.lease_end.expect("a renewal");
    let ended_by = holder.target_time_at(holder.now + ms(1000));
    assert!(lease_end <= ended_by, "{lease_end:?} after {ended_by:?}");
}

/// Guards against a start that extends the lease beyond the limit of a run because the target's clock is
/// slow: a start window of 250 ms may last 255.2 ms.
#[test_case(255, false)]
#[test_case(256, true)]
fn start_window_ends_by_the_limit_on_a_slow_clock(lease_left: u64, admitted: bool) {
    let (mut holder, run) = holder_without_coordinator(ms(lease_left));
    let plan = holder.plan();
    let report = holder.report(vec![run], vec![]);
    holder.answer(&plan, &report);
    let free = holder.target.free_capacity(holder.now);
    assert_eq!(free != ResourceVector::default(), admitted);
}

/// Guards against a run of a forwarded job that outlasts its limit because the target's clock is slow: a
/// lease of 1,000 ms may last 1,020.5 ms, a start window of 250 ms 255.2 ms.
#[test]
fn lease_that_a_new_run_finds_counts_with_the_drift_of_the_clock() {
    let mut holder = Holder::confirmed();
    holder.exchange(vec![], vec![]);
    let now = holder.now;
    assert!(!holder.target.lease_ends_by(now, now + ms(1020)));
    assert!(holder.target.lease_ends_by(now, now + ms(1021)));
    let later = now + ms(2000);
    assert!(!holder.target.lease_ends_by(later, later + ms(255)));
    assert!(holder.target.lease_ends_by(later, later + ms(256)));
}

/// A call to a target.
#[derive(Clone, Copy, Debug)]
enum Call {
    Poll,
    AnsweredStart,
    /// A start of which neither the first request nor its repetition is answered.
    LostStart,
}

/// A call, and the times that it takes.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    call: Call,
    /// The time since the exchange before, by which the sample of the clock ages.
    pause: Duration,
    /// How long the VM stands still between the decision and the sending.
    stall: Duration,
    way_there: Duration,
    way_back: Duration,
    /// How long ago the latest message was sent that the coordinator has named.
    coordinator_silence: Duration,
}

fn micros(max_millis: u64) -> impl Strategy<Value = Duration> {
    let short = 0..=10_000_u64;
    let any = 0..=max_millis * 1000;
    prop_oneof![short, any].prop_map(Duration::from_micros)
}

fn exchanges() -> impl Strategy<Value = Vec<Exchange>> {
    let call = prop_oneof![
        3 => Just(Call::Poll),
        2 => Just(Call::AnsweredStart),
        1 => Just(Call::LostStart),
    ];
    let times = (
        micros(3000),
        micros(400),
        micros(300),
        micros(300),
        micros(1500),
    );
    let exchange = (call, times).prop_map(
        |(call, (pause, stall, way_there, way_back, coordinator_silence))| Exchange {
            call,
            pause,
            stall,
            way_there,
            way_back,
            coordinator_silence,
        },
    );
    proptest::collection::vec(exchange, 1..12)
}

/// A holder, and what its target knows. The target shortens no lease, unlike a real one.
struct LeaseModel {
    holder: Holder,
    /// The end of the target's lease.
    lease_end: TargetTime,
    /// The runs on the target.
    running: Vec<RunName>,
    /// When the start requests without a response expire.
    lost_starts: Vec<(TaskName, TargetTime)>,
    heard: TimePoint,
    starts: u16,
}

impl LeaseModel {
    /// Claims a target whose former holder has just granted a whole lease.
    fn new(drift_percent: u64, claim: Exchange) -> Self {
        let mut holder = Holder::claiming();
        holder.drift_percent = drift_percent;
        let plan = holder.plan();
        holder.now = holder.now + claim.stall + claim.way_there;
        let report = holder.report(vec![], vec![]);
        let lease = u64::try_from(holder.settings.lease.as_millis()).unwrap();
        let lease_end = TargetTime(holder.target_time().0 + lease);
        holder.now = holder.now + claim.way_back;
        holder.answer(&plan, &report);
        Self {
            heard: holder.now,
            holder,
            lease_end,
            running: Vec::new(),
            lost_starts: Vec::new(),
            starts: 0,
        }
    }

    fn limits(&self) -> LeaseLimits<'_> {
        LeaseLimits::new(&self.holder.links, &self.holder.settings, self.holder.now)
    }

    /// Grants a lease, which must end by what the coordinators of all runs count.
    fn grant(&mut self, decided_at: TimePoint, lease_end: TargetTime) {
        let settings = &self.holder.settings;
        let renewed = self.heard + settings.coordinator_timeout;
        let runs = self.holder.target.ledger().runs();
        let counted = runs.map(|(_, run)| {
            let first = run.since + settings.lease * 100 / 98 + Duration::from_micros(1);
            renewed.max(first)
        });
        if let Some(counted) = counted.min() {
            let limit = self.holder.target_time_at(counted.max(decided_at));
            assert!(
                lease_end <= limit,
                "{lease_end:?} after the limit {limit:?}"
            );
        }
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Ends the runs if the lease has expired.
    fn advance_target(&mut self) {
        if self.holder.target_time() >= self.lease_end {
            self.running.clear();
        }
    }

    /// No limit that a new run meets is before the end of the lease.
    fn check_limits_of_new_runs(&self) {
        let now = self.holder.now;
        for ahead in (0..1500).step_by(50) {
            let limit = now + ms(ahead);
            if self.holder.target.lease_ends_by(now, limit) {
                let limit = self.holder.target_time_at(limit);
                assert!(self.lease_end <= limit, "{:?} {limit:?}", self.lease_end);
            }
        }
    }

    fn play(&mut self, exchange: Exchange) {
        self.holder.now = self.holder.now + exchange.pause;
        let decided_at = self.holder.now;
        self.heard = self.heard.max(decided_at - exchange.coordinator_silence);
        self.holder.limit_coordinator(self.heard);
        self.check_limits_of_new_runs();
        match exchange.call {
            Call::Poll => self.play_poll(exchange),
            Call::AnsweredStart | Call::LostStart => self.play_start(exchange),
        }
    }

    fn play_poll(&mut self, exchange: Exchange) {
        let holder = &mut self.holder;
        let decided_at = holder.now;
        holder.target.poll_now(holder.now);
        let plan = holder.plan();
        holder.now = holder.now + exchange.stall + exchange.way_there;
        self.advance_target();
        if let Some(lease_end) = plan.request.lease_end {
            self.grant(decided_at, lease_end);
        }
        self.holder.now = self.holder.now + plan.request.wait;
        self.advance_target();
        let report = self.holder.report(self.running.clone(), vec![]);
        self.holder.now = self.holder.now + exchange.way_back;
        let outcome = self.holder.answer(&plan, &report);
        let polled_at = self.holder.target_time_at(decided_at);
        for (task, _) in outcome.never_started {
            let mut lost = self.lost_starts.iter().filter(|(lost, _)| *lost == task);
            assert!(
                lost.all(|(_, expires_at)| *expires_at <= polled_at),
                "{task} counts as never started at {polled_at:?}: {:?}",
                self.lost_starts
            );
        }
    }

    fn play_start(&mut self, exchange: Exchange) {
        let limits = LeaseLimits::new(&self.holder.links, &self.holder.settings, self.holder.now);
        let ledger = self.holder.target.ledger_mut();
        ledger.advance_lease_limits(&limits);
        if self.holder.target.free_capacity(self.holder.now) == ResourceVector::default() {
            return;
        }
        let decided_at = self.holder.now;
        self.starts += 1;
        let request = self.holder.request_start(self.starts);
        let limit = self
            .limits()
            .coordinator_limit(self.holder.target.ledger().get(&request.run.task).unwrap());
        self.holder
            .target
            .ledger_mut()
            .get_mut(&request.run.task)
            .unwrap()
            .lease_limit = limit;
        self.holder.now = self.holder.now + exchange.stall + exchange.way_there;
        self.advance_target();
        if let Call::LostStart = exchange.call {
            self.grant(decided_at, request.lease_end);
            let mut expires_at = request.lease_end;
            let retried_at = self.holder.now;
            let timed_out = StartAnswer::TimedOut;
            let outcome =
                self.holder
                    .target
                    .handle_start_response(self.holder.now, request.run, timed_out);
            if let StartOutcome::Retry(plan) = outcome {
                self.grant(retried_at, plan.request.lease_end);
                expires_at = expires_at.max(plan.request.lease_end);
                self.holder.now = self.holder.now + exchange.way_back;
                let lost = StartAnswer::ConnectionLost;
                self.holder
                    .target
                    .handle_start_response(self.holder.now, request.run, lost);
            }
            self.lost_starts.push((request.run.task, expires_at));
            return;
        }
        let time = Some(self.holder.target_time());
        let answer = match Some(request.lease_end) > time {
            true => StartAnswer::Accepted(time),
            false => StartAnswer::Refused(StartRefusal::Late, time),
        };
        if let StartAnswer::Accepted(_) = answer {
            self.grant(decided_at, request.lease_end);
            self.running.push(request.run);
        }
        self.holder.now = self.holder.now + exchange.way_back;
        self.holder
            .target
            .handle_start_response(self.holder.now, request.run, answer);
    }

    /// Loses the target, which has a run, and checks that its lease has ended when the run is reported as
    /// ended.
    fn lose(&mut self) {
        self.holder.start(u16::MAX, StartAnswer::Accepted(None));
        let latest = self.holder.lose_target();
        let lease_end = latest.unwrap_or_default().max(self.lease_end);
        let ended_by = self
            .holder
            .target_time_at(self.holder.now - TARGET_EXPIRY_TIME);
        assert!(lease_end <= ended_by, "{lease_end:?} after {ended_by:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// Guards against a lease that outlasts what the holder or a coordinator counts, whatever the transit
    /// times, the drift of the target's clock, the age of the sample and the stalls of the VM.
    #[test]
    fn lease_never_outlasts_what_is_counted(
        drift_percent in 0..=2_u64,
        exchanges in exchanges(),
    ) {
        let mut model = LeaseModel::new(drift_percent, exchanges[0]);
        for exchange in exchanges {
            model.play(exchange);
        }
        model.lose();
    }
}

/// Guards against counting the lease of a run by the clock of the former instance after the first report has shown
/// that the next instance has the run.
#[test_case(true; "with a response")]
#[test_case(false; "without a response")]
fn first_report_of_the_next_instance_keeps_the_whole_lease(answered: bool) {
    let mut holder = Holder::confirmed();
    holder.pause();
    let poll = holder.plan();
    holder.now = holder.now + ms(300);
    let run = holder.request_start(0).run;
    // The next instance carries out the request now, with a lease of 1 s on its clock.
    let carried_out_at = holder.now;
    holder
        .target
        .handle_poll_failure(holder.now, poll.number, false);
    holder.now = holder.now + ms(1);
    if answered {
        let answer = StartAnswer::Accepted(Some(TargetTime(100)));
        holder.target.handle_start_response(holder.now, run, answer);
    }
    let plan = holder.plan();
    assert_eq!(plan.request.lease_end, None);
    holder.now = holder.now + ms(1);
    let report = report_of_instance(&holder, BOOT.0 + 1, vec![run]);
    let outcome = holder.answer(&plan, &report);
    assert!(outcome.restarted);
    assert_eq!(outcome.unknown_runs, [run]);
    holder.target.reclaim(holder.now, FencingToken(9));
    assert!(holder.adopt(run, VmIndex::from(0), ms(100)));
    holder.lose_target();
    let ended_by = carried_out_at + holder.settings.lease + TARGET_EXPIRY_TIME;
    assert!(
        holder.now >= ended_by,
        "carried out at {carried_out_at}, may last until {ended_by}, reported as ended at {}",
        holder.now
    );
}
