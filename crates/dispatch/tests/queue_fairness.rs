//! Guards against teams that are served more or less work than their weighted share.

mod queue_support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::NonZeroU32;
use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, TeamIndex};
use filbertpitch_dispatch::queue::{FairQueue, QueueEntry, QueueSettings};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use queue_support::{TaskSource, ms, pop, team};
use test_case::test_case;

fn weight(value: u32) -> TeamWeight {
    TeamWeight(NonZeroU32::new(value).unwrap())
}

const LONGEST_MS: u64 = 1000;

proptest! {
    /// Guards against an arrival order or a mix of sizes and weights with which a backlogged team is
    /// served more or less than its weighted share.
    #[test]
    fn backlogged_teams_get_their_weighted_share(
        teams in prop::collection::vec((1..8_u32, 0..3_usize), 2..6),
        sizes in prop::collection::vec((0..6_usize, 1..=LONGEST_MS), 100..400),
    ) {
        let mut source = TaskSource::default();
        let mut queue = FairQueue::default();
        for (index, &(value, _)) in teams.iter().enumerate() {
            queue.set_weight(team(index), weight(value));
        }
        for &(owner, size) in &sizes {
            let owner = owner % teams.len();
            queue.push(TimePoint(0), source.entry(owner, teams[owner].1, ms(size)));
        }
        let mut served = vec![Duration::ZERO; teams.len()];
        loop {
            let backlogged = (0..teams.len()).filter(|&index| queue.depth(team(index)) > 0);
            let backlogged = backlogged.collect::<Vec<_>>();
            if backlogged.len() < teams.len() {
                break;
            }
            let normalized = |index: usize| served[index].as_secs_f64() / f64::from(teams[index].0);
            for (&left, &right) in backlogged.iter().zip(&backlogged[1..]) {
                // Start-time fair queueing bounds the difference by one task of each team.
                let longest = LONGEST_MS as f64 / 1e3;
                let bound = longest / f64::from(teams[left].0) + longest / f64::from(teams[right].0);
                prop_assert!((normalized(left) - normalized(right)).abs() <= bound + 1e-6);
            }
            let entry = pop(&mut queue, TimePoint(0)).unwrap();
            served[usize::from(entry.team)] += entry.predicted;
        }
    }

    /// Guards against a backlogged team that starves while others become backlogged and idle. Until
    /// the team is served, no other team of the same weight may be served more work than two of the
    /// longest tasks.
    #[test]
    fn waiting_team_is_not_overtaken(
        steps in prop::collection::vec((0..4_usize, 1..=LONGEST_MS, 0..3_usize), 1..400),
    ) {
        let mut source = TaskSource::default();
        let mut queue = FairQueue::default();
        // For each backlogged team, the work that each other team was served since the backlogged
        // one was last served or became backlogged.
        let mut overtaken = [[Duration::ZERO; 4]; 4];
        for (owner, size, pops) in steps {
            queue.push(TimePoint(0), source.entry(owner, 0, ms(size)));
            for _ in 0..pops {
                let Some(entry) = pop(&mut queue, TimePoint(0)) else {
                    break;
                };
                let served = usize::from(entry.team);
                overtaken[served] = [Duration::ZERO; 4];
                for waiting in (0..4).filter(|&index| index != served) {
                    if queue.depth(team(waiting)) == 0 {
                        overtaken[waiting] = [Duration::ZERO; 4];
                        continue;
                    }
                    overtaken[waiting][served] += entry.predicted;
                    prop_assert!(overtaken[waiting][served] <= ms(2 * LONGEST_MS));
                }
            }
        }
    }

    /// Guards against credit that a team accumulates while idle, and against a team that is not served
    /// after it becomes backlogged again.
    #[test]
    fn resuming_team_gets_its_share_and_no_more(
        idle_pops in 100..500_usize,
        size in 1..50_u64,
        allowed in 0..5_usize,
    ) {
        let mut source = TaskSource::default();
        let resume_allowance = ms(size) * allowed as u32;
        let mut queue = FairQueue::new(QueueSettings { resume_allowance });
        for _ in 0..idle_pops + 40 {
            queue.push(TimePoint(0), source.entry(0, 0, ms(size)));
        }
        for _ in 0..idle_pops {
            pop(&mut queue, TimePoint(0)).unwrap();
        }
        for _ in 0..40 {
            queue.push(TimePoint(0), source.entry(1, 0, ms(size)));
        }
        let returned = (0..40).filter(|_| pop(&mut queue, TimePoint(0)).unwrap().team == team(1));
        let returned = returned.count();
        let extra = returned as f64 - 20.0 - allowed as f64 / 2.0;
        prop_assert!(extra.abs() <= 1.0, "{returned} of 40 with an allowance of {allowed}");
    }

    /// Guards against a burst of mispredicted work that starves its team. The time without service is
    /// bounded by the lag window of 5 s at the current service rate, or by the lag floor of 10 s of
    /// work if that is longer.
    #[test]
    fn debt_is_bounded(excess_s in 1..100_000_u64, burst in 1..50_usize) {
        let mut source = TaskSource::default();
        let mut queue = FairQueue::default();
        for _ in 0..burst + 1 {
            queue.push(TimePoint(0), source.entry(0, 0, ms(100)));
        }
        for _ in 0..burst {
            pop(&mut queue, TimePoint(0)).unwrap();
            queue.settle(team(0), ms(100), Duration::from_secs(excess_s));
        }
        // The whole burst was popped at one time, so its work is also the work per second.
        let bound = Duration::from_secs(10).max(ms(100) * burst as u32 * 5) + ms(200);
        let mut now = TimePoint(0);
        let mut elapsed = Duration::ZERO;
        loop {
            queue.push(now, source.entry(1, 0, ms(100)));
            if pop(&mut queue, now).unwrap().team == team(0) {
                break;
            }
            now = now + ms(100);
            elapsed += ms(100);
            prop_assert!(elapsed <= bound, "not served for {elapsed:?}, bound {bound:?}");
        }
    }
}

