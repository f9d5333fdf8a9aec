//! A target that this VM holds: its runs, its lease, and when to look at it.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::lease::{
    CallTerms, LookOrder, LookReport, StartAnswer, StartOrder, StartRefusal, StopOrder,
};
use filbertpitch_types::prelude::*;

use crate::clock::{RemoteClock, max_lease_duration};
use crate::health::{HealthSettings, TargetHealth};
use crate::ledger::{CapacityLedger, RunPhase, TargetRun};
use crate::response_timeout::{RttEstimator, TimeoutBounds};

/// What estimates of a target's clock may be off by: a drift of 2% in two seconds, and a round trip.
const CLOCK_ERROR: Duration = Duration::from_millis(60);

/// The looks without an answer, in a row, after which a target may count as unreachable.
const UNREACHABLE_POLLS: u32 = 2;

/// How long a target that does not answer still counts as reachable: several looks follow each other in
/// this time while answers get lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(350);

/// How often a start order is sent until it is answered. Further ones would come too late for most
/// jobs.
const MAX_START_SENDS: u32 = 6;

/// How targets are held.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldSettings {
    /// The lease that each look and each start grants; targets shorten a longer one.
    pub lease: Duration,
    /// How long a target may wait for an end before it answers a look. Two looks may get lost
    /// before the lease ends. A look is open at targets without runs as well: its connection breaks
    /// when the target starts anew.
    pub poll_wait: Duration,
    /// The time beyond that in which a look must be answered.
    pub poll_margin: Duration,
    /// The time between looks at a target that does not answer.
    pub unreachable_poll_interval: Duration,
    /// How long a start order may take to be carried out.
    pub start_window: Duration,
    /// The time between stop orders for the same run.
    pub stop_retry_interval: Duration,
    /// How long a target may wait for an end while answers get lost.
    pub hedged_poll_wait: Duration,
    /// How long answers may take.
    pub response_timeout: TimeoutBounds,
    /// Trust in targets.
    pub health: HealthSettings,
}

impl Default for HeldSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            poll_wait: Duration::from_millis(400),
            poll_margin: Duration::from_millis(250),
            unreachable_poll_interval: Duration::from_millis(150),
            start_window: Duration::from_millis(250),
            stop_retry_interval: Duration::from_millis(100),
            hedged_poll_wait: Duration::from_millis(100),
            response_timeout: TimeoutBounds::default(),
            health: HealthSettings::default(),
        }
    }
}

/// Whether the target has confirmed this VM as its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldPhase {
    /// The first look is on its way.
    Claiming,
    /// It takes orders.
    Confirmed,
}

/// Identifies a look among those at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollNumber(pub u32);

/// A look to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollPlan {
    /// Identifies it in the answer.
    pub number: PollNumber,
    /// The order.
    pub request: LookOrder,
    /// How it is sent.
    pub options: CallTerms,
}

/// A start order that is to be sent, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct StartPlan {
    /// The order.
    pub request: StartOrder,
    /// How it is sent.
    pub options: CallTerms,
}

/// A start order without an answer.
#[derive(Clone, Debug)]
struct PendingStart {
    request: StartOrder,
    sends: u32,
    sent_at: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct PendingPoll {
    number: PollNumber,
    sent_at: TimePoint,
    wait: Duration,
}

/// A run that has ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The task.
    pub task: TaskName,
    /// What was known of the run.
    pub run: TargetRun,
    /// How it ended.
    pub end: RunEnd,
}

/// What a report of the target changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollOutcome {
    /// Runs that have ended.
    pub ended: Vec<EndedRun>,
    /// Orders that were certainly not carried out.
    pub never_started: Vec<(TaskName, TargetRun)>,
    /// Orders without an answer whose runs the target does not list.
    pub missing_starts: Vec<TaskName>,
    /// Ends of runs that this VM does not know.
    pub unknown_ends: Vec<(RunName, RunEnd)>,
    /// Runs that this VM does not know; they are in the ledger now.
    pub unknown_runs: Vec<RunName>,
    /// Whether the target has started anew.
    pub restarted: bool,
    /// Whether the target answers again.
    pub reachable_again: bool,
}

