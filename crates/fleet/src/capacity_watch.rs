//! How well this VM knows the capacities of the targets while it cannot read the list of targets.
//!
//! A target may not be loaded beyond its capacity, and a capacity that has shrunk counts only for some
//! seconds longer. A VM that cannot read the list asks a live peer that can, and uses the smaller of
//! both capacities. If no peer can read the list either, it uses the smallest capacity that the target
//! has listed recently. A capacity that shrinks for the first time while no VM can read the list cannot
//! be known.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_types::prelude::*;

/// The age from which the list counts as out of date: longer than the time after which a VM without a
/// feed reads the list itself.
const MAX_LIST_AGE: Duration = Duration::from_millis(1500);

/// How long a capacity is used that neither the list nor a peer has confirmed. The platform lets a former
/// capacity count for 3 s after a heartbeat has shown the new one; the rest is for start requests in
/// flight.
const UNCONFIRMED_PERIOD: Duration = Duration::from_millis(2500);

/// How long a former capacity limits the use of a target whose capacity is not confirmed.
const HISTORY_PERIOD: Duration = Duration::from_secs(60);

/// The time after which an unanswered question is repeated, to another peer.
const QUESTION_INTERVAL: Duration = Duration::from_millis(500);

/// How much earlier than the list of the VM that asks the changes in an answer begin: the transit time of
/// the question, and the delay with which VMs read the same change.
const ANSWER_OVERLAP: Duration = Duration::from_secs(2);

/// The unanswered questions after which peers of other zones are asked as well.
const ZONE_QUESTIONS: u32 = 3;

/// The capacities that a target has listed.
#[derive(Clone, Debug)]
struct CapacityHistory {
    current: ResourceVector,
    /// Former capacities, and when they were replaced.
    former: VecDeque<(TimePoint, ResourceVector)>,
}

/// The capacities that were read from the list, and those that peers have read.
#[derive(Clone, Debug, Default)]
pub struct CapacityWatch {
    /// When the list was read for the first time.
    first_read_at: Option<TimePoint>,
    /// When the list was last read.
    read_at: TimePoint,
    /// The time up to which all changes are known, from the list or from peers.
    confirmed_at: TimePoint,
    histories: BTreeMap<TargetIndex, CapacityHistory>,
    /// The smallest capacities that peers have reported since the last read of the list.
    reported: BTreeMap<TargetIndex, ResourceVector>,
    asked_at: Option<TimePoint>,
    /// The number of questions since the latest answer.
    unanswered: u32,
}

impl CapacityWatch {
    /// Records the capacity in the entry of a target.
    pub fn record_listing(
        &mut self,
        now: TimePoint,
        target: TargetIndex,
        capacity: ResourceVector,
    ) {
        let history = self.histories.entry(target).or_insert(CapacityHistory {
            current: capacity,
            former: VecDeque::new(),
        });
        let former = std::mem::replace(&mut history.current, capacity);
        if former != capacity {
            history.former.push_back((now, former));
        }
        let outdated = |(at, _): &mut _| now.since(*at) >= HISTORY_PERIOD;
        while history.former.front_mut().is_some_and(outdated) {
            history.former.pop_front();
        }
    }

    /// Records that the list was read to its end.
    pub fn record_read(&mut self, now: TimePoint) {
        self.first_read_at.get_or_insert(now);
        self.read_at = now;
        self.confirmed_at = now;
        self.reported.clear();
        self.asked_at = None;
        self.unanswered = 0;
    }

    /// Whether the list was read recently.
    pub fn is_current(&self, now: TimePoint) -> bool {
        self.first_read_at.is_some() && now.since(self.read_at) < MAX_LIST_AGE
    }

    /// The part of a listed capacity that may be used.
    pub fn usable(
        &self,
        now: TimePoint,
        target: TargetIndex,
        listed: ResourceVector,
    ) -> ResourceVector {
        let reported = self.reported.get(&target).copied();
        let usable = reported.map_or(listed, |reported| listed.component_min(reported));
        if now.since(self.confirmed_at) < UNCONFIRMED_PERIOD {
            return usable;
        }
        let former = self.changes_since(now, target, HISTORY_PERIOD);
        former.fold(usable, ResourceVector::component_min)
    }

    /// The capacities of a target that were replaced within `age`.
    fn changes_since(
        &self,
        now: TimePoint,
        target: TargetIndex,
        age: Duration,
    ) -> impl Iterator<Item = ResourceVector> {
        let history = self.histories.get(&target);
        let former = history.into_iter().flat_map(|history| &history.former);
        let recent = former.filter(move |(at, _)| now.since(*at) < age);
        recent.map(|(_, capacity)| *capacity)
    }

    /// Whether a peer is to be asked now. Records the question if so, and returns for how long the changes
    /// are not known.
    pub fn plan_question(&mut self, now: TimePoint) -> Option<Duration> {
        self.first_read_at?;
        let age = now.since(self.confirmed_at);
        let waiting = self
            .asked_at
            .is_some_and(|at| now.since(at) < QUESTION_INTERVAL);
        if age < MAX_LIST_AGE || waiting {
            return None;
        }
        self.asked_at = Some(now);
        self.unanswered += 1;
        Some(age)
    }

    /// Whether the peers of this zone have left several questions unanswered.
    pub fn asks_other_zones(&self) -> bool {
        self.unanswered > ZONE_QUESTIONS
    }

    /// The age of the list, and the present capacities of the targets whose capacities have changed within
    /// `age`, or of all targets if this VM does not know all of these changes; `None` if its list is out of
    /// date.
    pub fn answer(
        &self,
        now: TimePoint,
        age: Duration,
    ) -> Option<(Duration, Vec<(TargetIndex, ResourceVector)>)> {
        let period = age + ANSWER_OVERLAP;
        let known_for = now.since(self.first_read_at?);
        if !self.is_current(now) {
            return None;
        }
        let knows_changes = known_for >= period && period <= HISTORY_PERIOD;
        let told = self.histories.iter().filter(|(target, _)| {
            let mut former = self.changes_since(now, **target, period);
            !knows_changes || former.next().is_some()
        });
        let capacities = told.map(|(target, history)| (*target, history.current));
        Some((now.since(self.read_at), capacities.collect()))
    }

    /// Applies the answer of a peer whose list was `age` old when the question of `asked_at` arrived. Returns
    /// the targets of whose capacity this VM uses less than before, with the new capacities.
    pub fn record_answer<I>(
        &mut self,
        now: TimePoint,
        asked_at: TimePoint,
        age: Duration,
        capacities: I,
    ) -> Vec<(TargetIndex, ResourceVector)>
    where
        I: IntoIterator<Item = (TargetIndex, ResourceVector)>,
    {
        let mut learned = Vec::new();
        if asked_at <= self.read_at || asked_at > now {
            return learned;
        }
        self.confirmed_at = self.confirmed_at.max(asked_at - age);
        self.unanswered = 0;
        for (target, capacity) in capacities {
            let listed = self.histories.get(&target).map(|history| history.current);
            let known = self.reported.get(&target).copied().or(listed);
            let smallest = known.map_or(capacity, |known| known.component_min(capacity));
            if known != Some(smallest) {
                learned.push((target, smallest));
            }
            self.reported.insert(target, smallest);
        }
        learned
    }
}