/// Guards against a changed weight that does not apply to a backlogged team.
#[test]
fn weight_change_applies_at_once() {
    let mut source = TaskSource::default();
    let mut queue = FairQueue::default();
    for number in 0..400 {
        queue.push(TimePoint(0), source.entry(number % 2, 0, ms(10)));
    }
    let before = (0..40).filter(|_| pop(&mut queue, TimePoint(0)).unwrap().team == team(0));
    assert_eq!(before.count(), 20);
    queue.set_weight(team(0), weight(3));
    let heavy = (0..80)
        .filter(|_| pop(&mut queue, TimePoint(0)).unwrap().team == team(0))
        .count();
    assert!((59..=61).contains(&heavy), "{heavy} of 80");
}

/// Guards against an estimate of the work ahead that includes work beyond the other teams' shares.
#[test]
fn work_ahead_counts_fair_shares_only() {
    let mut source = TaskSource::default();
    let mut queue = FairQueue::default();
    for _ in 0..1000 {
        queue.push(TimePoint(0), source.entry(0, 0, ms(100)));
    }
    assert_eq!(queue.work_ahead(team(0)), ms(100_000));
    assert!(queue.work_ahead(team(1)) <= ms(100));
    for _ in 0..10 {
        queue.push(TimePoint(0), source.entry(1, 1, ms(100)));
    }
    assert_eq!(queue.work_ahead(team(1)), ms(2000));
    assert_eq!(queue.work_ahead(team(0)), ms(101_000));
    let own_kind =
        queue.work_ahead_among(team(1), Duration::ZERO, |kind| kind == KindIndex::from(1));
    assert_eq!(own_kind, ms(1000));
    // While 500 ms more of this team's work is served, the other team is served 500 ms more as well.
    let with_job = queue.work_ahead_among(team(1), ms(500), |_| true);
    assert_eq!(with_job, ms(2500));
}

