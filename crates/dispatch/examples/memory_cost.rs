//! Measures the resident memory per live task, per retained outcome and per digest whose outcome
//! was evicted. Each measurement needs a process of its own, because freed memory is not returned to
//! the system:
//! `cargo run --release -p filbertpitch-dispatch --example memory_cost -- queued|running|single|outcomes|digests`.

mod support;

use std::rc::Rc;
use std::time::Duration;

use filbertpitch_dispatch::submission::{RequestDigest, SubmissionSettings, SubmissionTable};
use filbertpitch_types::caller::{JobAnswer, TaskAnswer};
use filbertpitch_types::outcome::{JobOutcome, TaskOutcome};
use filbertpitch_types::prelude::*;
use support::fleet::{FleetShape, TestFleet};
use support::{resident_bytes, zone_name};

const THIS: IncarnationId = IncarnationId(7);

fn print_live(name: &str, targets: usize, job_tasks: usize) {
    let shape = FleetShape {
        targets,
        teams: 3,
        job_tasks,
    };
    let mut fleet = TestFleet::new(shape);
    let empty = resident_bytes();
    let mut jobs = 0;
    for live in [10_000, 30_000, 100_000] {
        while jobs * shape.job_tasks < live {
            fleet.submit();
            jobs += 1;
        }
        let bytes = (resident_bytes() - empty) / live as u64;
        let running = fleet.running();
        println!("{name}: {live} live, {running} running: {bytes} bytes/task");
    }
}

fn answer(number: u64, tasks: u16) -> Rc<JobAnswer> {
    let prefix = OwnerPrefix {
        zone: zone_name(),
        address: ([127, 0, 0, 1], 7400).into(),
        incarnation: THIS,
        epoch: EpochNumber(0),
    };
    Rc::new(JobAnswer {
        submission: SubmissionId::Prefixed {
            prefix,
            key: format!("job-{number}").into(),
        },
        outcome: JobOutcome::Complete,
        tasks: (0..tasks)
            .map(|task| TaskAnswer {
                task: TaskIndex(task),
                outcome: TaskOutcome::Done {
                    output: "0123456789abcdef".into(),
                },
                attempts: 1,
                target: Some(
                    format!("target{:05}", task % 3800)
                        .parse()
                        .expect("valid name"),
                ),
                run_time: Duration::from_millis(50),
            })
            .collect(),
        not_run: None,
        unknown: None,
        retry_after: None,
        prefix: None,
    })
}

fn table(byte_limit: ByteSize) -> SubmissionTable {
    let settings = SubmissionSettings {
        byte_limit,
        epoch_byte_limit: ByteSize::mib(1 << 20),
        ..SubmissionSettings::default()
    };
    SubmissionTable::new(THIS, settings, TimePoint(0))
}

fn print_outcomes() {
    let limit = ByteSize::mib(1 << 20);
    let mut table = table(limit);
    let empty = resident_bytes();
    let mut jobs = 0;
    for size in [10_000_u64, 30_000, 100_000] {
        while jobs < size {
            table.record_answer(answer(jobs, 1), Some(RequestDigest(1)));
            jobs += 1;
        }
        let bytes = (resident_bytes() - empty) / size;
        let estimate = table.bytes().0 / size;
        println!("jobs of 1 task: {size} outcomes: {bytes} bytes each, estimated {estimate}");
    }
    drop(table);
    let mut table = self::table(limit);
    let (empty, jobs) = (resident_bytes(), 2_000);
    for number in 0..jobs {
        table.record_answer(answer(number, 730), Some(RequestDigest(1)));
    }
    let bytes = (resident_bytes() - empty) / jobs;
    let estimate = table.bytes().0 / jobs;
    println!("jobs of 730 tasks: {jobs} outcomes: {bytes} bytes each, estimated {estimate}");
}

fn print_digests() {
    let mut table = table(ByteSize(0));
    let empty = resident_bytes();
    let mut jobs = 0;
    for size in [100_000_u64, 300_000, 1_000_000] {
        while jobs < size {
            table.record_answer(answer(jobs, 1), Some(RequestDigest(1)));
            jobs += 1;
            if jobs % 100 == 0 {
                // Evicts the answers and keeps the digests.
                table.advance(TimePoint(jobs));
            }
        }
        let bytes = (resident_bytes() - empty) / size;
        println!(
            "{size} forgotten: {bytes} bytes each, estimated {}",
            table.bytes().0 / size
        );
    }
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("queued") => print_live("queued", 50, 10),
        Some("running") => print_live("running", 12_500, 10),
        Some("single") => print_live("queued, 1 task per job", 50, 1),
        Some("outcomes") => print_outcomes(),
        Some("digests") => print_digests(),
        _ => {
            eprintln!("usage: memory_cost queued|running|single|outcomes|digests");
            std::process::exit(2);
        }
    }
}
