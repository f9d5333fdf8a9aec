//! `filbertpitch ticket apply`.

use std::fs;
use std::path::Path;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use filbertpitch_config::publish::{PublishReport, PublishStep, TicketPublisher};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_types::platform::TICKET_STREAM;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::client::SentState;
use filbertpitch_wire::runtime;
use serde::Serialize;

use super::super::table::{print_json, print_text, rounded};
use super::super::{CommandError, ExitStatus, TextTable, TicketApplyCommand};
use super::fleet::{ForceState, VmForce, await_force};
use super::reader::TicketReader;
use crate::log_client::{ReadOutcome, append_record, read_stream};

/// How long a ticket is tried before its outcome is reported as far as it is known.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of an application, for scripts.
#[derive(Debug, Serialize)]
struct ApplyResult {
    ticket: TicketNumber,
    nonce: TicketNonce,
    result: &'static str,
    message: Box<str>,
    offset: Option<LogOffset>,
    vms: Vec<VmForce>,
}

/// Appends a ticket to the log and waits until it is in effect.
pub fn apply(command: &TicketApplyCommand) -> Result<ExitStatus, CommandError> {
    let ticket = read_ticket(&command.file)?;
    runtime::run(publish(ticket, command))
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?
}

fn read_ticket(path: &Path) -> Result<ChangeTicket, CommandError> {
    let file = path.display();
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("{file} cannot be read"))
        .map_err(CommandError::bad_input)?;
    let nonce = format!("{:016x}", rand::random::<u64>());
    let nonce = nonce.parse().expect("hexadecimal digits are a valid nonce");
    ChangeTicket::from_yaml(&text, nonce).map_err(|errors| {
        let report = eyre!("{file} is not a valid ticket\n{errors}");
        CommandError::bad_input(report)
    })
}

async fn publish(
    ticket: ChangeTicket,
    command: &TicketApplyCommand,
) -> Result<ExitStatus, CommandError> {
    let mut reader = TicketReader::new(command.log);
    reader.catch_up().await?;
    let (number, nonce) = (ticket.number, ticket.nonce.clone());
    let publisher = TicketPublisher::new(ticket, reader.state().next_offset())
        .map_err(|errors| CommandError::bad_input(errors.into()))?;
    let report = drive(publisher, &mut reader).await?;
    let offset = match report {
        PublishReport::Accepted { offset } | PublishReport::Rejected { offset, .. } => Some(offset),
        PublishReport::NotAppended | PublishReport::Unknown(_) => None,
    };
    let vms = match report {
        PublishReport::Accepted { offset } => await_force(&command.via, offset).await,
        _ => Vec::new(),
    };
    let status = exit_status(&report, &vms);
    let result = ApplyResult {
        ticket: number,
        nonce,
        result: result_word(&report),
        message: report.to_string().into(),
        offset,
        vms,
    };
    if command.json {
        print_json(&result)?;
    } else {
        print_text(&describe(&result))?;
    }
    Ok(status)
}

async fn drive(
    mut publisher: TicketPublisher,
    reader: &mut TicketReader,
) -> Result<PublishReport, CommandError> {
    let end = reader.now() + PUBLISH_TIMEOUT;
    loop {
        if reader.now() >= end {
            return Ok(publisher.cancel());
        }
        match publisher.next_step(reader.now()) {
            PublishStep::Append(append) => {
                let answer =
                    append_record(reader.traffic(), reader.pool(), TICKET_STREAM, &append).await;
                let now = reader.now();
                match answer {
                    Ok(answer) => publisher.on_appended(answer),
                    Err(SentState::NotSent) => publisher.on_append_not_sent(now),
                    Err(SentState::MaybeSent) => publisher.on_append_lost(now),
                }
            }
            PublishStep::Read(read) => {
                let outcome =
                    read_stream(reader.traffic(), reader.pool(), TICKET_STREAM, &read).await;
                let now = reader.now();
                match outcome {
                    ReadOutcome::Read(answer) => publisher.on_read(now, &answer),
                    ReadOutcome::Expired(_) => publisher.on_read_expired(),
                    ReadOutcome::Outage => publisher.on_read_failed(now),
                }
            }
            PublishStep::InFlight => unreachable!("each step is finished before the next"),
            PublishStep::NotBefore(time) => {
                let pause = time.since(reader.now());
                monoio::time::sleep(pause.max(Duration::from_millis(1))).await;
            }
            PublishStep::AwaitFold(offset) => {
                if reader.pass(offset).await.is_err() {
                    return Ok(publisher.cancel());
                }
                publisher.on_fold(reader.state());
            }
            PublishStep::Finished(report) => return Ok(report),
        }
    }
}

fn exit_status(report: &PublishReport, vms: &[VmForce]) -> ExitStatus {
    match report {
        PublishReport::Accepted { .. } => match vms.iter().any(|vm| vm.state == ForceState::Late) {
            true => ExitStatus::Failed,
            false => ExitStatus::Success,
        },
        PublishReport::Rejected { .. } => ExitStatus::Failed,
        PublishReport::NotAppended => ExitStatus::NotRun,
        PublishReport::Unknown(_) => ExitStatus::Unknown,
    }
}

fn result_word(report: &PublishReport) -> &'static str {
    match report {
        PublishReport::Accepted { .. } => "accepted",
        PublishReport::Rejected { .. } => "rejected",
        PublishReport::NotAppended => "not_appended",
        PublishReport::Unknown(_) => "unknown",
    }
}

fn describe(result: &ApplyResult) -> String {
    let mut text = format!("ticket {}: {}\n", result.ticket, result.message);
    if result.result == "unknown" {
        let nonce = &result.nonce;
        text.push_str(&format!(
            "apply the same file again with `nonce: {nonce}` in it; it cannot take effect twice\n"
        ));
    }
    if result.vms.is_empty() {
        return text;
    }
    let mut table = TextTable::new(&["VM", "STATE", "AFTER"]);
    for vm in &result.vms {
        let state = match vm.state {
            ForceState::InForce => "in force",
            ForceState::Late => "not in force in time",
            ForceState::Unreachable => "could not be asked",
        };
        table.add(&[vm.address.to_string(), state.to_string(), rounded(vm.after)]);
    }
    text.push_str(&table.to_string());
    text
}
