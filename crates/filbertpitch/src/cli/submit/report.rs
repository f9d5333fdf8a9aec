//! The outcome of a job as text.

use std::time::Duration;

use filbertpitch_types::caller::{JobAnswer, JobRequest, TaskAnswer};
use filbertpitch_types::outcome::TaskOutcome;

use crate::cli::TextTable;
use crate::cli::table::{one_line, optional, rounded};

/// The longest output or reason in a table, in characters; `--json` prints all of it.
const DETAIL_LIMIT: usize = 60;

/// Describes the outcome of a job; `elapsed` is the time from the request to the response.
pub(super) fn describe(request: &JobRequest, answer: &JobAnswer, elapsed: Duration) -> String {
    let mut table = TextTable::default();
    table.add(&["submission", &answer.submission.to_string()]);
    table.add(&["outcome", &answer.outcome.to_string()]);
    table.add(&["response time", &rounded(elapsed)]);
    if let Some(reason) = answer.not_run {
        table.add(&["reason", &reason.to_string()]);
    }
    if let Some(reason) = answer.unknown {
        table.add(&["reason", &reason.to_string()]);
    }
    if let Some(retry_after) = answer.retry_after {
        table.add(&["retry after", &rounded(retry_after)]);
    }
    if answer.tasks.is_empty() {
        return table.to_string();
    }
    format!("{table}\n{}", tasks(request, answer))
}

fn tasks(request: &JobRequest, answer: &JobAnswer) -> TextTable {
    let titles = [
        "TASK", "KIND", "OUTCOME", "ATTEMPTS", "TARGET", "RUN TIME", "DETAIL",
    ];
    let mut table = TextTable::new(&titles);
    for task in &answer.tasks {
        let spec = request.tasks.get(usize::from(task.task.0));
        let (outcome, detail) = outcome(task);
        table.add(&[
            task.task.to_string(),
            optional(spec.map(|spec| &spec.kind)),
            outcome.to_string(),
            task.attempts.to_string(),
            optional(task.target.as_ref()),
            rounded(task.run_time),
            one_line(&detail, DETAIL_LIMIT),
        ]);
    }
    table
}

fn outcome(task: &TaskAnswer) -> (&'static str, String) {
    match &task.outcome {
        TaskOutcome::Done { output } => ("done", output.to_string()),
        TaskOutcome::Failed { reason } => ("failed", reason.to_string()),
        TaskOutcome::NotRun { reason } => ("not_run", reason.to_string()),
        TaskOutcome::Unknown { reason } => ("unknown", reason.to_string()),
    }
}
