//! Measures the cost of an estimate, and of one push, pop and settlement, for several queue lengths
//! and numbers of teams:
//! `cargo run --release -p filbertpitch-dispatch --example queue_cost`.

mod support;

use std::time::Duration;

use filbertpitch_dispatch::entity::{KindIndex, ServiceIndex, TaskKey, TeamIndex};
use filbertpitch_dispatch::estimate::{EstimateSettings, RunEstimator, SizeClass};
use filbertpitch_dispatch::queue::{FairQueue, LaneDecision, LaneKey, QueueEntry, SchedulingRound};
use filbertpitch_types::prelude::*;
use slotmap::SlotMap;
use support::processor_ns;

const ROUNDS: u64 = 400_000;
const KINDS: u64 = 6;

struct CostProbe {
    queue: FairQueue,
    tasks: SlotMap<TaskKey, ()>,
    round: SchedulingRound,
    teams: u64,
    pushed: u64,
}

impl CostProbe {
    fn push(&mut self, now: TimePoint) {
        self.pushed += 1;
        // A multiplicative hash spreads teams, kinds, run times and deadlines.
        let mixed = self.pushed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
        let run = Duration::from_millis(50 + mixed % 950);
        let entry = QueueEntry {
            task: self.tasks.insert(()),
            team: TeamIndex::from((mixed % self.teams) as usize),
            lane: LaneKey {
                kind: KindIndex::from((mixed / 1000 % KINDS) as usize),
                size: SizeClass::Short,
            },
            predicted: run,
            deadline: now + Duration::from_secs(3600) + run * 10,
            repeatable: true,
        };
        self.queue.push(now, entry);
    }

    /// Pops an entry as after one completion with all slots in use: one kind has a free slot, the
    /// others are blocked.
    fn pop(&mut self, now: TimePoint) -> Option<QueueEntry> {
        self.round.reset();
        let free = KindIndex::from((self.pushed % KINDS) as usize);
        let chosen = self.queue.pop_next(now, &mut self.round, |entry| {
            match entry.lane.kind == free {
                true => LaneDecision::Start(()),
                false => LaneDecision::Blocked,
            }
        });
        let (entry, ()) = chosen?;
        // The free slot is now in use, and the round ends when nothing else can start.
        let rest = self
            .queue
            .pop_next(now, &mut self.round, |_| LaneDecision::<()>::Blocked);
        debug_assert!(rest.is_none());
        self.tasks.remove(entry.task);
        self.queue
            .settle(entry.team, entry.predicted, entry.predicted * 11 / 10);
        Some(entry)
    }
}

fn print_estimate_cost() {
    let mut estimator = RunEstimator::new(EstimateSettings::default());
    let kind = KindIndex::from(0);
    estimator.configure(kind, ServiceIndex::from(0), Duration::from_millis(100));
    let start_ns = processor_ns();
    for number in 0..ROUNDS {
        let run = Duration::from_millis(50 + number % 100);
        std::hint::black_box(estimator.predict(kind, run));
        estimator.observe(kind, run, run * 2);
    }
    let cost = (processor_ns() - start_ns) / ROUNDS as f64;
    println!("ns/predict+observe {cost:.0}");
}

fn main() {
    print_estimate_cost();
    println!("tasks teams ns/push+pop+settle ns/work_ahead");
    for tasks in [1_000, 10_000, 100_000] {
        for teams in [3, 30, 140] {
            let mut probe = CostProbe {
                queue: FairQueue::default(),
                tasks: SlotMap::with_key(),
                round: SchedulingRound::default(),
                teams,
                pushed: 0,
            };
            (0..tasks).for_each(|_| probe.push(TimePoint(0)));
            let start_ns = processor_ns();
            for number in 0..ROUNDS {
                let now = TimePoint(number * 10);
                probe.push(now);
                probe.pop(now);
            }
            let cost = (processor_ns() - start_ns) / ROUNDS as f64;
            let start_ns = processor_ns();
            let calls = ROUNDS / 40;
            for number in 0..calls {
                let team = TeamIndex::from((number % teams) as usize);
                let few = |kind: KindIndex| usize::from(kind) < 2;
                let ahead = probe.queue.work_ahead_among(team, Duration::ZERO, few);
                std::hint::black_box(ahead);
            }
            let ahead = (processor_ns() - start_ns) / calls as f64;
            println!("{tasks} {teams} {cost:.0} {ahead:.0}");
        }
    }
}
