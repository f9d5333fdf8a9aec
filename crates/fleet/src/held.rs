//! A target that this VM holds: its runs, its lease, and when to look at it.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpitch_dispatch::entity::VmIndex;
use filbertpitch_types::lease::{
    CallOptions, PollReport, PollRequest, RunRequest, StartAnswer, StartRefusal, StopRequest,
};
use filbertpitch_types::prelude::*;

use crate::answers::{AnswerMeter, AnswerSettings};
use crate::clock::{RemoteClock, longest_lease};
use crate::ledger::{RoomLedger, RunPhase, TargetRun};
use crate::verdict::{TargetVerdict, VerdictSettings};

/// What estimates of a target's clock may be off by: a drift of 2% in two seconds, and a round trip.
const CLOCK_ERROR: Duration = Duration::from_millis(60);

/// The looks without an answer, in a row, after which a target may count as unreachable.
const LOST_LOOKS: u32 = 2;

/// How long a target that does not answer still counts as reachable: several looks follow each other in
/// this time while answers get lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(350);

/// How often a start order is sent until it is answered. Further ones would come too late for most
/// jobs.
const START_SENDS: u32 = 6;

/// How targets are held.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldSettings {
    /// The lease that each look and each start grants; targets shorten a longer one.
    pub lease: Duration,
    /// How long a target may wait for an end before it answers a look. Two looks may get lost
    /// before the lease ends. A look is open at targets without runs as well: its connection breaks
    /// when the target starts anew.
    pub look_wait: Duration,
    /// The time beyond that in which a look must be answered.
    pub look_margin: Duration,
    /// The time between looks at a target that does not answer.
    pub lost_interval: Duration,
    /// How long a start order may take to be carried out.
    pub order_window: Duration,
    /// The time between stop orders for the same run.
    pub stop_interval: Duration,
    /// How long a target may wait for an end while answers get lost.
    pub hedged_wait: Duration,
    /// How long answers may take.
    pub answers: AnswerSettings,
    /// Trust in targets.
    pub verdicts: VerdictSettings,
}

impl Default for HeldSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            look_wait: Duration::from_millis(400),
            look_margin: Duration::from_millis(250),
            lost_interval: Duration::from_millis(150),
            order_window: Duration::from_millis(250),
            stop_interval: Duration::from_millis(100),
            hedged_wait: Duration::from_millis(100),
            answers: AnswerSettings::default(),
            verdicts: VerdictSettings::default(),
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
pub struct LookNumber(pub u32);

/// A look to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookPlan {
    /// Identifies it in the answer.
    pub number: LookNumber,
    /// The order.
    pub order: PollRequest,
    /// How it is sent.
    pub terms: CallOptions,
}

/// A start order that is to be sent, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct StartPlan {
    /// The order.
    pub order: RunRequest,
    /// How it is sent.
    pub terms: CallOptions,
}

