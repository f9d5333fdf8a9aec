//! A target: a back end that runs tasks in slots, under leases.
//!
//! The caller passes requests in and must call [`TargetModel::advance`] when
//! [`TargetModel::next_due`] is reached, then answer the waiting start requests of the attempts
//! that [`TargetModel::take_ended`] returns. While the target is frozen or dead
//! ([`TargetModel::reachability`]) the caller passes no requests in.

mod counters;
mod fault;
mod memory;
mod protocol;
mod run;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, LoadReport, StartAnswer};
use filbertpitch_types::time::ClockReading;

pub use counters::TargetCounters;
pub use fault::{Reachability, TargetFault};

use crate::ledger::{RunEnd, StartLedger};
use fault::FaultState;
use memory::AttemptMemory;
use run::LiveRun;

/// What a target is able to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetProfile {
    /// The kinds of work that it takes, by service.
    pub takes: BTreeMap<ServiceName, BTreeSet<KindName>>,
    /// How many tasks it runs at once at full speed.
    pub slots: u16,
    /// How many connections it accepts.
    pub connections: u16,
    /// How long ended and fenced attempts are remembered.
    pub memory_period: Duration,
    /// New starts are refused while this many attempts are remembered.
    pub memory_limit: usize,
}

impl Default for TargetProfile {
    fn default() -> Self {
        Self {
            takes: BTreeMap::new(),
            slots: 8,
            connections: 64,
            memory_period: Duration::from_secs(600),
            memory_limit: 1_000_000,
        }
    }
}

/// The immediate result of a start request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The answer.
    Now(StartAnswer),
    /// The attempt is running; the answer follows when it ends.
    WhenEnded,
}

/// An attempt that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub verdict: AttemptOutcome,
}

/// One target.
#[derive(Debug)]
pub struct TargetModel {
    profile: TargetProfile,
    faults: FaultState,
    runs: HashMap<AttemptId, LiveRun>,
    memory: AttemptMemory,
    due: BinaryHeap<Reverse<(TimePoint, u64, AttemptId)>>,
    next_generation: u64,
    boot: u64,
    parked: u16,
    ended: Vec<EndedAttempt>,
    ledger: StartLedger,
    counters: TargetCounters,
}

impl TargetModel {
    /// An idle target.
    pub fn new(profile: TargetProfile) -> Self {
        Self {
            profile,
            faults: FaultState::default(),
            runs: HashMap::new(),
            memory: AttemptMemory::default(),
            due: BinaryHeap::new(),
            next_generation: 0,
            boot: 0,
            parked: 0,
            ended: Vec::new(),
            ledger: StartLedger::default(),
            counters: TargetCounters::default(),
        }
    }

    /// What the target is able to do.
    pub fn profile(&self) -> &TargetProfile {
        &self.profile
    }

    /// Every real start, including those before a simulated crash.
    pub fn ledger(&self) -> &StartLedger {
        &self.ledger
    }

    /// Messages and starts since the beginning, including those before a simulated crash.
    pub fn counters(&self) -> TargetCounters {
        self.counters
    }

    /// The load that the target reports.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            slots: self.profile.slots,
            running: self.slots_in_use(),
            throttled: self.parked,
            leaving: self.faults.leaving,
            boot: self.boot,
        }
    }

    /// When [`Self::advance`] must be called next.
    pub fn next_due(&self) -> Option<TimePoint> {
        if self.reachability() != Reachability::Open {
            return None;
        }
        self.due.peek().map(|Reverse((due, _, _))| *due)
    }

    /// Ends the runs that are complete or whose lease has run out.
    pub fn advance(&mut self, clock: ClockReading) {
        if self.reachability() != Reachability::Open {
            return;
        }
        while let Some(&Reverse((due, generation, attempt))) = self.due.peek() {
            if due > clock.time {
                break;
            }
            self.due.pop();
            self.fire(clock, generation, attempt);
        }
        self.memory.forget(clock.time, self.profile.memory_period);
    }

    /// The attempts that ended since the last call.
    pub fn take_ended(&mut self) -> Vec<EndedAttempt> {
        std::mem::take(&mut self.ended)
    }

    fn slots_in_use(&self) -> u16 {
        self.runs.len() as u16 - self.parked
    }

    fn fire(&mut self, clock: ClockReading, generation: u64, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        if run.generation != generation {
            return;
        }
        if let Some(completed) = run.completed_by(clock) {
            let (verdict, end) = run.result(completed);
            self.end_run(completed, attempt, verdict, end);
        } else if run.lapsed_by(clock) {
            self.end_run(
                clock.time,
                attempt,
                AttemptOutcome::LeaseExpired,
                RunEnd::Lapsed,
            );
        } else {
            // The wall clock was set back, so the lease ends later than computed.
            run.renew(clock, run.lease_until);
            self.schedule(attempt);
        }
    }

    /// Enters the run's next due time, which replaces earlier ones.
    fn schedule(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        self.next_generation += 1;
        run.generation = self.next_generation;
        self.due.push(Reverse((run.due(), run.generation, attempt)));
    }

    fn end_run(&mut self, at: TimePoint, attempt: AttemptId, verdict: AttemptOutcome, end: RunEnd) {
        let Some(run) = self.runs.remove(&attempt) else {
            return;
        };
        if run.parked {
            self.parked -= 1;
        }
        if end == RunEnd::Done {
            self.counters.done += 1;
            self.counters.done_micros += run.plan.run_time.as_micros() as u64;
        }
        self.ledger.record_end(at, run.ledger_index, end);
        self.memory.remember(at, attempt, verdict.clone());
        self.ended.push(EndedAttempt { attempt, verdict });
    }
}
