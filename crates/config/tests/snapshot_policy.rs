//! Guards against a log whose retained records no longer suffice to rebuild the configuration, and
//! against redundant snapshots.

mod common;

use std::time::Duration;

use common::*;
use filbertpitch_config::follower::LogFollower;
use filbertpitch_config::policy::{OldestNeeded, RetentionView, SnapshotPolicy};
use filbertpitch_config::record::RecordBody;
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use test_case::test_case;

const RETENTION: Duration = Duration::from_secs(160);
const STEP: Duration = Duration::from_millis(500);

/// Several VMs that read and publish snapshots on one log with limited retention.
struct VmGroup {
    log: ModelLog,
    vms: Vec<(LogFollower, SnapshotPolicy)>,
    now: TimePoint,
}

impl VmGroup {
    fn new(jitters: &[u16]) -> Self {
        let vm = |&jitter| {
            (
                LogFollower::new(small_reads(16)),
                SnapshotPolicy::new(jitter),
            )
        };
        let log = ModelLog {
            retention: RETENTION,
            ..ModelLog::default()
        };
        Self {
            log,
            vms: jitters.iter().map(vm).collect(),
            now: TimePoint(0),
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.log.now = self.log.now + STEP;
        let expired = |record: &&filbertpitch_types::platform::LogRecord| {
            self.log.now.since(record.appended_at) > RETENTION
        };
        self.log.first = self.log.records.iter().take_while(expired).count();
        for (follower, _) in &mut self.vms {
            read_once(follower, &self.log, &mut self.now.clone());
        }
        // All VMs decide before any of them reads again: the worst case for concurrent snapshots.
        for (follower, policy) in &mut self.vms {
            let due = follower
                .retention_view()
                .is_some_and(|view| policy.is_due(self.now, &view));
            if due {
                policy.attempted(self.now);
                self.log.append(&follower.snapshot_record().unwrap());
            }
        }
    }

    fn new_reader_state(&self) -> Option<String> {
        let mut reader = LogFollower::new(small_reads(64));
        let mut now = TimePoint(0);
        for _ in 0..12 {
            read_once(&mut reader, &self.log, &mut now);
        }
        reader.has_state().then(|| state_text(reader.state()))
    }

    fn snapshots(&self) -> usize {
        let snapshot = |body| matches!(RecordBody::parse(body), RecordBody::Snapshot(_));
        self.log
            .records
            .iter()
            .filter(|record| snapshot(&record.body))
            .count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn new_reader_can_start_at_any_time(
        jitters in prop::collection::vec(any::<u16>(), 1..5),
        ticket_steps in prop::collection::btree_set(0..1200usize, 1..12),
        replaced in prop::collection::vec((0..1200usize, any::<prop::sample::Index>()), 0..4),
    ) {
        let mut group = VmGroup::new(&jitters);
        for step in 0..1200 {
            if ticket_steps.contains(&step) {
                group.log.append(&format!(
                    r#"{{"ticket":{{"number":{},"nonce":"n{step}","author":"o","objects":[{{"team":"m{step}"}}]}}}}"#,
                    step + 1
                ));
            }
            group.step();
            for (at, index) in &replaced {
                if *at == step {
                    let vm = &mut group.vms[index.index(jitters.len())];
                    vm.0 = LogFollower::new(small_reads(16));
                }
            }
            if step % 40 == 39 {
                let expected = state_text(&group.log.full_fold());
                prop_assert_eq!(group.new_reader_state(), Some(expected), "step {}", step);
            }
        }
    }
}

/// Guards against several VMs publishing the same snapshot. A test of 600 s contains at most seven
/// half retentions of 80 s; the jitter of up to 20 s separates the VMs.
#[test]
fn concurrent_vms_mostly_avoid_duplicate_snapshots() {
    let mut group = VmGroup::new(&[0, 9_000, 20_000, 31_000, 42_000, 53_000, 65_535]);
    group
        .log
        .append(r#"{"ticket":{"number":1,"nonce":"n","author":"o","objects":[{"team":"m"}]}}"#);
    for _ in 0..1200 {
        group.step();
    }
    assert!(
        (6..=8).contains(&group.snapshots()),
        "{}",
        group.snapshots()
    );
}

#[test]
fn empty_stream_needs_no_snapshot() {
    let mut group = VmGroup::new(&[0, 65_535]);
    for _ in 0..600 {
        group.step();
    }
    assert_eq!(group.snapshots(), 0);
}

#[test]
fn state_from_a_peer_is_published_soon_because_the_oldest_record_is_unknown() {
    let mut group = VmGroup::new(&[0]);
    group
        .log
        .append(r#"{"ticket":{"number":1,"nonce":"n","author":"o","objects":[{"team":"m"}]}}"#);
    group.step();
    let transfer = group.vms[0].0.state_transfer().unwrap();
    let mut vm = LogFollower::new(small_reads(16));
    vm.on_state(&transfer);
    group.vms[0].0 = vm;
    group.step();
    assert_eq!(group.snapshots(), 1);
    for _ in 0..60 {
        group.step();
    }
    assert_eq!(group.snapshots(), 1);
}

#[test_case(79, 0, false; "before half of the retention")]
#[test_case(80, 0, true; "at half of the retention")]
#[test_case(99, u16::MAX, false; "before the jitter")]
#[test_case(100, u16::MAX, true; "after the jitter")]
fn snapshot_is_due_after_half_of_the_retention_and_the_jitter(age: u64, jitter: u16, due: bool) {
    let view = RetentionView {
        log_now: WallTime(age * 1000),
        retention: RETENTION,
        oldest: OldestNeeded::Since(WallTime(0)),
    };
    let mut policy = SnapshotPolicy::new(jitter);
    assert_eq!(policy.is_due(TimePoint(0), &view), due);
    policy.attempted(TimePoint(0));
    assert!(!policy.is_due(TimePoint(0) + Duration::from_secs(9), &view));
    assert_eq!(
        policy.is_due(TimePoint(0) + Duration::from_secs(10), &view),
        due
    );
}