/// A start order without an answer.
#[derive(Clone, Debug)]
struct OpenStart {
    order: RunRequest,
    sends: u32,
    sent_at: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct OpenLook {
    number: LookNumber,
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
pub struct LookOutcome {
    /// Runs that have ended.
    pub ended: Vec<EndedRun>,
    /// Orders that were certainly not carried out.
    pub never_started: Vec<(TaskName, TargetRun)>,
    /// Orders without an answer whose runs the target does not list.
    pub absent_orders: Vec<TaskName>,
    /// Ends of runs that this VM does not know.
    pub foreign_ends: Vec<(RunName, RunEnd)>,
    /// Runs that this VM does not know; they are in the ledger now.
    pub foreign_runs: Vec<RunName>,
    /// Whether the target has started anew.
    pub reborn: bool,
    /// Whether the target answers again.
    pub regained: bool,
}

/// What the answer to a start order changes.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The run is not there, and the room is free again.
    NotStarted(StartRefusal),
    /// The order must be sent again. A target starts a run once, however often it is told.
    Repeated(StartPlan),
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
    ledger: RoomLedger,
    verdict: TargetVerdict,
    /// The regular look.
    open_look: Option<OpenLook>,
    /// A second one that waits as well, while answers get lost.
    twin_look: Option<OpenLook>,
    /// A look that does not wait, beside a regular one that does.
    quick_look: Option<OpenLook>,
    quick_wanted: bool,
    /// The target's time in the latest report.
    reported_at: TargetTime,
    next_number: LookNumber,
    look_due: TimePoint,
    lost_looks: u32,
    /// When the last of them was noticed.
    lost_look_at: TimePoint,
    reachable: bool,
    /// The calls that are answered at once.
    answers: AnswerMeter,
    /// Whether a call got no answer since the last answer.
    missed: bool,
    /// Whether an answer was missed although the target is there.
    answer_lost: bool,
    /// When the twin look may be sent.
    twin_due: TimePoint,
    /// When the target has answered last.
    answered_at: TimePoint,
    open_starts: BTreeMap<TaskName, OpenStart>,
    /// When everything on the target has certainly lapsed, on the local clock.
    lapsed_at: TimePoint,
    /// When runs of unknown homes are stopped.
    audit_due: Option<TimePoint>,
}

impl HeldTarget {
    /// Begins to hold a target.
    pub fn claim(
        settings: HeldSettings,
        token: FencingToken,
        capacity: ResourceVector,
        now: TimePoint,
    ) -> Self {
        let mut ledger = RoomLedger::default();
        ledger.set_capacity(capacity);
        Self {
            verdict: TargetVerdict::new(settings.verdicts.clone()),
            settings,
            token,
            claimed_at: now,
            phase: HoldPhase::Claiming,
            boot: None,
            clock: RemoteClock::default(),
            acked_through: 0,
            ledger,
            open_look: None,
            twin_look: None,
            quick_look: None,
            quick_wanted: false,
            reported_at: TargetTime(0),
            next_number: LookNumber(0),
            look_due: now,
            lost_looks: 0,
            lost_look_at: now,
            reachable: true,
            answers: AnswerMeter::default(),
            missed: false,
            answer_lost: false,
            twin_due: now,
            answered_at: now,
            open_starts: BTreeMap::new(),
            lapsed_at: now,
            audit_due: None,
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
    pub fn ledger(&self) -> &RoomLedger {
        &self.ledger
    }

    /// Its runs and its room, for changes.
    pub fn ledger_mut(&mut self) -> &mut RoomLedger {
        &mut self.ledger
    }

    /// What its runs say about it.
    pub fn verdict(&self) -> &TargetVerdict {
        &self.verdict
    }

    /// What its runs say about it, for changes.
    pub fn verdict_mut(&mut self) -> &mut TargetVerdict {
        &mut self.verdict
    }

    /// Whether it answers.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Whether an answer was missed since the last call although the target is there.
    pub fn take_lost_answer(&mut self) -> bool {
        std::mem::take(&mut self.answer_lost)
    }

    fn note_answer(&mut self, now: TimePoint) {
        self.answered_at = now;
        self.answer_lost |= std::mem::take(&mut self.missed);
    }

    fn note_silence(&mut self) {
        self.answers.miss();
        self.missed = true;
    }

    /// The room for further runs; nothing while it takes no orders. After a lost look the target may
    /// have started anew, with another holder.
    pub fn open_room(&mut self, now: TimePoint) -> ResourceVector {
        let usable = self.phase == HoldPhase::Confirmed
            && self.lost_looks == 0
            && self.verdict.admits(now, self.ledger.len());
        match usable {
            true => self.ledger.free(),
            false => ResourceVector::default(),
        }
    }

    /// Looks at once, also when a regular look is waiting for an end.
    pub fn hasten_look(&mut self, now: TimePoint) {
        self.look_due = now;
        self.quick_wanted = self.open_look.is_some();
    }

    /// Takes no orders until the target has confirmed this VM as its holder again.
    pub fn reconfirm(&mut self, now: TimePoint) {
        self.phase = HoldPhase::Claiming;
        self.claimed_at = now;
        self.open_look = None;
        self.twin_look = None;
        self.quick_look = None;
        self.quick_wanted = false;
        self.look_due = now;
    }

    /// Whether the target has not confirmed the claim for so long that another VM may have held it
    /// since.
    pub fn is_claim_old(&self, now: TimePoint) -> bool {
        self.phase == HoldPhase::Claiming
            && self.open_look.is_none()
            && now.since(self.claimed_at) >= self.settings.lease
    }

    /// Claims the target again under a higher token, for example because it has started anew: its clock has too,
    /// so that orders to its former life are not void, and only the token shuts them out.
    pub fn claim_again(&mut self, now: TimePoint, token: FencingToken) {
        self.token = token;
        self.reconfirm(now);
        self.open_starts.clear();
        let open = self
            .ledger
            .runs()
            .filter_map(|(task, run)| match run.phase {
                RunPhase::Ordered { void_at } => Some((*task, void_at)),
                _ => None,
            });
        for (task, void_at) in open.collect::<Vec<_>>() {
            if let Some(run) = self.ledger.get_mut(&task) {
                // Answers to orders under the former token are not taken any more.
                run.phase = RunPhase::Uncertain {
                    void_at,
                    lost_at: now,
                };
            }
        }
    }

    /// When [`Self::plan_look`] or [`Self::advance`] has something to do.
    pub fn next_due(&self) -> TimePoint {
        let look = match self.open_look {
            Some(_) => TimePoint(u64::MAX),
            None => self.look_due,
        };
        let lapse = match self.is_reachable() || self.ledger.is_empty() {
            true => TimePoint(u64::MAX),
            false => self.lapsed_at,
        };
        let audit = self.audit_due.unwrap_or(TimePoint(u64::MAX));
        look.min(lapse).min(audit)
    }

    /// The next look, if one is due. It must be sent. `hedged` says that answers get lost: the end of a
    /// run is waited for by two looks then, each for a shorter time.
    pub fn plan_look(&mut self, now: TimePoint, hedged: bool) -> Option<LookPlan> {
        if self.quick_wanted && self.quick_look.is_none() && self.open_look.is_some() {
            self.quick_wanted = false;
            let look = self.open_look(now, Duration::ZERO);
            self.quick_look = Some(look);
            return Some(self.describe_look(now, look, hedged));
        }
        let steady = self.phase == HoldPhase::Confirmed && self.lost_looks == 0;
        let wait = match (steady, hedged) {
            (true, false) => self.settings.look_wait,
            (true, true) => self.settings.hedged_wait,
            (false, _) => Duration::ZERO,
        };
        if self.open_look.is_none() && self.look_due <= now {
            let look = self.open_look(now, wait);
            self.open_look = Some(look);
            return Some(self.describe_look(now, look, hedged));
        }
        let twin = hedged && steady && self.open_look.is_some() && !self.ledger.is_empty();
        if twin && self.twin_look.is_none() && self.twin_due <= now {
            let look = self.open_look(now, wait);
            self.twin_look = Some(look);
            return Some(self.describe_look(now, look, hedged));
        }
        None
    }

    fn open_look(&mut self, now: TimePoint, wait: Duration) -> OpenLook {
        let number = self.next_number;
        self.next_number = LookNumber(number.0.wrapping_add(1));
        OpenLook {
            number,
            sent_at: now,
            wait,
        }
    }

    fn describe_look(&mut self, now: TimePoint, look: OpenLook, hedged: bool) -> LookPlan {
        // An unreachable target gets no longer lease, so that what runs there ends in bounded time.
        // Nor do runs whose home has not said that it wants them: it may count on their lapse.
        let known = self.ledger.runs().all(|(_, run)| run.home.is_some());
        let lease_end =
            (self.is_reachable() && known).then(|| self.lease_end(now, self.settings.lease));
        let fresh_connection = self.lost_looks > 0 || self.phase == HoldPhase::Claiming;
        let answer = self.answers.timeout(&self.settings.answers);
        let margin = match (hedged, fresh_connection) {
            (false, _) => self.settings.look_margin,
            (true, false) => answer,
            // The connection takes a round trip as well.
            (true, true) => answer * 2,
        };
        LookPlan {
            number: look.number,
            order: PollRequest {
                token: self.token,
                acked_through: self.acked_through,
                lease_end: lease_end.flatten(),
                wait: look.wait,
            },
            terms: CallOptions {
                timeout: look.wait + margin,
                fresh_connection,
            },
        }
    }

    /// How a start or stop order is sent.
    pub fn order_terms(&self, fresh_connection: bool) -> CallOptions {
        CallOptions {
            timeout: self.answers.timeout(&self.settings.answers),
            fresh_connection,
        }
    }

    fn take_look(&mut self, number: LookNumber) -> Option<OpenLook> {
        let regular = self.open_look.take_if(|look| look.number == number);
        regular
            .or_else(|| self.twin_look.take_if(|look| look.number == number))
            .or_else(|| self.quick_look.take_if(|look| look.number == number))
    }

    /// A lease that begins now, on the target's clock.
    fn lease_end(&mut self, now: TimePoint, lease: Duration) -> Option<TargetTime> {
        let time = self.clock.at(now)?;
        let lapsed_at = now + longest_lease(lease) + CLOCK_ERROR;
        self.lapsed_at = self.lapsed_at.max(lapsed_at);
        let millis = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        Some(TargetTime(time.0.saturating_add(millis)))
    }

    /// Adds a run and returns the order for it; nothing while the target's clock is not known.
    pub fn order_run(
        &mut self,
        now: TimePoint,
        task: TaskName,
        mut run: TargetRun,
        payload: std::rc::Rc<str>,
    ) -> Option<StartPlan> {
        let window = self.settings.order_window;
        let lease_end = self.lease_end(now, window)?;
        run.since = now;
        run.phase = RunPhase::Ordered {
            void_at: now + window + CLOCK_ERROR,
        };
        self.ledger.insert(task, run);
        let order = RunRequest {
            run: RunName { task, run: run.run },
            payload,
            lease_end,
            token: self.token,
        };
        let open = OpenStart {
            order: order.clone(),
            sends: 1,
            sent_at: now,
        };
        self.open_starts.insert(task, open);
        Some(StartPlan {
            order,
            terms: self.order_terms(false),
        })
    }

    /// Sends a start order again that got no answer, as long as the target is there.
    fn repeat_start(&mut self, now: TimePoint, name: RunName) -> Option<StartPlan> {
        let takes_orders = self.phase == HoldPhase::Confirmed && self.lost_looks == 0;
        let open = self.open_starts.get(&name.task)?;
        if !takes_orders || open.sends >= START_SENDS || open.order.run != name {
            return None;
        }
        let window = self.settings.order_window;
        let lease_end = self.lease_end(now, window)?;
        let void_at = now + window + CLOCK_ERROR;
        self.ledger.get_mut(&name.task)?.phase = RunPhase::Ordered { void_at };
        let terms = self.order_terms(true);
        let open = self.open_starts.get_mut(&name.task)?;
        open.sends += 1;
        open.sent_at = now;
        open.order.lease_end = lease_end;
        let order = open.order.clone();
        Some(StartPlan { order, terms })
    }

    /// Takes over the answer to a start order.
    pub fn start_answered(
        &mut self,
        now: TimePoint,
        name: RunName,
        answer: StartAnswer,
    ) -> StartOutcome {
        let open = self.open_starts.get(&name.task);
        let open = open.filter(|open| open.order.run == name);
        let sent_at = open.map(|open| open.sent_at);
        let repeated = open.is_some_and(|open| open.sends > 1);
        let ordered = self.ledger.get(&name.task).filter(|run| {
            // A look may have told already.
            run.run == name.run && matches!(run.phase, RunPhase::Ordered { .. })
        });
        let Some(sent_at) = ordered.map(|run| sent_at.unwrap_or(run.since)) else {
            if open.is_some() {
                self.open_starts.remove(&name.task);
            }
            return StartOutcome::Ignored;
        };
        if let StartAnswer::Accepted(time) | StartAnswer::Refused(_, time) = answer {
            self.note_answer(now);
            self.answers.observe(now.since(sent_at));
            if let Some(time) = time {
                self.clock.observe(sent_at, now, time);
            }
        }
        if answer == StartAnswer::Silent {
            self.note_silence();
            if let Some(plan) = self.repeat_start(now, name) {
                return StartOutcome::Repeated(plan);
            }
        }
        self.open_starts.remove(&name.task);
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
                if let RunPhase::Ordered { void_at } = run.phase {
                    run.phase = RunPhase::Uncertain {
                        void_at,
                        lost_at: now,
                    };
                }
                StartOutcome::Uncertain
            }
        }
    }

