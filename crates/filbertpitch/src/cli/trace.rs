//! `filbertpitch trace`, and the spans of a traced submission.

use std::time::Duration;

use eyre::{WrapErr, eyre};
use filbertpitch_types::trace::{TraceAnswer, TraceNumber};
use filbertpitch_wire::runtime;
use futures_util::future::join_all;
use http::Uri;

use super::table::{print_json, print_text};
use super::{CommandError, ExitStatus, RemoteError, TraceCommand, VmClient};
use crate::traces::{PlacedSpan, SpanTree};

/// A VM responds from memory, so a longer wait does not help.
const TRACE_TIMEOUT: Duration = Duration::from_secs(5);

/// Shows the spans of a trace.
pub(super) fn run(command: &TraceCommand) -> Result<ExitStatus, CommandError> {
    let addresses = command.via.iter().flat_map(|list| list.0.iter().copied());
    let clients = addresses.map(VmClient::new).collect::<Vec<_>>();
    if clients.is_empty() {
        let error = eyre!("at least one `--via` is needed");
        return Err(CommandError::bad_input(error));
    }
    let collected = runtime::run(async { collect(&clients, command.trace).await })
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?;
    if let (Some(error), true) = (collected.last_error, collected.answered == 0) {
        return Err(CommandError::new(error.exit_status(), error.into()));
    }
    if collected.spans.is_empty() {
        let error = eyre!(
            "no VM that responded keeps a span of trace {}",
            command.trace
        );
        return Err(CommandError::failed(error));
    }
    let tree = SpanTree::new(command.trace, collected.spans);
    match command.json {
        true => print_json(&tree)?,
        false => print_text(&tree.to_string())?,
    }
    Ok(ExitStatus::Success)
}

/// The spans of several VMs.
#[derive(Default)]
pub(super) struct CollectedSpans {
    pub(super) spans: Vec<PlacedSpan>,
    answered: usize,
    last_error: Option<RemoteError>,
}

/// Asks all VMs for their spans of a trace, and names those that do not respond.
pub(super) async fn collect(clients: &[VmClient], trace: TraceNumber) -> CollectedSpans {
    let answers = join_all(clients.iter().map(|client| fetch(client, trace))).await;
    let mut collected = CollectedSpans::default();
    for answer in answers {
        match answer {
            Ok(answer) => {
                let process = answer.address.to_string();
                let spans = answer.spans.into_iter().map(|span| PlacedSpan {
                    process: process.as_str().into(),
                    span,
                });
                collected.spans.extend(spans);
                collected.answered += 1;
            }
            Err(error) => {
                eprintln!("{error}; its spans are missing");
                collected.last_error = Some(error);
            }
        }
    }
    collected
}

async fn fetch(client: &VmClient, trace: TraceNumber) -> Result<TraceAnswer, RemoteError> {
    let target = format!("/v1/traces/{trace}");
    let target = target.parse::<Uri>().expect("a trace id is a path segment");
    client.get(target, TRACE_TIMEOUT).await
}
