//! Measures the size of messages and the processor time to encode and decode them, without HTTP.
//!
//! Run with `cargo run --release -p filbertpitch --example message_cost`.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, TaskAnswer, TaskSpec};
use filbertpitch_types::outcome::{JobOutcome, TaskOutcome};
use filbertpitch_types::peer::HandoverRequest;
use filbertpitch_types::platform::{VmEntry, VmList, VmRole, VmState};
use filbertpitch_types::prelude::*;
use filbertpitch_wire::codec::BodyFormat;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The least of several repetitions is reported, because other load only adds to it.
const REPETITIONS: usize = 3;
const INCARNATION: IncarnationId = IncarnationId(1_000_000_007);

fn processor_ns() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

fn address(index: u32) -> SocketAddr {
    let address = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index;
    SocketAddr::from((Ipv4Addr::from(address), 7500))
}

fn vm_list(count: u32) -> VmList {
    let vms = (0..count).map(|index| VmEntry {
        name: format!("target{index:05}").parse().expect("valid name"),
        address: address(index),
        zone: "biratnagar".parse().expect("valid name"),
        role: VmRole::Target,
        state: VmState::Live,
    });
    VmList { vms: vms.collect() }
}

fn submission(number: u32) -> SubmissionId {
    SubmissionId::Prefixed {
        prefix: OwnerPrefix {
            zone: "biratnagar".parse().expect("valid name"),
            address: address(1),
            incarnation: INCARNATION,
            epoch: EpochNumber(77),
        },
        key: format!("job-{number}").into(),
    }
}

fn job_request(tasks: u32) -> JobRequest {
    let task = TaskSpec {
        kind: "stock".parse().expect("valid name"),
        declared: Duration::from_millis(50),
        repeatable: true,
        input: "0123456789abcdef0123456789abcdef".into(),
    };
    JobRequest {
        submission: submission(1),
        team: "east".parse().expect("valid name"),
        service: "desk".parse().expect("valid name"),
        deadline: Duration::from_secs(10),
        tasks: vec![task; tasks as usize],
    }
}

fn job_answer(number: u32, tasks: u32) -> JobAnswer {
    let task = |task: u32| TaskAnswer {
        task: TaskIndex(task as u16),
        outcome: TaskOutcome::Done {
            output: "0123456789abcdef".into(),
        },
        attempts: 1,
        target: Some(format!("target{task:05}").parse().expect("valid name")),
        run_time: Duration::from_millis(50),
    };
    JobAnswer {
        submission: submission(number),
        outcome: JobOutcome::Complete,
        tasks: (0..tasks).map(task).collect(),
        not_run: None,
        unknown: None,
        retry_after: None,
        prefix: None,
    }
}

/// As many answers as one handover message carries.
fn handover(tasks: u32) -> HandoverRequest {
    HandoverRequest {
        from: INCARNATION,
        answers: (0..200).map(|number| job_answer(number, tasks)).collect(),
        last: true,
    }
}

fn print_row<M>(name: &str, size: u32, format: BodyFormat, message: &M)
where
    M: Serialize + DeserializeOwned,
{
    let body = format.encode(message).expect("the message encodes");
    let rounds = (20_000_000 / body.len().max(1)).clamp(3, 10_000);
    let micros = |step: &dyn Fn()| {
        let averages = (0..REPETITIONS).map(|_| {
            let begun = processor_ns();
            (0..rounds).for_each(|_| step());
            (processor_ns() - begun) / rounds as f64 / 1e3
        });
        averages.fold(f64::INFINITY, f64::min)
    };
    let encode = micros(&|| drop(format.encode(message)));
    let decode = micros(&|| drop(format.decode::<M>(&body)));
    println!("{name} {size} {} {encode:.1} {decode:.1}", body.len());
}

fn main() {
    println!("message size bytes us/encode us/decode");
    for count in [50, 500, 3_800, 9_900] {
        print_row("vm-list(VMs)", count, BodyFormat::Json, &vm_list(count));
    }
    for tasks in [1, 100, 730] {
        print_row(
            "job-request(tasks)",
            tasks,
            BodyFormat::Json,
            &job_request(tasks),
        );
        print_row(
            "job-answer(tasks)",
            tasks,
            BodyFormat::Json,
            &job_answer(1, tasks),
        );
        let format = BodyFormat::MessagePack;
        print_row("handover-of-200(tasks)", tasks, format, &handover(tasks));
    }
}