/// A simulation of slots that run the tasks of one `FairQueue` in simulated time.
struct SlotSimulation {
    queue: FairQueue,
    source: TaskSource,
    now: TimePoint,
    free: usize,
    running: BinaryHeap<Reverse<(TimePoint, TeamIndex, Duration, Duration)>>,
    done: Vec<f64>,
}

impl SlotSimulation {
    fn new(slots: usize, teams: usize) -> Self {
        Self {
            queue: FairQueue::default(),
            source: TaskSource::default(),
            now: TimePoint(0),
            free: slots,
            running: BinaryHeap::new(),
            done: vec![0.0; teams],
        }
    }

    fn start_all(&mut self, actual: &mut dyn FnMut(&QueueEntry) -> Duration) {
        while self.free > 0 {
            let Some(entry) = pop(&mut self.queue, self.now) else {
                return;
            };
            self.free -= 1;
            let run = actual(&entry);
            self.running
                .push(Reverse((self.now + run, entry.team, entry.predicted, run)));
        }
    }

    fn advance(&mut self, until: TimePoint, actual: &mut dyn FnMut(&QueueEntry) -> Duration) {
        self.start_all(actual);
        while let Some(&Reverse((end, owner, predicted, run))) = self.running.peek() {
            if end > until {
                break;
            }
            self.running.pop();
            self.now = end;
            self.free += 1;
            self.done[usize::from(owner)] += run.as_secs_f64();
            self.queue.settle(owner, predicted, run);
            self.start_all(actual);
        }
        self.now = until;
    }
}

fn jain_index(values: &[f64]) -> f64 {
    let sum = values.iter().sum::<f64>();
    let squares = values.iter().map(|value| value * value).sum::<f64>();
    sum * sum / (values.len() as f64 * squares)
}

/// The Jain fairness index of the work done for three teams of equal weight. Together they offer more
/// than the capacity: the first team ten times as much as each of the others, and each of the others
/// at least its share. A task of a team runs `actual_factor` times as long as predicted.
fn overload_jain_index(actual_factor: [u64; 3], resume_allowance: Duration) -> f64 {
    const SLOTS: usize = 40;
    let mut simulation = SlotSimulation::new(SLOTS, 3);
    simulation.queue = FairQueue::new(QueueSettings { resume_allowance });
    // 40 slots run 40 s of work per second. The first team offers 140 s per second, the others 14 s
    // each.
    let mut actual =
        |entry: &QueueEntry| entry.predicted * actual_factor[usize::from(entry.team)] as u32;
    for step in 0..3000_u64 {
        let now = TimePoint(step * 10_000);
        simulation.advance(now, &mut actual);
        for (owner, work_ms) in [(0, 1400), (1, 140), (2, 140)] {
            let size = 5 + (step * 7 + owner as u64 * 13) % 90;
            let factor = actual_factor[owner];
            let count = (work_ms as f64 / (size * factor) as f64).ceil() as usize;
            for _ in 0..count {
                let entry = simulation.source.entry(owner, owner % 2, ms(size));
                simulation.queue.push(now, entry);
            }
        }
    }
    jain_index(&simulation.done)
}

/// Guards against a team that gains by submitting far more work than the others.
#[test_case(0; "without an allowance")]
#[test_case(2000; "with an allowance")]
fn overloading_team_gets_no_more_than_its_share(allowance_ms: u64) {
    let index = overload_jain_index([1, 1, 1], ms(allowance_ms));
    assert!(index >= 0.99, "Jain index {index}");
}

/// Guards against a team that gains by declaring shorter run times than its tasks have.
#[test_case(0; "without an allowance")]
#[test_case(2000; "with an allowance")]
fn underdeclared_work_gets_no_more_than_its_share(allowance_ms: u64) {
    let index = overload_jain_index([8, 1, 1], ms(allowance_ms));
    assert!(index >= 0.99, "Jain index {index}");
}
