//! Finished outcomes in parts that fit into one message.
//!
//! Outputs and the number of tasks per job vary widely, so a part is bounded by its size and not
//! by its number of answers.

use filbertpitch_types::caller::{JobAnswer, TaskAnswer};
use filbertpitch_types::prelude::*;

/// The size of a part. Half of the smallest body limit that the settings accept would still hold
/// it; the default limit of a request body is 4 MiB.
pub const PART_LIMIT_BYTES: u64 = 1 << 20;
/// The largest answer that is handed over. A larger one exceeds the limit of a request body, and
/// its outcome is reported as unknown after the handover.
pub const ANSWER_LIMIT_BYTES: u64 = 3 << 20;

/// The encoded size of an answer without its tasks, in bytes, rounded up.
const JOB_OVERHEAD_BYTES: u64 = 512;
/// The encoded size of a task answer without its texts, in bytes, rounded up.
const TASK_OVERHEAD_BYTES: u64 = 128;

/// Splits answers into parts of about [`PART_LIMIT_BYTES`], leaving out those above
/// [`ANSWER_LIMIT_BYTES`].
pub fn split_answers(answers: Vec<JobAnswer>) -> Vec<Vec<JobAnswer>> {
    let mut parts: Vec<Vec<JobAnswer>> = Vec::new();
    let mut room = 0;
    for answer in answers {
        let bytes = encoded_bytes(&answer);
        if bytes > ANSWER_LIMIT_BYTES {
            continue;
        }
        match parts.last_mut() {
            Some(part) if bytes <= room => {
                part.push(answer);
                room -= bytes;
            }
            _ => {
                parts.push(vec![answer]);
                room = PART_LIMIT_BYTES.saturating_sub(bytes);
            }
        }
    }
    parts
}

fn encoded_bytes(answer: &JobAnswer) -> u64 {
    let tasks = answer.tasks.iter().map(task_bytes);
    JOB_OVERHEAD_BYTES + tasks.sum::<u64>()
}

fn task_bytes(task: &TaskAnswer) -> u64 {
    let text = match &task.outcome {
        TaskOutcome::Done { output } => output.len(),
        TaskOutcome::Failed {
            reason: FailureReason::TargetError(text),
        } => text.len(),
        _ => 0,
    };
    TASK_OVERHEAD_BYTES + text as u64
}
