//! Property tests of the limits of placement under arbitrary sequences of events.

mod support;

use std::time::Duration;

use filbertpitch_dispatch::entity::TargetIndex;
use filbertpitch_dispatch::placement::{
    AllocationEnd, Placement, PlacementRequest, PlacementSettings, SharePartitioner, SharePosition,
    SlotAllocation, SlotClass, TargetGate, TargetTable, long_slots,
};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::LoadReport;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

const MILLI: Duration = Duration::from_millis(1);

#[derive(Clone, Debug)]
enum Step {
    Start {
        long: bool,
        repeatable: bool,
        exclude: usize,
        wait_ms: u64,
    },
    End {
        pick: usize,
        busy: bool,
    },
    Throttle {
        pick: usize,
    },
    Report {
        target: usize,
        running: u16,
        leaving: bool,
    },
    Share {
        position: u32,
        vms: u32,
    },
    Leave {
        target: usize,
    },
    List {
        target: usize,
    },
    Gate {
        target: usize,
        gate: u8,
    },
    Sleep {
        ms: u64,
    },
    Reinstall,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (any::<bool>(), any::<bool>(), 0..8usize, 0..5u64).prop_map(
            |(long, repeatable, exclude, wait_ms)| Step::Start { long, repeatable, exclude, wait_ms }
        ),
        5 => (any::<usize>(), any::<bool>()).prop_map(|(pick, busy)| Step::End { pick, busy }),
        2 => any::<usize>().prop_map(|pick| Step::Throttle { pick }),
        4 => (0..5usize, 0..12u16, prop::bool::weighted(0.1))
            .prop_map(|(target, running, leaving)| Step::Report { target, running, leaving }),
        1 => (1..6u32).prop_flat_map(|vms| (0..vms).prop_map(move |position| Step::Share { position, vms })),
        1 => (0..5usize).prop_map(|target| Step::Leave { target }),
        1 => (0..5usize).prop_map(|target| Step::List { target }),
        1 => (0..5usize, 0..3u8).prop_map(|(target, gate)| Step::Gate { target, gate }),
        3 => (1..2000u64).prop_map(|ms| Step::Sleep { ms }),
        1 => Just(Step::Reinstall),
    ]
}

fn target_specs() -> impl Strategy<Value = Vec<(usize, u16, u16)>> {
    prop::collection::vec((0..3usize, 1..10u16, 1..70u16), 5)
}

struct Model {
    table: TargetTable,
    specs: Vec<(usize, u16, u16)>,
    allocations: Vec<SlotAllocation>,
    leaving: Vec<bool>,
    now: TimePoint,
    rng: ChaCha8Rng,
}

