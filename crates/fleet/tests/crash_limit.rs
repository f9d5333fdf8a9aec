//! Tasks that crash the targets that start them: how many targets such a task costs, how soon its
//! job ends as failed, and that no other job fails with it.

mod support;

use std::time::Duration;

use filbertpitch_types::fleet::JobReply;
use filbertpitch_types::prelude::*;
use rand::Rng;
use support::{JobShape, SimFleet, SimOptions};
use test_case::test_case;

/// The seeds that each test runs.
const SEEDS: std::ops::Range<u64> = 0..8;
/// The number of targets that a task may crash while the VMs can exchange what they know.
const CRASH_LIMIT: usize = 2;
/// The same if the VMs that knew of a crash have ended.
const LOSSY_CRASH_LIMIT: usize = 3;
/// The time within which a job with a deadly task ends as failed in a quiet fleet.
const FAILURE_TIME: Duration = Duration::from_millis(1800);
/// The step in which a test waits for a start or a crash.
const WATCH_STEP: Duration = Duration::from_micros(200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A fleet of two zones that has settled.
fn settled_fleet(options: SimOptions) -> SimFleet {
    let mut fleet = SimFleet::new(options);
    fleet.run_for(Duration::from_secs(4));
    fleet
}

fn quiet_fleet(seed: u64) -> SimFleet {
    settled_fleet(SimOptions {
        seed,
        ..SimOptions::default()
    })
}

/// A fleet of two zones with two VMs and four targets each.
fn even_fleet(seed: u64) -> SimFleet {
    settled_fleet(SimOptions {
        seed,
        vms: vec![2, 2],
        targets: vec![4, 4],
        ..SimOptions::default()
    })
}

fn shape_of(work: Duration, deadly: u16) -> JobShape {
    JobShape {
        work,
        declared: work,
        client_timeout: ms(3000),
        deadly,
        ..JobShape::default()
    }
}

/// Runs a fleet until the tasks of a job have crashed this many targets.
fn run_until_crashes(fleet: &mut SimFleet, id: JobId, count: usize) {
    let limit = fleet.now + 5_000_000;
    while fleet.crashes_of(id) < count {
        assert!(fleet.now < limit, "job {id} crashes no {count} targets");
        fleet.run_for(WATCH_STEP);
    }
}

/// Runs a fleet until a task of a job has started, and returns the VM that sent the request.
fn run_until_start(fleet: &mut SimFleet, id: JobId) -> usize {
    let limit = fleet.now + 5_000_000;
    loop {
        let deadly = TaskName {
            job: id,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let record = fleet.tasks.get(&deadly);
        if let Some(start) = record.and_then(|record| record.starts.last()) {
            return start.vm;
        }
        assert!(fleet.now < limit, "job {id} does not start");
        fleet.run_for(WATCH_STEP);
    }
}

/// Names the VM to which the client of a killed VM sends its job again.
fn redirect(fleet: &mut SimFleet, id: JobId, vm: usize) {
    fleet.jobs.get_mut(&id).expect("the job was submitted").vm = vm;
}

fn describe(fleet: &SimFleet, id: JobId) -> String {
    let job = &fleet.jobs[&id];
    format!(
        "seed {}: job {id} crashes {} targets, at most {} by a task, with {} starts, and is answered \
         {:?} after {:?}",
        fleet.seed(),
        fleet.crashes_of(id),
        fleet.most_crashes(id),
        fleet.starts_of(id),
        job.reply,
        job.waited()
    )
}

/// Checks that a job was answered as failed and that none of its tasks crashed more targets.
fn check_failed(fleet: &SimFleet, id: JobId, crash_limit: usize) {
    let state = describe(fleet, id);
    assert!(fleet.most_crashes(id) <= crash_limit, "{state}");
    assert_eq!(fleet.jobs[&id].reply, Some(JobReply::Failed), "{state}");
}

fn check_completed(fleet: &SimFleet, id: JobId) {
    let state = describe(fleet, id);
    assert_eq!(fleet.jobs[&id].reply, Some(JobReply::Completed), "{state}");
}

/// Guards against a deadly task that is started again and again until its client is gone, and
/// against a job whose failure its client learns too late.
#[test_case(50, 8; "short task, crash after 8 ms")]
#[test_case(760, 8; "slow task, crash after 8 ms")]
#[test_case(760, 60; "slow task, crash after 60 ms")]
fn a_deadly_job_fails_soon(work_ms: u64, crash_ms: u64) {
    for seed in SEEDS {
        let mut fleet = settled_fleet(SimOptions {
            seed,
            crash_delay: ms(crash_ms),
            ..SimOptions::default()
        });
        let work = ms(work_ms);
        for round in 0..4 {
            let vm = round % fleet.vm_count();
            let before = fleet.submit(vm, shape_of(work, 0));
            let deadly = fleet.submit(vm, shape_of(work, 1));
            let after = fleet.submit(
                vm,
                JobShape {
                    tasks: 2,
                    ..shape_of(work, 0)
                },
            );
            fleet.run_for(Duration::from_secs(6));
            check_failed(&fleet, deadly, CRASH_LIMIT);
            let waited = fleet.jobs[&deadly].waited();
            assert!(waited <= FAILURE_TIME, "{}", describe(&fleet, deadly));
            for id in [before, after] {
                check_completed(&fleet, id);
            }
        }
    }
}

/// Guards against a task that crashes its target late, after other runs have begun and ended
/// beside it, and is taken for one that was only in company.
#[test]
fn a_task_that_crashes_late_fails() {
    for seed in SEEDS {
        let mut fleet = settled_fleet(SimOptions {
            seed,
            crash_delay: ms(300),
            ..SimOptions::default()
        });
        let shape = JobShape {
            client_timeout: ms(5000),
            ..shape_of(ms(760), 1)
        };
        let id = fleet.submit(0, shape);
        fleet.run_for(Duration::from_secs(8));
        check_failed(&fleet, id, CRASH_LIMIT);
    }
}

/// Guards against innocent tasks that are given up because they ran beside a deadly one.
#[test]
fn innocent_jobs_complete() {
    for seed in SEEDS {
        let mut fleet = settled_fleet(SimOptions {
            seed,
            targets: vec![12, 8],
            ..SimOptions::default()
        });
        let (mut innocent, mut deadly) = (Vec::new(), Vec::new());
        for round in 0..160_u32 {
            let vm = fleet.rng.random_range(0..fleet.vm_count());
            let work = ms(fleet.rng.random_range(100..500));
            let shape = JobShape {
                tasks: 4,
                cores: 8,
                client_timeout: ms(6000),
                ..shape_of(work, 0)
            };
            innocent.push(fleet.submit(vm, shape));
            if round % 20 == 0 {
                deadly.push(fleet.submit(vm, JobShape { deadly: 1, ..shape }));
            }
            fleet.run_for(ms(50));
        }
        fleet.run_for(Duration::from_secs(8));
        let crashes = fleet.tasks.values();
        let mut crashes = crashes.flat_map(|record| &record.crashes);
        assert!(crashes.any(|crash| !crash.is_cause), "no target is shared");
        fleet.check_failures();
        for id in innocent {
            check_completed(&fleet, id);
        }
        for id in deadly {
            check_failed(&fleet, id, CRASH_LIMIT);
        }
    }
}

/// Guards against a crash count that is lost with the coordinator of the job: its client sends the
/// job again to another VM, which starts the count anew.
#[test_case(0, LOSSY_CRASH_LIMIT; "at the crash")]
#[test_case(5, LOSSY_CRASH_LIMIT; "as the crash is noticed")]
#[test_case(300, CRASH_LIMIT; "after the crash is known")]
fn a_killed_coordinator_loses_no_count(delay_ms: u64, crash_limit: usize) {
    for seed in SEEDS {
        let mut fleet = quiet_fleet(seed);
        let id = fleet.submit(0, shape_of(ms(760), 1));
        run_until_crashes(&mut fleet, id, 1);
        fleet.run_for(ms(delay_ms));
        fleet.kill_vm(0, Duration::from_secs(4), false);
        redirect(&mut fleet, id, 1);
        fleet.run_for(Duration::from_secs(10));
        check_failed(&fleet, id, crash_limit);
    }
}

/// Guards against a crash that nobody learns of because the holder of the target is killed just
/// after its run request was sent.
#[test_case(false; "refusing connections")]
#[test_case(true; "not responding")]
fn a_killed_holder_hides_no_crash(unresponsive: bool) {
    for seed in SEEDS {
        let mut fleet = quiet_fleet(seed);
        let id = fleet.submit(0, shape_of(ms(760), 1));
        let holder = run_until_start(&mut fleet, id);
        fleet.kill_vm(holder, Duration::from_secs(4), unresponsive);
        if holder == 0 {
            redirect(&mut fleet, id, 1);
        }
        fleet.run_for(Duration::from_secs(12));
        check_failed(&fleet, id, LOSSY_CRASH_LIMIT);
    }
}

/// Guards against each side of a partition starting a deadly task without end: the client sends
/// the job again to the other side, and once more to the first one after the repair.
#[test]
fn a_cut_zone_keeps_the_limit() {
    for seed in SEEDS {
        let mut fleet = even_fleet(seed);
        let id = fleet.submit(0, shape_of(ms(760), 1));
        run_until_crashes(&mut fleet, id, 1);
        let zone = fleet.zone_of(0).clone();
        fleet.cut_zone(&zone);
        fleet.run_for(ms(300));
        fleet.send_again(id, 2);
        fleet.run_for(Duration::from_secs(8));
        fleet.heal();
        fleet.run_for(Duration::from_secs(4));
        // Either side may count up to the limit by itself.
        check_failed(&fleet, id, 2 * CRASH_LIMIT);
        let crashes = fleet.crashes_of(id);
        fleet.send_again(id, 0);
        fleet.run_for(Duration::from_secs(6));
        check_failed(&fleet, id, crashes);
    }
}

/// Guards against a VM that starts a task that its peers have given up, because it was down then.
#[test]
fn a_restarted_vm_learns_of_crashes() {
    for seed in SEEDS {
        let mut fleet = quiet_fleet(seed);
        let id = fleet.submit(0, shape_of(ms(50), 1));
        fleet.run_for(Duration::from_secs(4));
        check_failed(&fleet, id, CRASH_LIMIT);
        let starts = fleet.starts_of(id);
        fleet.kill_vm(0, ms(500), false);
        fleet.run_for(Duration::from_secs(3));
        fleet.send_again(id, 0);
        fleet.run_for(Duration::from_secs(4));
        check_failed(&fleet, id, CRASH_LIMIT);
        assert_eq!(fleet.starts_of(id), starts, "{}", describe(&fleet, id));
    }
}

/// Guards against a VM that starts a task that its peers have given up, because it was cut off
/// then.
#[test]
fn a_vm_that_was_cut_off_learns_of_crashes() {
    for seed in SEEDS {
        let mut fleet = quiet_fleet(seed);
        for peer in [0, 2] {
            fleet.cut_vms(1, peer, true);
        }
        fleet.run_for(Duration::from_secs(2));
        let id = fleet.submit(0, shape_of(ms(50), 1));
        fleet.run_for(Duration::from_secs(4));
        check_failed(&fleet, id, CRASH_LIMIT);
        let starts = fleet.starts_of(id);
        fleet.heal();
        fleet.run_for(Duration::from_secs(3));
        fleet.send_again(id, 1);
        fleet.run_for(Duration::from_secs(4));
        check_failed(&fleet, id, CRASH_LIMIT);
        assert_eq!(fleet.starts_of(id), starts, "{}", describe(&fleet, id));
    }
}

/// Guards against a job of several deadly tasks that crashes a target for each of them, twice:
/// beyond the targets that started one before the first crash was known, one trial settles the job.
#[test_case(2)]
#[test_case(4)]
fn several_deadly_tasks_cost_few_targets(deadly: u16) {
    for seed in SEEDS {
        let mut fleet = even_fleet(seed);
        let id = fleet.submit(0, shape_of(ms(50), deadly));
        run_until_crashes(&mut fleet, id, 1);
        // The crashes of the tasks that have started before the first crash can be known.
        fleet.run_for(ms(30));
        let first = fleet.crashes_of(id);
        fleet.run_for(Duration::from_secs(6));
        let state = describe(&fleet, id);
        assert!(first <= usize::from(deadly), "{first} crashes; {state}");
        assert!(fleet.crashes_of(id) <= first + 1, "{first} first; {state}");
        check_failed(&fleet, id, CRASH_LIMIT);
    }
}

/// Guards against a target that is only out of reach and counts as crashed: the task is served
/// elsewhere, also when that happens twice.
#[test_case(false; "cut")]
#[test_case(true; "cut with broken connections")]
fn an_unreachable_target_counts_as_no_crash(broken: bool) {
    for seed in SEEDS {
        let mut fleet = quiet_fleet(seed);
        let shape = JobShape {
            tasks: 1,
            client_timeout: ms(12_000),
            ..shape_of(ms(760), 0)
        };
        let id = fleet.submit(0, shape);
        for start in 1..=2 {
            while fleet.starts_of(id) < start {
                assert!(fleet.now < 20_000_000, "{}", describe(&fleet, id));
                fleet.run_for(WATCH_STEP);
            }
            fleet.run_for(ms(20));
            let place = fleet.targets.iter();
            let mut places = place
                .enumerate()
                .filter(|(_, target)| !target.runs.is_empty());
            let (target, _) = places.next().expect("the task runs");
            if broken {
                fleet.break_connections(target);
            }
            for vm in 0..fleet.vm_count() {
                fleet.cut_target(vm, target, true);
            }
        }
        fleet.run_for(Duration::from_secs(12));
        check_completed(&fleet, id);
    }
}

/// Guards against a task that escapes the limit because no target is idle for a start of its own.
#[test]
fn the_limit_holds_under_overload() {
    let mut times = Vec::new();
    for seed in SEEDS {
        let mut fleet = quiet_fleet(seed);
        let mut deadly = Vec::new();
        for round in 0..400_u32 {
            let vm = fleet.rng.random_range(0..fleet.vm_count());
            let work = ms(fleet.rng.random_range(50..800));
            fleet.submit(
                vm,
                JobShape {
                    cores: 14,
                    ..shape_of(work, 0)
                },
            );
            if round % 50 == 25 {
                let shape = JobShape {
                    cores: 14,
                    client_timeout: ms(6000),
                    ..shape_of(ms(100), 1)
                };
                deadly.push(fleet.submit(vm, shape));
            }
            fleet.run_for(ms(25));
        }
        fleet.run_for(Duration::from_secs(12));
        fleet.check_failures();
        for id in deadly {
            let state = describe(&fleet, id);
            println!("{state}");
            assert!(fleet.most_crashes(id) <= LOSSY_CRASH_LIMIT, "{state}");
            let job = &fleet.jobs[&id];
            assert_ne!(job.reply, Some(JobReply::Completed), "{state}");
            if job.reply == Some(JobReply::Failed) {
                times.push(job.waited());
            }
        }
    }
    times.sort();
    println!("failed after {times:?}");
    assert!(!times.is_empty(), "no deadly job ends as failed");
}
