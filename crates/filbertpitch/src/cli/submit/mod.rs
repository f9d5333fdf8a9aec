//! `filbertpitch submit`.

mod file;
mod report;
mod send;
mod trace;

use std::net::SocketAddr;
use std::time::Instant;

use eyre::{WrapErr, eyre};
use filbertpitch_types::outcome::JobOutcome;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::runtime;

use super::{CommandError, ExitStatus, RemoteError, SubmitCommand, VmClient};
use file::JobFile;
use trace::{ClientTrace, TracedAnswer};

/// Submits a job and prints its outcome.
pub(super) fn run(command: &SubmitCommand) -> Result<ExitStatus, CommandError> {
    let job = JobFile::load(&command.file)?;
    check_arguments(command)?;
    runtime::run(submit(command, job))
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?
}

fn check_arguments(command: &SubmitCommand) -> Result<(), CommandError> {
    let message = match (&command.submission, &command.key) {
        _ if command.via.is_empty() => "at least one `--via` is needed",
        (Some(_), Some(_)) => "`--key` and `--submission` exclude each other",
        _ => return Ok(()),
    };
    Err(CommandError::bad_input(eyre!(message)))
}

async fn submit(command: &SubmitCommand, job: JobFile) -> Result<ExitStatus, CommandError> {
    let clients = clients(&command.via);
    let submission = match &command.submission {
        Some(submission) => submission.clone(),
        None => new_submission(&clients, command.key.as_deref()).await?,
    };
    // Printed first, so that the job can be submitted again if this process is interrupted.
    eprintln!("submission: {submission}");
    let request = job.into_request(submission);
    let start = Instant::now();
    let trace = command.trace.then(ClientTrace::begin);
    if let Some(trace) = &trace {
        eprintln!("trace: {}", trace.number());
    }
    let header = trace.as_ref().map(ClientTrace::header);
    let answer = send::send_job(&clients, &request, header.as_deref()).await;
    let answer = answer.map_err(remote)?;
    let elapsed = start.elapsed();
    let tree = match trace.map(|trace| trace.end(&answer)) {
        Some(trace) => Some(trace.into_tree(clients, &answer).await),
        None => None,
    };
    match (command.json, &tree) {
        (true, Some(trace)) => super::table::print_json(&TracedAnswer {
            answer: &answer,
            trace,
        })?,
        (true, None) => super::table::print_json(&answer)?,
        (false, tree) => {
            let mut text = report::describe(&request, &answer, elapsed);
            if let Some(tree) = tree {
                text.push_str(&format!("\n{tree}"));
            }
            super::table::print_text(&text)?;
        }
    }
    Ok(match answer.outcome {
        JobOutcome::Complete => ExitStatus::Success,
        JobOutcome::Failed => ExitStatus::Failed,
        JobOutcome::NotRun => ExitStatus::NotRun,
        JobOutcome::Unknown => ExitStatus::Unknown,
    })
}

fn clients(addresses: &[SocketAddr]) -> Vec<VmClient> {
    addresses.iter().copied().map(VmClient::new).collect()
}

/// Forms the identifier of a new submission with a prefix from the first VM that issues one.
async fn new_submission(
    clients: &[VmClient],
    key: Option<&str>,
) -> Result<SubmissionId, CommandError> {
    let key = match key {
        Some(key) => key.to_string(),
        None => format!("{:016x}", rand::random::<u64>()),
    };
    let prefix = send::fetch_prefix(clients).await.map_err(remote)?;
    let submission = format!("{prefix}~{key}").parse();
    submission.map_err(|error: filbertpitch_types::text::ParseError| {
        CommandError::bad_input(eyre!(error))
    })
}

fn remote(error: RemoteError) -> CommandError {
    CommandError::new(error.exit_status(), error.into())
}
