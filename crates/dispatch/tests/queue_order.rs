//! Guards the queue against lost or duplicated entries and against a wrong order within a team.

mod queue_support;

use std::collections::HashSet;

use filbertpitch_dispatch::entity::TeamIndex;
use filbertpitch_dispatch::queue::{FairQueue, LaneDecision, QueueEntry, SchedulingRound};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use queue_support::{TaskSource, ms, pop};

/// Guards against a lane without free slots that delays the other lanes of its team.
#[test]
fn blocked_lane_does_not_delay_another() {
    let mut tasks = TaskSource::default();
    let mut queue = FairQueue::default();
    let blocked = tasks.entry(0, 0, ms(1));
    let open = tasks.entry(0, 1, ms(1));
    queue.push(TimePoint(0), blocked);
    queue.push(TimePoint(0), open);
    let mut round = SchedulingRound::default();
    let choose = |entry: &QueueEntry| match entry.lane == blocked.lane {
        true => LaneDecision::Blocked,
        false => LaneDecision::Start(()),
    };
    let popped = queue.pop_next(TimePoint(0), &mut round, choose);
    assert_eq!(popped, Some((open, ())));
    assert_eq!(queue.pop_next(TimePoint(0), &mut round, choose), None);
}

/// Guards against rounds that offer tasks of the same blocked lane for every team.
#[test]
fn blocked_lane_is_offered_once_per_round() {
    let mut tasks = TaskSource::default();
    let mut queue = FairQueue::default();
    for number in 0..1000 {
        queue.push(TimePoint(0), tasks.entry(number % 50, number % 3, ms(1)));
    }
    let mut round = SchedulingRound::default();
    let mut offered = [0; 3];
    for _ in 0..10 {
        let none = queue.pop_next(TimePoint(0), &mut round, |entry| {
            let kind = usize::from(entry.lane.kind);
            offered[kind] += 1;
            match kind {
                2 => LaneDecision::<()>::Skip,
                _ => LaneDecision::Blocked,
            }
        });
        assert_eq!(none, None);
    }
    // The third lane is skipped, so it is offered once for each team.
    assert_eq!(offered, [1, 1, 50]);
    round.reset();
    let popped = queue.pop_next(TimePoint(0), &mut round, |_| LaneDecision::Start(()));
    assert_eq!(
        popped.map(|(entry, ())| usize::from(entry.lane.kind)),
        Some(0)
    );
}

/// Guards against a skipped task that blocks the same lane of other teams.
#[test]
fn skipped_lane_stays_open_to_other_teams() {
    let mut tasks = TaskSource::default();
    let mut queue = FairQueue::default();
    let skipped = tasks.entry(0, 0, ms(1));
    let other = tasks.entry(1, 0, ms(1));
    queue.push(TimePoint(0), skipped);
    queue.push(TimePoint(0), other);
    let mut round = SchedulingRound::default();
    let popped = queue.pop_next(TimePoint(0), &mut round, |entry| {
        match entry.team == skipped.team {
            true => LaneDecision::Skip,
            false => LaneDecision::Start(()),
        }
    });
    assert_eq!(popped, Some((other, ())));
}

/// Guards against a requeued task that is charged twice or loses its position in its team.
#[test]
fn requeued_task_keeps_its_position_and_is_charged_once() {
    let mut tasks = TaskSource::default();
    let mut queue = FairQueue::default();
    let entries = [0, 0, 0, 1].map(|team| tasks.entry(team, 0, ms(1)));
    for entry in entries {
        queue.push(TimePoint(0), entry);
    }
    let first = pop(&mut queue, TimePoint(0)).unwrap();
    assert_eq!(first, entries[0]);
    queue.requeue(TimePoint(0), first);
    let order = std::iter::from_fn(|| pop(&mut queue, TimePoint(0))).collect::<Vec<_>>();
    // After one charge of team 0, team 1 is next. The requeued task is still the first of team 0.
    assert_eq!(order, [entries[3], entries[0], entries[1], entries[2]]);
}

/// Guards against a team that loses part of its share because its tasks were refused and requeued.
#[test]
fn requeued_tasks_do_not_reduce_the_share_of_their_team() {
    let mut tasks = TaskSource::default();
    let mut queue = FairQueue::default();
    for number in 0..20 {
        queue.push(TimePoint(0), tasks.entry(number % 2, 0, ms(1)));
    }
    let mut started = [0_u32; 2];
    let mut refused = HashSet::new();
    while started.iter().sum::<u32>() < 10 {
        let entry = pop(&mut queue, TimePoint(0)).unwrap();
        let team = usize::from(entry.team);
        if team == 0 && refused.insert(entry.task) {
            queue.requeue(TimePoint(0), entry);
            continue;
        }
        started[team] += 1;
    }
    assert_eq!(started, [5, 5]);
}

