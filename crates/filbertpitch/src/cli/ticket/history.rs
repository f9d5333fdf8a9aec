//! `filbertpitch ticket list` and `filbertpitch ticket show`.

use std::collections::BTreeMap;

use eyre::{WrapErr, eyre};
use filbertpitch_config::fold::ConfigState;
use filbertpitch_config::record::RecordBody;
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::runtime;
use serde::Serialize;

use super::super::table::{one_line, print_json, print_text};
use super::super::{CommandError, ExitStatus, TextTable, TicketListCommand, TicketShowCommand};
use super::reader::TicketReader;

/// The longest reason in a table, in characters.
const REASON_LIMIT: usize = 100;

/// One ticket of the list.
#[derive(Debug, Serialize)]
struct TicketSummary {
    offset: LogOffset,
    ticket: TicketNumber,
    nonce: TicketNonce,
    accepted: bool,
    reason: Option<Box<str>>,
}

/// One ticket with its content, as far as the log keeps it.
#[derive(Debug, Serialize)]
struct TicketDetail {
    #[serde(flatten)]
    summary: TicketSummary,
    content: Option<Box<ChangeTicket>>,
}

/// Lists the tickets in the log.
pub fn list(command: &TicketListCommand) -> Result<ExitStatus, CommandError> {
    let summaries = in_runtime(async {
        let mut reader = TicketReader::new(command.log);
        reader.catch_up().await?;
        Ok(summaries(reader.state()))
    })?;
    if command.json {
        print_json(&summaries)?;
        return Ok(ExitStatus::Success);
    }
    let mut table = TextTable::new(&["OFFSET", "TICKET", "VERDICT", "REASON"]);
    for summary in &summaries {
        let reason = summary.reason.as_deref().unwrap_or("-");
        table.add(&[
            summary.offset.to_string(),
            summary.ticket.to_string(),
            verdict_word(summary).to_string(),
            one_line(reason, REASON_LIMIT),
        ]);
    }
    print_text(&table.to_string())?;
    Ok(ExitStatus::Success)
}

/// Shows a ticket.
pub fn show(command: &TicketShowCommand) -> Result<ExitStatus, CommandError> {
    let details = in_runtime(async {
        let mut reader = TicketReader::new(command.log);
        reader.catch_up().await?;
        let mut contents = ticket_contents(&reader).await?;
        let found = summaries(reader.state()).into_iter();
        let found = found.filter(|summary| summary.ticket == command.number);
        let details = found.map(|summary| TicketDetail {
            content: contents.remove(&summary.offset),
            summary,
        });
        Ok(details.collect::<Vec<_>>())
    })?;
    if details.is_empty() {
        let number = command.number;
        let report = eyre!("the log keeps no ticket with number {number}");
        return Err(CommandError::failed(report));
    }
    if command.json {
        print_json(&details)?;
        return Ok(ExitStatus::Success);
    }
    for detail in &details {
        print_text(&describe(detail)?)?;
    }
    Ok(ExitStatus::Success)
}

fn in_runtime<F, T>(future: F) -> Result<T, CommandError>
where
    F: Future<Output = Result<T, CommandError>>,
{
    runtime::run(future)
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?
}

fn summaries(state: &ConfigState) -> Vec<TicketSummary> {
    let entries = state.recent_verdicts();
    let summaries = entries.map(|entry| TicketSummary {
        offset: entry.offset,
        ticket: entry.ticket,
        nonce: entry.nonce.clone(),
        accepted: entry.rejected.is_none(),
        reason: entry
            .rejected
            .as_ref()
            .map(|reason| reason.to_string().into()),
    });
    summaries.collect()
}

async fn ticket_contents(
    reader: &TicketReader,
) -> Result<BTreeMap<LogOffset, Box<ChangeTicket>>, CommandError> {
    let records = reader.records().await?;
    let tickets = records
        .iter()
        .filter_map(|record| match RecordBody::parse(&record.body) {
            RecordBody::Ticket(ticket) => Some((record.offset, ticket)),
            RecordBody::Snapshot(_) | RecordBody::Malformed(_) => None,
        });
    Ok(tickets.collect())
}

fn verdict_word(summary: &TicketSummary) -> &'static str {
    match summary.accepted {
        true => "accepted",
        false => "rejected",
    }
}

fn describe(detail: &TicketDetail) -> Result<String, CommandError> {
    let summary = &detail.summary;
    let mut text = format!("# offset {}, {}\n", summary.offset, verdict_word(summary));
    if let Some(reason) = &summary.reason {
        text.push_str(&format!("# {}\n", one_line(reason, REASON_LIMIT)));
    }
    match &detail.content {
        Some(content) => {
            let yaml = serde_norway::to_string(content)
                .wrap_err("the ticket cannot be written as YAML")
                .map_err(CommandError::failed)?;
            text.push_str(&yaml);
        }
        None => text.push_str("# the record has expired; its content is part of a snapshot\n"),
    }
    Ok(text)
}
