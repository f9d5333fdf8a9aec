//! Helpers shared by the tests of the models.

use std::time::Duration;

use filbertpitch_standins::target_model::{TargetModel, TargetProfile};
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptsRequest, CheckRequest, StartRequest};
use filbertpitch_types::time::ClockReading;

/// The wall-clock time at which tests start.
pub const WALL_START: WallTime = WallTime(1_700_000_000_000);

/// Both clocks, `millis` after the start of the test.
pub fn clock(millis: u64) -> ClockReading {
    let elapsed = Duration::from_millis(millis);
    ClockReading {
        time: TimePoint::default() + elapsed,
        wall: WALL_START + elapsed,
    }
}

/// An attempt of one incarnation.
pub fn attempt(job: u64, number: u8) -> AttemptId {
    AttemptId {
        incarnation: IncarnationId(7),
        job: JobNumber(job),
        task: TaskIndex(0),
        attempt: AttemptNumber(number),
    }
}

/// A start whose lease ends `lease_ms` after the start of the test.
pub fn start(attempt: AttemptId, input: &str, lease_ms: u64) -> StartRequest {
    StartRequest {
        attempt,
        service: "orders".parse().unwrap(),
        kind: "quote".parse().unwrap(),
        input: input.into(),
        lease_until: clock(lease_ms).wall,
        resume_from: None,
    }
}

/// Names the attempts of a stop, throttle or checkpoint.
pub fn attempts(attempts: &[AttemptId]) -> AttemptsRequest {
    AttemptsRequest {
        attempts: attempts.to_vec(),
    }
}

/// A check that renews leases until `lease_ms` after the start of the test.
pub fn check(attempts: &[AttemptId], lease_ms: u64) -> CheckRequest {
    CheckRequest {
        holder: IncarnationId(7),
        lease_until: clock(lease_ms).wall,
        attempts: attempts.to_vec(),
    }
}

/// A target with 8 slots that takes `quote` of `orders`.
pub fn target() -> TargetModel {
    let kinds = ["quote".parse().unwrap()].into();
    TargetModel::new(TargetProfile {
        takes: [("orders".parse().unwrap(), kinds)].into(),
        ..TargetProfile::default()
    })
}