/// What the answer to a start order changes.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The run is not there, and the room is free again.
    NotStarted(StartRefusal),
    /// The order must be sent again. A target starts a run once, however often it is told.
    Retry(StartPlan),
    /// The order did not leave this VM.
    NotSent,
    /// It is not known yet.
    Uncertain,
    /// The order is not open any more; nothing changes.
    Ignored,
}

/// A target that this VM holds.
#[derive(Clone, Debug)]
pub struct HeldTarget {
    settings: HeldSettings,
    token: FencingToken,
    /// When the token was chosen.
    claimed_at: TimePoint,
    phase: HoldPhase,
    boot: Option<TargetBoot>,
    clock: RemoteClock,
    acked_through: u64,
    ledger: CapacityLedger,
    health: TargetHealth,
    /// The regular look.
    pending_poll: Option<PendingPoll>,
    /// A second one that waits as well, while answers get lost.
    hedge_poll: Option<PendingPoll>,
    /// A look that does not wait, beside a regular one that does.
    immediate_poll: Option<PendingPoll>,
    immediate_wanted: bool,
    /// The target's time in the latest report.
    reported_at: TargetTime,
    next_number: PollNumber,
    poll_due: TimePoint,
    failed_polls: u32,
    /// When the last of them was noticed.
    last_failure_at: TimePoint,
    reachable: bool,
    /// The calls that are answered at once.
    round_trips: RttEstimator,
    /// Whether a call got no answer since the last answer.
    response_missing: bool,
    /// Whether an answer was missed although the target is there.
    response_lost: bool,
    /// When the twin look may be sent.
    hedge_due: TimePoint,
    /// When the target has answered last.
    last_response_at: TimePoint,
    pending_starts: BTreeMap<TaskName, PendingStart>,
    /// When everything on the target has certainly lapsed, on the local clock.
    leases_expired_at: TimePoint,
    /// When runs of unknown homes are stopped.
    adoption_due: Option<TimePoint>,
}

impl HeldTarget {
    /// Begins to hold a target.
    pub fn claim(
        settings: HeldSettings,
        token: FencingToken,
        capacity: ResourceVector,
        now: TimePoint,
    ) -> Self {
        let mut ledger = CapacityLedger::default();
        ledger.set_capacity(capacity);
        Self {
            health: TargetHealth::new(settings.health.clone()),
            settings,
            token,
            claimed_at: now,
            phase: HoldPhase::Claiming,
            boot: None,
            clock: RemoteClock::default(),
            acked_through: 0,
            ledger,
            pending_poll: None,
            hedge_poll: None,
            immediate_poll: None,
            immediate_wanted: false,
            reported_at: TargetTime(0),
            next_number: PollNumber(0),
            poll_due: now,
            failed_polls: 0,
            last_failure_at: now,
            reachable: true,
            round_trips: RttEstimator::default(),
            response_missing: false,
            response_lost: false,
            hedge_due: now,
            last_response_at: now,
            pending_starts: BTreeMap::new(),
            leases_expired_at: now,
            adoption_due: None,
        }
    }

    /// The token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Whether the target has confirmed the holder.
    pub fn phase(&self) -> HoldPhase {
        self.phase
    }

    /// Its runs and its room.
    pub fn ledger(&self) -> &CapacityLedger {
        &self.ledger
    }

    /// Its runs and its room, for changes.
    pub fn ledger_mut(&mut self) -> &mut CapacityLedger {
        &mut self.ledger
    }

    /// What its runs say about it.
    pub fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// What its runs say about it, for changes.
    pub fn health_mut(&mut self) -> &mut TargetHealth {
        &mut self.health
    }

    /// Whether it answers.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Whether an answer was missed since the last call although the target is there.
    pub fn take_response_lost(&mut self) -> bool {
        std::mem::take(&mut self.response_lost)
    }

    fn record_response(&mut self, now: TimePoint) {
        self.last_response_at = now;
        self.response_lost |= std::mem::take(&mut self.response_missing);
    }

    fn record_timeout(&mut self) {
        self.round_trips.record_timeout();
        self.response_missing = true;
    }