    /// Marks a run as to be stopped and returns the order, unless one was sent just before.
    pub fn stop_run(&mut self, now: TimePoint, task: &TaskName) -> Option<StopRequest> {
        let interval = self.settings.stop_interval;
        let run = self.ledger.get(task)?;
        if let RunPhase::Stopping { asked_at, .. } = run.phase
            && now.since(asked_at) < interval
        {
            return None;
        }
        self.repeat_stop(now, task)
    }

    /// The same, also if an order was sent just before, because it got no answer.
    pub fn repeat_stop(&mut self, now: TimePoint, task: &TaskName) -> Option<StopRequest> {
        let run = self.ledger.get_mut(task)?;
        run.phase = RunPhase::Stopping {
            asked_at: now,
            accepted_at: None,
        };
        self.open_starts.remove(task);
        Some(StopRequest {
            run: RunName {
                task: *task,
                run: run.run,
            },
            token: self.token,
        })
    }

    /// The runs whose stop order has not been confirmed in time.
    pub fn overdue_stops(&self, now: TimePoint) -> Vec<TaskName> {
        let interval = self.settings.stop_interval;
        let overdue = self.ledger.runs().filter(|(_, run)| {
            matches!(run.phase, RunPhase::Stopping { asked_at, accepted_at: None }
                if now.since(asked_at) >= interval)
        });
        overdue.map(|(task, _)| *task).collect()
    }

