//! When the recorded crashes of targets show that a task is their cause.

use filbertpitch_fleet::crash_log::{CrashLog, CrashSuspicion};
use filbertpitch_types::fleet::CrashReport;
use filbertpitch_types::prelude::*;
use test_case::test_case;

const TASK: TaskName = TaskName {
    job: JobId(1),
    occurrence: 0,
    step: 0,
    index: 0,
};

/// What a target had when it crashed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CrashScene {
    /// The task alone.
    Alone,
    /// The task and others.
    Shared,
    /// A start request for the task whose outcome was not known.
    Requested,
}

use CrashScene::{Alone, Requested, Shared};

/// The crash of another instance of a target.
fn crash(instance: usize, scene: CrashScene) -> CrashReport {
    CrashReport {
        target: "target-1".parse().unwrap(),
        token: FencingToken(1),
        boot: Some(TargetBoot(instance as u64)),
        tasks: vec![TASK],
        alone: (scene == Alone).then_some(TASK),
        unconfirmed: match scene {
            Requested => vec![TASK],
            Alone | Shared => Vec::new(),
        },
    }
}

/// Guards against a job that is answered as failed although only one target has crashed with its task: the request for
/// another run had no known outcome when its target crashed, and the task may never have started there.
#[test_case(&[Requested, Alone], CrashSuspicion::Suspect; "request, then alone")]
#[test_case(&[Alone, Requested], CrashSuspicion::Suspect; "alone, then request")]
#[test_case(&[Requested, Requested, Alone], CrashSuspicion::Suspect; "two requests and alone")]
#[test_case(&[Requested, Requested, Requested], CrashSuspicion::Suspect; "three requests")]
fn request_without_an_outcome_gives_no_task_up(scenes: &[CrashScene], suspicion: CrashSuspicion) {
    check_suspicion(scenes, suspicion);
}

/// Guards against a task that is started again and again after its crashes have shown it to be their cause.
#[test_case(&[Shared], CrashSuspicion::Suspect; "one")]
#[test_case(&[Shared, Shared], CrashSuspicion::Suspect; "two beside others")]
#[test_case(&[Shared, Alone], CrashSuspicion::Cause; "two, once alone")]
#[test_case(&[Shared, Shared, Shared], CrashSuspicion::Cause; "three beside others")]
#[test_case(&[Shared, Requested, Shared], CrashSuspicion::Cause; "two beside others and a request")]
#[test_case(&[Requested, Requested, Requested, Requested], CrashSuspicion::Cause; "four before any response")]
fn cause_of_crashes_is_given_up(scenes: &[CrashScene], suspicion: CrashSuspicion) {
    check_suspicion(scenes, suspicion);
}

fn check_suspicion(scenes: &[CrashScene], suspicion: CrashSuspicion) {
    let mut log = CrashLog::default();
    for (instance, scene) in scenes.iter().enumerate() {
        log.record(TimePoint(1_000_000), &crash(instance, *scene));
    }
    assert_eq!(log.suspicion(TASK), suspicion);
}