    /// The room for further runs; nothing while it takes no orders. After a lost look the target may
    /// have started anew, with another holder.
    pub fn free_capacity(&mut self, now: TimePoint) -> ResourceVector {
        let usable = self.phase == HoldPhase::Confirmed
            && self.failed_polls == 0
            && self.health.admits(now, self.ledger.len());
        match usable {
            true => self.ledger.free(),
            false => ResourceVector::default(),
        }
    }

    /// Looks at once, also when a regular look is waiting for an end.
    pub fn poll_now(&mut self, now: TimePoint) {
        self.poll_due = now;
        self.immediate_wanted = self.pending_poll.is_some();
    }

    /// Takes no orders until the target has confirmed this VM as its holder again.
    pub fn reconfirm(&mut self, now: TimePoint) {
        self.phase = HoldPhase::Claiming;
        self.claimed_at = now;
        self.pending_poll = None;
        self.hedge_poll = None;
        self.immediate_poll = None;
        self.immediate_wanted = false;
        self.poll_due = now;
    }

    /// Whether the target has not confirmed the claim for so long that another VM may have held it
    /// since.
    pub fn is_claim_stale(&self, now: TimePoint) -> bool {
        self.phase == HoldPhase::Claiming
            && self.pending_poll.is_none()
            && now.since(self.claimed_at) >= self.settings.lease
    }

    /// Claims the target again under a higher token, for example because it has started anew: its clock has too,
    /// so that orders to its former life are not void, and only the token shuts them out.
    pub fn reclaim(&mut self, now: TimePoint, token: FencingToken) {
        self.token = token;
        self.reconfirm(now);
        self.pending_starts.clear();
        let open = self
            .ledger
            .runs()
            .filter_map(|(task, run)| match run.phase {
                RunPhase::Requested {
                    expires_at: void_at,
                } => Some((*task, void_at)),
                _ => None,
            });
        for (task, void_at) in open.collect::<Vec<_>>() {
            if let Some(run) = self.ledger.get_mut(&task) {
                // Answers to orders under the former token are not taken any more.
                run.phase = RunPhase::Uncertain {
                    expires_at: void_at,
                    timed_out_at: now,
                };
            }
        }
    }

    /// When [`Self::plan_look`] or [`Self::advance`] has something to do.
    pub fn next_due(&self) -> TimePoint {
        let look = match self.pending_poll {
            Some(_) => TimePoint(u64::MAX),
            None => self.poll_due,
        };
        let lapse = match self.is_reachable() || self.ledger.is_empty() {
            true => TimePoint(u64::MAX),
            false => self.leases_expired_at,
        };
        let audit = self.adoption_due.unwrap_or(TimePoint(u64::MAX));
        look.min(lapse).min(audit)
    }

    /// The next look, if one is due. It must be sent. `hedged` says that answers get lost: the end of a
    /// run is waited for by two looks then, each for a shorter time.
    pub fn plan_poll(&mut self, now: TimePoint, hedged: bool) -> Option<PollPlan> {
        if self.immediate_wanted && self.immediate_poll.is_none() && self.pending_poll.is_some() {
            self.immediate_wanted = false;
            let look = self.new_poll(now, Duration::ZERO);
            self.immediate_poll = Some(look);
            return Some(self.build_poll(now, look, hedged));
        }
        let steady = self.phase == HoldPhase::Confirmed && self.failed_polls == 0;
        let wait = match (steady, hedged) {
            (true, false) => self.settings.poll_wait,
            (true, true) => self.settings.hedged_poll_wait,
            (false, _) => Duration::ZERO,
        };
        if self.pending_poll.is_none() && self.poll_due <= now {
            let look = self.new_poll(now, wait);
            self.pending_poll = Some(look);
            return Some(self.build_poll(now, look, hedged));
        }
        let twin = hedged && steady && self.pending_poll.is_some() && !self.ledger.is_empty();
        if twin && self.hedge_poll.is_none() && self.hedge_due <= now {
            let look = self.new_poll(now, wait);
            self.hedge_poll = Some(look);
            return Some(self.build_poll(now, look, hedged));
        }
        None
    }

    fn new_poll(&mut self, now: TimePoint, wait: Duration) -> PendingPoll {
        let number = self.next_number;
        self.next_number = PollNumber(number.0.wrapping_add(1));
        PendingPoll {
            number,
            sent_at: now,
            wait,
        }
    }