    /// Records that the target will not run, or go on to run, what it was told to stop.
    pub fn stop_accepted(&mut self, now: TimePoint, name: RunName) {
        if let Some(run) = self.ledger.get_mut(&name.task)
            && run.run == name.run
            && let RunPhase::Stopping { accepted_at, .. } = &mut run.phase
        {
            *accepted_at = Some(now);
            self.hasten_look(now);
        }
    }

    /// The runs whose order got no answer and that the target did not list afterwards. Stopping
    /// them makes certain that they will not start.
    fn absent_orders(&self, asked_at: TimePoint, report: &PollReport) -> Vec<TaskName> {
        let absent = self.ledger.runs().filter(|(task, run)| {
            let lost =
                matches!(run.phase, RunPhase::Uncertain { lost_at, .. } if lost_at <= asked_at);
            lost && !report.running.iter().any(|row| row.run.task == **task)
        });
        absent.map(|(task, _)| *task).collect()
    }

    /// Takes over a report.
    pub fn look_answered(
        &mut self,
        now: TimePoint,
        number: LookNumber,
        report: &PollReport,
    ) -> LookOutcome {
        let mut outcome = LookOutcome::default();
        let twin = self.twin_look.is_some_and(|look| look.number == number);
        let Some(look) = self.take_look(number) else {
            return outcome;
        };
        outcome.regained = !self.is_reachable();
        self.lost_looks = 0;
        self.reachable = true;
        self.note_answer(now);
        if look.wait.is_zero() {
            self.answers.observe(now.since(look.sent_at));
        }
        self.phase = HoldPhase::Confirmed;
        if report.boot != self.boot {
            outcome.reborn = self.boot.is_some();
            self.boot = report.boot;
            self.acked_through = 0;
            self.reported_at = TargetTime(0);
            self.clock.reset();
            if outcome.reborn {
                self.ledger.mark_restart();
            }
        }
        if let Some(time) = report.time
            && now.since(look.sent_at) < self.settings.look_margin
        {
            // A look that has waited for an end says little about the clock.
            self.clock.observe(look.sent_at, now, time);
        }
        self.apply_ends(report, &mut outcome);
        // A report that was overtaken by a later one may list runs whose end is known.
        if report.time.is_none_or(|time| time >= self.reported_at) {
            self.reported_at = report.time.unwrap_or_default();
            self.apply_running(now, report, &mut outcome);
            self.drop_missing(look.sent_at, report, &mut outcome);
            outcome.absent_orders = self.absent_orders(look.sent_at, report);
        }
        // A target that does not wait although nothing has ended is not asked again at once.
        let early = report.ended.is_empty() && now.since(look.sent_at) < look.wait / 2;
        let due = match early {
            true => look.sent_at + look.wait,
            false => now,
        };
        match twin {
            true => self.twin_due = due,
            false => self.look_due = due,
        }
        outcome
    }

