//! Verifies that an answer is the complete answer to the caller's own request.

use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, TaskAnswer, TaskSpec};
use filbertpitch_types::prelude::*;

use super::record::{JobResult, TaskClaims};
use crate::plan::{expected_output, text_digest};

/// Judges an answer.
pub fn judge_answer(request: &JobRequest, answer: &JobAnswer) -> JobResult {
    if answer.submission != request.submission {
        return JobResult::Wrong;
    }
    match answer.outcome {
        JobOutcome::Complete => judge_complete(request, answer),
        _ if answer.tasks.iter().any(has_output) => JobResult::Partial,
        JobOutcome::Failed => JobResult::Failed,
        JobOutcome::NotRun if answer.tasks.iter().all(is_not_run) => JobResult::NotRun,
        JobOutcome::NotRun => JobResult::Wrong,
        JobOutcome::Unknown => JobResult::Unknown,
    }
}

fn judge_complete(request: &JobRequest, answer: &JobAnswer) -> JobResult {
    let done = answer.tasks.iter().filter(|task| has_output(task)).count();
    if done != request.tasks.len() || answer.tasks.len() != done {
        return JobResult::Partial;
    }
    let mut pairs = request.tasks.iter().zip(&answer.tasks).enumerate();
    match pairs.all(|(position, (spec, task))| is_own_output(position, spec, task)) {
        true => JobResult::Complete,
        false => JobResult::Wrong,
    }
}

fn is_own_output(position: usize, spec: &TaskSpec, task: &TaskAnswer) -> bool {
    let TaskOutcome::Done { output } = &task.outcome else {
        return false;
    };
    usize::from(task.task.0) == position && *output == expected_output(&spec.input)
}

fn has_output(task: &TaskAnswer) -> bool {
    matches!(&task.outcome, TaskOutcome::Done { output } if !output.is_empty())
}

fn is_not_run(task: &TaskAnswer) -> bool {
    matches!(task.outcome, TaskOutcome::NotRun { .. })
}

/// The longest run time that the targets measured for the tasks of an answer.
pub fn measured_ideal(answer: &JobAnswer) -> Duration {
    let runs = answer.tasks.iter().map(|task| task.run_time);
    runs.max().unwrap_or_default()
}

/// Collects what an answer claims about the tasks of its request.
pub fn collect_claims(request: &JobRequest, answer: &JobAnswer, claims: &mut TaskClaims) {
    if answer.tasks.is_empty() && answer.outcome == JobOutcome::NotRun {
        claims
            .not_run
            .extend(request.tasks.iter().filter_map(key_digest));
    }
    for (spec, task) in request.tasks.iter().zip(&answer.tasks) {
        match task.outcome {
            TaskOutcome::Done { .. } => claims.done.extend(key_digest(spec)),
            TaskOutcome::NotRun { .. } => claims.not_run.extend(key_digest(spec)),
            _ => {}
        }
    }
}

fn key_digest(spec: &TaskSpec) -> Option<u64> {
    let mut words = spec.input.split_ascii_whitespace();
    words
        .find_map(|word| word.strip_prefix("key="))
        .map(text_digest)
}