    fn build_poll(&mut self, now: TimePoint, look: PendingPoll, hedged: bool) -> PollPlan {
        // An unreachable target gets no longer lease, so that what runs there ends in bounded time.
        // Nor do runs whose home has not said that it wants them: it may count on their lapse.
        let known = self.ledger.runs().all(|(_, run)| run.coordinator.is_some());
        let lease_end =
            (self.is_reachable() && known).then(|| self.lease_end(now, self.settings.lease));
        let fresh_connection = self.failed_polls > 0 || self.phase == HoldPhase::Claiming;
        let answer = self.round_trips.timeout(&self.settings.response_timeout);
        let margin = match (hedged, fresh_connection) {
            (false, _) => self.settings.poll_margin,
            (true, false) => answer,
            // The connection takes a round trip as well.
            (true, true) => answer * 2,
        };
        PollPlan {
            number: look.number,
            request: LookOrder {
                token: self.token,
                acked_through: self.acked_through,
                lease_end: lease_end.flatten(),
                wait: look.wait,
            },
            options: CallTerms {
                timeout: look.wait + margin,
                fresh_connection,
            },
        }
    }

    /// How a start or stop order is sent.
    pub fn request_options(&self, fresh_connection: bool) -> CallTerms {
        CallTerms {
            timeout: self.round_trips.timeout(&self.settings.response_timeout),
            fresh_connection,
        }
    }

    fn take_poll(&mut self, number: PollNumber) -> Option<PendingPoll> {
        let regular = self.pending_poll.take_if(|look| look.number == number);
        regular
            .or_else(|| self.hedge_poll.take_if(|look| look.number == number))
            .or_else(|| self.immediate_poll.take_if(|look| look.number == number))
    }

    /// A lease that begins now, on the target's clock.
    fn lease_end(&mut self, now: TimePoint, lease: Duration) -> Option<TargetTime> {
        let time = self.clock.at(now)?;
        let lapsed_at = now + max_lease_duration(lease) + CLOCK_ERROR;
        self.leases_expired_at = self.leases_expired_at.max(lapsed_at);
        let millis = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        Some(TargetTime(time.0.saturating_add(millis)))
    }

    /// Adds a run and returns the order for it; nothing while the target's clock is not known.
    pub fn start_run(
        &mut self,
        now: TimePoint,
        task: TaskName,
        mut run: TargetRun,
        payload: std::rc::Rc<str>,
    ) -> Option<StartPlan> {
        let window = self.settings.start_window;
        let lease_end = self.lease_end(now, window)?;
        run.since = now;
        run.phase = RunPhase::Requested {
            expires_at: now + window + CLOCK_ERROR,
        };
        self.ledger.insert(task, run);
        let order = StartOrder {
            run: RunName { task, run: run.run },
            payload,
            lease_end,
            token: self.token,
        };
        let open = PendingStart {
            request: order.clone(),
            sends: 1,
            sent_at: now,
        };
        self.pending_starts.insert(task, open);
        Some(StartPlan {
            request: order,
            options: self.request_options(false),
        })
    }

    /// Sends a start order again that got no answer, as long as the target is there.
    fn retry_start(&mut self, now: TimePoint, name: RunName) -> Option<StartPlan> {
        let takes_orders = self.phase == HoldPhase::Confirmed && self.failed_polls == 0;
        let open = self.pending_starts.get(&name.task)?;
        if !takes_orders || open.sends >= MAX_START_SENDS || open.request.run != name {
            return None;
        }
        let window = self.settings.start_window;
        let lease_end = self.lease_end(now, window)?;
        let void_at = now + window + CLOCK_ERROR;
        self.ledger.get_mut(&name.task)?.phase = RunPhase::Requested {
            expires_at: void_at,
        };
        let terms = self.request_options(true);
        let open = self.pending_starts.get_mut(&name.task)?;
        open.sends += 1;
        open.sent_at = now;
        open.request.lease_end = lease_end;
        let order = open.request.clone();
        Some(StartPlan {
            request: order,
            options: terms,
        })
    }

