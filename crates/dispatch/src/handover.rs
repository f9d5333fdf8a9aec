//! Splits the answers of a handover into parts, each of which fits into one message.
//!
//! The sizes of outputs and the numbers of tasks per job vary widely, so a part is limited by its
//! size in bytes rather than by its number of answers.

use filbertpitch_types::caller::{JobAnswer, TaskAnswer};
use filbertpitch_types::prelude::*;

/// The size limit of a part with more than one answer, in bytes. The part would still fit into half
/// of the smallest body limit that the settings accept; the default limit of a request body is
/// 4 MiB.
pub const PART_LIMIT_BYTES: u64 = 1 << 20;
/// The size limit of an answer that is handed over, in bytes. A larger answer exceeds the limit of
/// a request body; its outcome is reported as unknown after the handover.
pub const ANSWER_LIMIT_BYTES: u64 = 3 << 20;

/// An upper estimate of the encoded size of an answer without its tasks, in bytes.
const JOB_OVERHEAD_BYTES: u64 = 512;
/// An upper estimate of the encoded size of a task answer without its texts, in bytes.
const TASK_OVERHEAD_BYTES: u64 = 128;

/// Splits answers, in their order, into parts of at most [`PART_LIMIT_BYTES`]. A larger answer is a
/// part of its own, and one above [`ANSWER_LIMIT_BYTES`] is left out.
pub fn split_answers(answers: Vec<JobAnswer>) -> Vec<Vec<JobAnswer>> {
    let mut parts: Vec<Vec<JobAnswer>> = Vec::new();
    let mut free_bytes = 0;
    for answer in answers {
        let bytes = encoded_bytes(&answer);
        if bytes > ANSWER_LIMIT_BYTES {
            continue;
        }
        match parts.last_mut() {
            Some(part) if bytes <= free_bytes => {
                part.push(answer);
                free_bytes -= bytes;
            }
            _ => {
                parts.push(vec![answer]);
                free_bytes = PART_LIMIT_BYTES.saturating_sub(bytes);
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