impl Model {
    fn new(specs: Vec<(usize, u16, u16)>) -> Self {
        let mut model = Self {
            table: TargetTable::new(PlacementSettings::default()),
            leaving: vec![false; specs.len()],
            specs,
            allocations: Vec::new(),
            now: TimePoint(1),
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        model.install();
        model
    }

    fn install(&mut self) {
        let mut catalog = support::catalog_of(&self.specs);
        let home = catalog.intern_zone(&support::name("zone0".into()));
        self.table.install(self.now, &catalog, home);
        let fleet = SharePosition {
            position: 0,
            vms: 3,
        };
        let remote = catalog.intern_zone(&support::name("zone1".into()));
        self.table.set_fleet(self.now, fleet, vec![home, remote]);
    }

    fn start(&mut self, class: SlotClass, repeatable: bool, exclude: usize, wait_ms: u64) {
        let excluded = TargetIndex::from(exclude);
        let request = PlacementRequest {
            kind: 0.into(),
            class,
            expected: MILLI * 50,
            exclude: SmallVec::from_slice(&[excluded]),
            repeatable,
            wait_estimate: MILLI * wait_ms as u32,
        };
        let placement = self.table.place(self.now, &request, &mut self.rng);
        assert_ne!(placement, Placement::Impossible);
        if let Placement::Start(target) = placement {
            assert_ne!(target, excluded, "excluded target chosen");
            assert!(!self.leaving[usize::from(target)], "leaving target chosen");
            let allocation = self
                .table
                .record_start(self.now, target, class, request.expected);
            self.allocations.push(allocation);
            self.check_start(target, class);
        }
    }

    /// Checks the limits after a start. The share may shrink while attempts run, so the limits hold
    /// only when an attempt starts.
    fn check_start(&self, target: TargetIndex, class: SlotClass) {
        let slots = self.specs[usize::from(target)].1;
        assert!(
            self.table.running(target) <= slots,
            "more running attempts than slots"
        );
        let share = self.table.share(target);
        assert!(
            self.table.connections(target) <= share.connections,
            "too many connections"
        );
        let long = self.table.running_long(target);
        assert!(
            class == SlotClass::Short || long <= long_slots(slots),
            "too many long attempts"
        );
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Start {
                long,
                repeatable,
                exclude,
                wait_ms,
            } => {
                let class = if long {
                    SlotClass::Long
                } else {
                    SlotClass::Short
                };
                self.start(class, repeatable, exclude, wait_ms);
            }
            Step::End { pick, busy } if !self.allocations.is_empty() => {
                let allocation = self.allocations.swap_remove(pick % self.allocations.len());
                let end = if busy {
                    AllocationEnd::RefusedBusy
                } else {
                    AllocationEnd::Ran
                };
                self.table.record_end(self.now, allocation, end);
            }
            Step::Throttle { pick } if !self.allocations.is_empty() => {
                let pick = pick % self.allocations.len();
                self.table
                    .record_throttle(self.now, &mut self.allocations[pick]);
            }
            Step::End { .. } | Step::Throttle { .. } => {}
            Step::Report {
                target,
                running,
                leaving,
            } => {
                let slots = self.specs[target].1;
                let load = LoadReport {
                    slots,
                    running,
                    throttled: 0,
                    leaving,
                    boot: 0,
                };
                self.table.report_load(self.now, target.into(), &load);
                self.leaving[target] = self.table.is_leaving(target.into());
                assert!(!leaving || self.leaving[target]);
            }
            Step::Share { position, vms } => self.table.set_share(self.now, position, vms),
            Step::Leave { target } => {
                self.table.mark_leaving(self.now, target.into());
                self.leaving[target] = true;
            }
            Step::List { target } => {
                self.table.mark_live(self.now, target.into());
                self.leaving[target] = self.table.is_leaving(target.into());
            }
            Step::Gate { target, gate } => {
                let gates = [
                    TargetGate::AllAttempts,
                    TargetGate::NoAttempts,
                    TargetGate::ProbeOnly,
                ];
                self.table
                    .set_gate(self.now, target.into(), gates[usize::from(gate)]);
            }
            Step::Sleep { ms } => self.now = self.now + MILLI * ms as u32,
            Step::Reinstall => self.install(),
        }
    }
}

proptest! {
    /// Guards against oversubscribed targets, attempts on leaving or excluded targets, and counts of
    /// running attempts and connections that are not zero after all attempts have ended.
    #[test]
    fn limits_hold_under_any_interleaving(
        specs in target_specs(),
        steps in prop::collection::vec(any_step(), 1..200),
    ) {
        let mut model = Model::new(specs);
        for step in steps {
            model.step(step);
        }
        while let Some(allocation) = model.allocations.pop() {
            model.table.record_end(model.now, allocation, AllocationEnd::Ran);
        }
        for target in (0..model.specs.len()).map(TargetIndex::from) {
            prop_assert_eq!(model.table.running(target), 0);
            prop_assert_eq!(model.table.running_long(target), 0);
            prop_assert_eq!(model.table.connections(target), 0);
        }
        prop_assert_eq!(model.table.capacity(0.into()).running, 0);
    }

    /// Guards against slots that belong to no VM or to two VMs, and against totals of two VMs that
    /// differ by more than one slot.
    #[test]
    fn shares_add_up_to_the_slots(
        vms in 1..12u32,
        targets in prop::collection::vec((0..40u16, 0..100u16), 1..60),
    ) {
        let mut sums = vec![(0, 0, 0); targets.len()];
        let mut totals = Vec::new();
        for position in 0..vms {
            let mut partitioner = SharePartitioner::new(SharePosition { position, vms });
            let mut total = 0;
            for (sum, &(slots, connections)) in sums.iter_mut().zip(&targets) {
                let share = partitioner.next_share(slots, connections);
                prop_assert!(share.long <= share.slots);
                *sum = (sum.0 + share.slots, sum.1 + share.long, sum.2 + share.connections);
                total += share.slots;
            }
            totals.push(total);
        }
        for (sum, (slots, connections)) in sums.into_iter().zip(targets) {
            prop_assert_eq!(sum, (slots, long_slots(slots), connections - connections / 4));
        }
        prop_assert!(totals.iter().max().unwrap() - totals.iter().min().unwrap() <= 1);
    }
}