    /// Takes over the answer to a start order.
    pub fn handle_start_response(
        &mut self,
        now: TimePoint,
        name: RunName,
        answer: StartAnswer,
    ) -> StartOutcome {
        let open = self.pending_starts.get(&name.task);
        let open = open.filter(|open| open.request.run == name);
        let sent_at = open.map(|open| open.sent_at);
        let repeated = open.is_some_and(|open| open.sends > 1);
        let ordered = self.ledger.get(&name.task).filter(|run| {
            // A look may have told already.
            run.run == name.run && matches!(run.phase, RunPhase::Requested { .. })
        });
        let Some(sent_at) = ordered.map(|run| sent_at.unwrap_or(run.since)) else {
            if open.is_some() {
                self.pending_starts.remove(&name.task);
            }
            return StartOutcome::Ignored;
        };
        if let StartAnswer::Accepted(time) | StartAnswer::Refused(_, time) = answer {
            self.record_response(now);
            self.round_trips.observe(now.since(sent_at));
            if let Some(time) = time {
                self.clock.observe(sent_at, now, time);
            }
        }
        if answer == StartAnswer::Silent {
            self.record_timeout();
            if let Some(plan) = self.retry_start(now, name) {
                return StartOutcome::Retry(plan);
            }
        }
        self.pending_starts.remove(&name.task);
        let Some(run) = self.ledger.get_mut(&name.task) else {
            return StartOutcome::Ignored;
        };
        match answer {
            StartAnswer::Accepted(_) => {
                run.phase = RunPhase::Running { confirmed_at: now };
                StartOutcome::Started
            }
            StartAnswer::Refused(refusal, _) if !repeated => {
                self.ledger.remove(&name.task);
                StartOutcome::NotStarted(refusal)
            }
            StartAnswer::NotSent if !repeated => {
                self.ledger.remove(&name.task);
                StartOutcome::NotSent
            }
            // An earlier send of the order may have been carried out.
            StartAnswer::Refused(..)
            | StartAnswer::NotSent
            | StartAnswer::Silent
            | StartAnswer::Lost => {
                if let RunPhase::Requested {
                    expires_at: void_at,
                } = run.phase
                {
                    run.phase = RunPhase::Uncertain {
                        expires_at: void_at,
                        timed_out_at: now,
                    };
                }
                StartOutcome::Uncertain
            }
        }
    }

    /// Marks a run as to be stopped and returns the order, unless one was sent just before.
    pub fn stop_run(&mut self, now: TimePoint, task: &TaskName) -> Option<StopOrder> {
        let interval = self.settings.stop_retry_interval;
        let run = self.ledger.get(task)?;
        if let RunPhase::Stopping {
            requested_at: asked_at,
            ..
        } = run.phase
            && now.since(asked_at) < interval
        {
            return None;
        }
        self.retry_stop(now, task)
    }

    /// The same, also if an order was sent just before, because it got no answer.
    pub fn retry_stop(&mut self, now: TimePoint, task: &TaskName) -> Option<StopOrder> {
        let run = self.ledger.get_mut(task)?;
        run.phase = RunPhase::Stopping {
            requested_at: now,
            accepted_at: None,
        };
        self.pending_starts.remove(task);
        Some(StopOrder {
            run: RunName {
                task: *task,
                run: run.run,
            },
            token: self.token,
        })
    }

    /// The runs whose stop order has not been confirmed in time.
    pub fn overdue_stops(&self, now: TimePoint) -> Vec<TaskName> {
        let interval = self.settings.stop_retry_interval;
        let overdue = self.ledger.runs().filter(|(_, run)| {
            matches!(run.phase, RunPhase::Stopping { requested_at: asked_at, accepted_at: None }
                if now.since(asked_at) >= interval)
        });
        overdue.map(|(task, _)| *task).collect()
    }

    /// Records that the target will not run, or go on to run, what it was told to stop.
    pub fn handle_stop_accepted(&mut self, now: TimePoint, name: RunName) {
        if let Some(run) = self.ledger.get_mut(&name.task)
            && run.run == name.run
            && let RunPhase::Stopping { accepted_at, .. } = &mut run.phase
        {
            *accepted_at = Some(now);
            self.poll_now(now);
        }
    }

