//! `filbertpitch status`.

use std::time::Duration;

use eyre::WrapErr;
use filbertpitch_types::status::VmStatus;
use filbertpitch_wire::runtime;
use http::Uri;

use super::table::{one_line, optional, print_json, print_text, rounded};
use super::{CommandError, ExitStatus, StatusCommand, TextTable, VmClient};

/// A VM responds from memory, so a longer wait does not help.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest reason in a table, in characters.
const REASON_LIMIT: usize = 60;

/// Shows the state of a VM.
pub(super) fn run(command: &StatusCommand) -> Result<ExitStatus, CommandError> {
    let client = VmClient::new(command.via);
    let request = client.get::<VmStatus>(Uri::from_static("/v1/status"), STATUS_TIMEOUT);
    let status = runtime::run(request)
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?
        .map_err(|error| CommandError::new(error.exit_status(), error.into()))?;
    if command.json {
        print_json(&status)?;
    } else {
        print_text(&describe(&status))?;
    }
    Ok(ExitStatus::Success)
}

fn describe(status: &VmStatus) -> String {
    let sections = [
        general(status),
        peers(status),
        targets(status),
        queues(status),
        counters(status),
    ];
    sections.map(|table| table.to_string()).join("\n")
}

fn general(status: &VmStatus) -> TextTable {
    let age = status.config.log_age.map(rounded);
    let mut table = TextTable::default();
    table.add(&["incarnation", &status.incarnation.to_string()]);
    table.add(&["address", &status.address.to_string()]);
    table.add(&["availability zone", status.zone.as_str()]);
    table.add(&["state", &status.state.to_string()]);
    table.add(&["ticket in force", &optional(status.config.ticket.as_ref())]);
    table.add(&["next log offset", &status.config.next.to_string()]);
    table.add(&["last log read", &optional(age.as_ref())]);
    table
}

fn peers(status: &VmStatus) -> TextTable {
    let mut table = TextTable::new(&["PEER", "ZONE", "STATE", "HEARTBEAT", "INCARNATION"]);
    for peer in &status.peers {
        let age = peer.heartbeat_age.map(rounded);
        table.add(&[
            peer.address.to_string(),
            optional(peer.zone.as_ref()),
            peer.state.to_string(),
            optional(age.as_ref()),
            optional(peer.incarnation.as_ref()),
        ]);
    }
    table
}

fn targets(status: &VmStatus) -> TextTable {
    let mut table = TextTable::new(&["TARGET", "STATE", "RUNNING", "SHARE", "REASON"]);
    for target in &status.targets {
        let reason = target.reason.as_deref().unwrap_or("-");
        table.add(&[
            target.target.to_string(),
            target.state.to_string(),
            target.running.to_string(),
            target.share.to_string(),
            one_line(reason, REASON_LIMIT),
        ]);
    }
    table
}

fn queues(status: &VmStatus) -> TextTable {
    let mut table = TextTable::new(&["TEAM", "QUEUED", "WORK"]);
    for queue in &status.queues {
        table.add(&[
            queue.team.to_string(),
            queue.depth.to_string(),
            rounded(queue.work),
        ]);
    }
    table
}

fn counters(status: &VmStatus) -> TextTable {
    let mut table = TextTable::new(&["COUNTER", "VALUE"]);
    for (name, value) in &status.counters {
        table.add(&[name.to_string(), value.to_string()]);
    }
    table
}