    fn apply_ends(&mut self, report: &PollReport, outcome: &mut LookOutcome) {
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
                None => outcome.foreign_ends.push((row.run, row.end)),
            }
        }
    }

    fn apply_running(&mut self, now: TimePoint, report: &PollReport, outcome: &mut LookOutcome) {
        for row in &report.running {
            let RunName { task, run: number } = row.run;
            match self.ledger.get_mut(&task) {
                Some(run) if run.run == number => {
                    if let RunPhase::Ordered { .. } | RunPhase::Uncertain { .. } = run.phase {
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
                        let end = RunEnd::LeaseExpired;
                        outcome.ended.push(EndedRun { task, run, end });
                    }
                    let run = TargetRun {
                        run: number,
                        room: None,
                        home: None,
                        queue: None,
                        expected: Duration::ZERO,
                        since: now,
                        restarted: false,
                        phase: RunPhase::Running { confirmed_at: now },
                    };
                    self.ledger.insert(task, run);
                    outcome.foreign_runs.push(row.run);
                }
            }
        }
    }

    /// Removes runs that the target does not list although it would.
    fn drop_missing(
        &mut self,
        asked_at: TimePoint,
        report: &PollReport,
        outcome: &mut LookOutcome,
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
                RunPhase::Ordered { .. } => false,
                RunPhase::Uncertain { void_at, .. } => asked_at >= void_at,
                // A younger run may be one of the new life.
                RunPhase::Running { confirmed_at } => {
                    asked_at > confirmed_at || (outcome.reborn && asked_at == confirmed_at)
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
                RunPhase::Uncertain { .. } if !run.restarted => {
                    outcome.never_started.push((task, run));
                }
                _ => outcome.ended.push(EndedRun {
                    task,
                    run,
                    end: RunEnd::LeaseExpired,
                }),
            }
        }
    }

    /// Records that a look got no answer; `silent` if its connection has not failed. Returns whether the
    /// target counts as unreachable from now on.
    pub fn look_lost(&mut self, now: TimePoint, number: LookNumber, silent: bool) -> bool {
        let Some(look) = self.take_look(number) else {
            return false;
        };
        if silent && self.answered_at > look.sent_at {
            // The target is there, and only this answer was lost.
            self.note_silence();
            self.answer_lost = true;
            self.look_due = now;
            return false;
        }
        if silent {
            self.note_silence();
        }
        if self.lost_looks > 0 && look.sent_at < self.lost_look_at {
            // It was lost together with one that was counted.
            return false;
        }
        self.lost_looks += 1;
        self.lost_look_at = now;
        let was_reachable = self.reachable;
        let quiet = now.since(self.answered_at);
        if self.lost_looks >= LOST_LOOKS && (!silent || quiet >= SILENCE_LIMIT) {
            self.reachable = false;
        }
        self.look_due = match self.reachable {
            true => now,
            false => now + self.settings.lost_interval,
        };
        was_reachable && !self.reachable
    }

    /// Removes the runs that have lapsed because the target could not be reached.
    pub fn advance(&mut self, now: TimePoint) -> Vec<EndedRun> {
        if self.is_reachable() || now < self.lapsed_at {
            return Vec::new();
        }
        let runs = self.ledger.take_runs();
        runs.into_iter()
            .map(|(task, run)| EndedRun {
                task,
                run,
                end: RunEnd::LeaseExpired,
            })
            .collect()
    }

    /// Sets when runs whose home did not answer are stopped.
    pub fn begin_audit(&mut self, due: TimePoint) {
        self.audit_due = Some(due);
    }

    /// The runs without a home, once the time for answers is over.
    pub fn end_audit(&mut self, now: TimePoint) -> Vec<TaskName> {
        if self.audit_due.take_if(|due| *due <= now).is_none() {
            return Vec::new();
        }
        let orphans = self.ledger.runs().filter(|(_, run)| run.home.is_none());
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
        run.home = Some(home);
        run.room = Some(room);
        run.expected = expected;
        true
    }
}