    /// The runs whose order got no answer and that the target did not list afterwards. Stopping
    /// them makes certain that they will not start.
    fn missing_starts(&self, asked_at: TimePoint, report: &LookReport) -> Vec<TaskName> {
        let absent = self.ledger.runs().filter(|(task, run)| {
            let lost =
                matches!(run.phase, RunPhase::Uncertain { timed_out_at: lost_at, .. } if lost_at <= asked_at);
            lost && !report.running.iter().any(|row| row.run.task == **task)
        });
        absent.map(|(task, _)| *task).collect()
    }

    /// Takes over a report.
    pub fn handle_poll_report(
        &mut self,
        now: TimePoint,
        number: PollNumber,
        report: &LookReport,
    ) -> PollOutcome {
        let mut outcome = PollOutcome::default();
        let twin = self.hedge_poll.is_some_and(|look| look.number == number);
        let Some(look) = self.take_poll(number) else {
            return outcome;
        };
        outcome.reachable_again = !self.is_reachable();
        self.failed_polls = 0;
        self.reachable = true;
        self.record_response(now);
        if look.wait.is_zero() {
            self.round_trips.observe(now.since(look.sent_at));
        }
        self.phase = HoldPhase::Confirmed;
        if report.boot != self.boot {
            outcome.restarted = self.boot.is_some();
            self.boot = report.boot;
            self.acked_through = 0;
            self.reported_at = TargetTime(0);
            self.clock.reset();
            if outcome.restarted {
                self.ledger.mark_target_restart();
            }
        }
        if let Some(time) = report.time
            && now.since(look.sent_at) < self.settings.poll_margin
        {
            // A look that has waited for an end says little about the clock.
            self.clock.observe(look.sent_at, now, time);
        }
        self.apply_ends(report, &mut outcome);
        // A report that was overtaken by a later one may list runs whose end is known.
        if report.time.is_none_or(|time| time >= self.reported_at) {
            self.reported_at = report.time.unwrap_or_default();
            self.apply_running(now, report, &mut outcome);
            self.remove_missing(look.sent_at, report, &mut outcome);
            outcome.missing_starts = self.missing_starts(look.sent_at, report);
        }
        // A target that does not wait although nothing has ended is not asked again at once.
        let early = report.ended.is_empty() && now.since(look.sent_at) < look.wait / 2;
        let due = match early {
            true => look.sent_at + look.wait,
            false => now,
        };
        match twin {
            true => self.hedge_due = due,
            false => self.poll_due = due,
        }
        outcome
    }

    fn apply_ends(&mut self, report: &LookReport, outcome: &mut PollOutcome) {
        for row in &report.ended {
            if row.number <= self.acked_through {
                continue;
            }
            self.acked_through = row.number;
            let task = row.run.task;
            let known = self
                .ledger
                .get(&task)
                .is_some_and(|run| run.run == row.run.run);
            match known.then(|| self.ledger.remove(&task)).flatten() {
                Some(run) => outcome.ended.push(EndedRun {
                    task,
                    run,
                    end: row.end,
                }),
                None => outcome.unknown_ends.push((row.run, row.end)),
            }
        }
    }

    fn apply_running(&mut self, now: TimePoint, report: &LookReport, outcome: &mut PollOutcome) {
        for row in &report.running {
            let RunName { task, run: number } = row.run;
            match self.ledger.get_mut(&task) {
                Some(run) if run.run == number => {
                    if let RunPhase::Requested { .. } | RunPhase::Uncertain { .. } = run.phase {
                        run.phase = RunPhase::Running { confirmed_at: now };
                    }
                }
                // Another run of the task has been ordered since; the target decides.
                Some(run) if run.run > number => {}
                known => {
                    // Another VM has held the target meanwhile, and has started the task anew.
                    if known.is_some()
                        && let Some(run) = self.ledger.remove(&task)
                    {
                        let end = RunEnd::Lapsed;
                        outcome.ended.push(EndedRun { task, run, end });
                    }
                    let run = TargetRun {
                        run: number,
                        resources: None,
                        coordinator: None,
                        queue: None,
                        expected: Duration::ZERO,
                        since: now,
                        target_restarted: false,
                        phase: RunPhase::Running { confirmed_at: now },
                    };
                    self.ledger.insert(task, run);
                    outcome.unknown_runs.push(row.run);
                }
            }
        }
    }