/// Guards against an expired task that is started, or that is reported as expired twice.
#[test]
fn entry_past_its_deadline_is_never_offered() {
    let mut tasks = TaskSource::default();
    let mut queue = FairQueue::default();
    let mut late = tasks.entry(0, 0, ms(1));
    late.deadline = TimePoint(10);
    let unexpired = tasks.entry(0, 0, ms(1));
    queue.push(TimePoint(0), late);
    queue.push(TimePoint(0), unexpired);
    assert_eq!(queue.next_deadline(), Some(TimePoint(10)));
    assert_eq!(pop(&mut queue, TimePoint(10)), Some(unexpired));
    assert_eq!(queue.take_expired(TimePoint(10)), [late]);
    assert_eq!(queue.take_expired(TimePoint(10)), []);
}

#[derive(Clone, Debug)]
enum QueueStep {
    Push { team: usize, kind: usize, wait: u64 },
    PopThenRequeue,
    Pop,
    Remove { nth: usize },
    Expire { pause: u64 },
}

fn queue_step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0..4_usize, 0..3_usize, 1..200_u64)
            .prop_map(|(team, kind, wait)| QueueStep::Push { team, kind, wait }),
        1 => Just(QueueStep::PopThenRequeue),
        2 => Just(QueueStep::Pop),
        1 => (0..64_usize).prop_map(|nth| QueueStep::Remove { nth }),
        1 => (0..50_u64).prop_map(|pause| QueueStep::Expire { pause }),
    ]
}

/// A queue and, as the model to compare with, the list of the entries that must be in the queue.
#[derive(Default)]
struct CheckedQueue {
    tasks: TaskSource,
    queue: FairQueue,
    expected: Vec<QueueEntry>,
    now: TimePoint,
}

impl CheckedQueue {
    fn take(&mut self, entry: QueueEntry) {
        let position = self.expected.iter().position(|expected| *expected == entry);
        self.expected
            .remove(position.expect("an entry left the queue twice"));
        assert_eq!(self.queue.remove(entry.task), None);
    }

    fn apply(&mut self, step: QueueStep) {
        match step {
            QueueStep::Push { team, kind, wait } => {
                let mut entry = self.tasks.entry(team, kind, ms(1));
                entry.deadline = TimePoint(self.now.0 + wait);
                self.queue.push(self.now, entry);
                self.expected.push(entry);
            }
            QueueStep::PopThenRequeue => {
                if let Some(entry) = pop(&mut self.queue, self.now) {
                    self.queue.requeue(self.now, entry);
                }
            }
            QueueStep::Pop => {
                if let Some(entry) = pop(&mut self.queue, self.now) {
                    assert!(entry.deadline > self.now);
                    self.take(entry);
                }
            }
            QueueStep::Remove { nth } if nth < self.expected.len() => {
                let entry = self.expected[nth];
                assert_eq!(self.queue.remove(entry.task), Some(entry));
                self.take(entry);
            }
            QueueStep::Remove { .. } => {}
            QueueStep::Expire { pause } => {
                self.now = TimePoint(self.now.0 + pause);
                for entry in self.queue.take_expired(self.now) {
                    assert!(entry.deadline <= self.now);
                    self.take(entry);
                }
            }
        }
    }

    fn check(&self) {
        assert_eq!(self.queue.len(), self.expected.len());
        for team in (0..4).map(TeamIndex::from) {
            let depth = self
                .expected
                .iter()
                .filter(|entry| entry.team == team)
                .count();
            assert_eq!(self.queue.depth(team), depth);
            assert_eq!(self.queue.queued_work(team), ms(1) * depth as u32);
        }
    }
}

proptest! {
    /// Guards against entries that are lost, duplicated or miscounted.
    #[test]
    fn every_entry_leaves_exactly_once(steps in prop::collection::vec(queue_step(), 1..200)) {
        let mut checked = CheckedQueue::default();
        for step in steps {
            checked.apply(step);
            checked.check();
        }
        checked.apply(QueueStep::Expire { pause: 0 });
        while let Some(entry) = pop(&mut checked.queue, checked.now) {
            checked.take(entry);
        }
        prop_assert!(checked.expected.is_empty());
        prop_assert!(checked.queue.is_empty());
    }
}