    /// Removes runs that the target does not list although it would.
    fn remove_missing(
        &mut self,
        asked_at: TimePoint,
        report: &LookReport,
        outcome: &mut PollOutcome,
    ) {
        let listed = |task: &TaskName, run: &TargetRun| {
            let name = RunName {
                task: *task,
                run: run.run,
            };
            report.running.iter().any(|row| row.run == name)
        };
        let missing = self.ledger.runs().filter(|(task, run)| {
            let known_by_then = match run.phase {
                RunPhase::Requested { .. } => false,
                RunPhase::Uncertain {
                    expires_at: void_at,
                    ..
                } => asked_at >= void_at,
                // A younger run may be one of the new life.
                RunPhase::Running { confirmed_at } => {
                    asked_at > confirmed_at || (outcome.restarted && asked_at == confirmed_at)
                }
                RunPhase::Stopping { accepted_at, .. } => {
                    accepted_at.is_some_and(|accepted| asked_at >= accepted)
                }
            };
            known_by_then && !listed(task, run)
        });
        let missing = missing.map(|(task, _)| *task).collect::<Vec<_>>();
        for task in missing {
            let Some(run) = self.ledger.remove(&task) else {
                continue;
            };
            match run.phase {
                // Before a restart, the order may have been carried out.
                RunPhase::Uncertain { .. } if !run.target_restarted => {
                    outcome.never_started.push((task, run));
                }
                _ => outcome.ended.push(EndedRun {
                    task,
                    run,
                    end: RunEnd::Lapsed,
                }),
            }
        }
    }

    /// Records that a look got no answer; `silent` if its connection has not failed. Returns whether the
    /// target counts as unreachable from now on.
    pub fn handle_poll_failure(
        &mut self,
        now: TimePoint,
        number: PollNumber,
        silent: bool,
    ) -> bool {
        let Some(look) = self.take_poll(number) else {
            return false;
        };
        if silent && self.last_response_at > look.sent_at {
            // The target is there, and only this answer was lost.
            self.record_timeout();
            self.response_lost = true;
            self.poll_due = now;
            return false;
        }
        if silent {
            self.record_timeout();
        }
        if self.failed_polls > 0 && look.sent_at < self.last_failure_at {
            // It was lost together with one that was counted.
            return false;
        }
        self.failed_polls += 1;
        self.last_failure_at = now;
        let was_reachable = self.reachable;
        let quiet = now.since(self.last_response_at);
        if self.failed_polls >= UNREACHABLE_POLLS && (!silent || quiet >= SILENCE_LIMIT) {
            self.reachable = false;
        }
        self.poll_due = match self.reachable {
            true => now,
            false => now + self.settings.unreachable_poll_interval,
        };
        was_reachable && !self.reachable
    }

    /// Removes the runs that have lapsed because the target could not be reached.
    pub fn advance(&mut self, now: TimePoint) -> Vec<EndedRun> {
        if self.is_reachable() || now < self.leases_expired_at {
            return Vec::new();
        }
        let runs = self.ledger.take_runs();
        runs.into_iter()
            .map(|(task, run)| EndedRun {
                task,
                run,
                end: RunEnd::Lapsed,
            })
            .collect()
    }

    /// Sets when runs whose home did not answer are stopped.
    pub fn begin_adoption(&mut self, due: TimePoint) {
        self.adoption_due = Some(due);
    }

    /// The runs without a home, once the time for answers is over.
    pub fn take_unadopted(&mut self, now: TimePoint) -> Vec<TaskName> {
        if self.adoption_due.take_if(|due| *due <= now).is_none() {
            return Vec::new();
        }
        let orphans = self
            .ledger
            .runs()
            .filter(|(_, run)| run.coordinator.is_none());
        orphans.map(|(task, _)| *task).collect()
    }

    /// Assigns a run that was found to the home that wants it. False if it is not there.
    pub fn adopt_run(
        &mut self,
        name: RunName,
        home: VmIndex,
        room: ResourceVector,
        expected: Duration,
    ) -> bool {
        let Some(run) = self.ledger.get_mut(&name.task) else {
            return false;
        };
        let stopping = matches!(run.phase, RunPhase::Stopping { .. });
        if run.run != name.run || stopping {
            return false;
        }
        run.coordinator = Some(home);
        run.resources = Some(room);
        run.expected = expected;
        true
    }
}
