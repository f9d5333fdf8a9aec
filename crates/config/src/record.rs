//! The records of the `tickets` stream: `{"ticket": ...}` or `{"snapshot": ...}`.
//!
//! All VMs must interpret a record in the same way, so a record is either one of these two or
//! malformed. A change to this format requires a new top-level key.

use serde::{Deserialize, Serialize};

use crate::node::FieldNode;
use crate::snapshot::SnapshotRecord;
use crate::ticket::ChangeTicket;

/// The maximum length of the explanation of a malformed record, in characters.
const EXPLANATION_LIMIT: usize = 512;

/// The content of one record.
#[derive(Clone, Debug)]
pub enum RecordBody {
    /// A change ticket; its rules have not been checked.
    Ticket(Box<ChangeTicket>),
    /// A configuration snapshot; its digest has not been checked.
    Snapshot(Box<SnapshotRecord>),
    /// Neither of the two, with an explanation.
    Malformed(Box<str>),
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum IncomingRecord {
    Ticket(FieldNode),
    Snapshot(Box<SnapshotRecord>),
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum OutgoingRecord<'a> {
    Ticket(&'a ChangeTicket),
    Snapshot(&'a SnapshotRecord),
}

impl RecordBody {
    /// Parses the body of a record.
    pub fn parse(body: &str) -> Self {
        match serde_json::from_str::<IncomingRecord>(body) {
            Ok(IncomingRecord::Ticket(node)) => match ChangeTicket::from_node(node) {
                Ok(ticket) => Self::Ticket(Box::new(ticket)),
                Err(errors) => malformed(&errors.to_string()),
            },
            Ok(IncomingRecord::Snapshot(snapshot)) => Self::Snapshot(snapshot),
            Err(error) => malformed(&error.to_string()),
        }
    }
}

fn malformed(explanation: &str) -> RecordBody {
    let text = explanation.chars().take(EXPLANATION_LIMIT);
    RecordBody::Malformed(text.collect::<String>().into())
}

/// The body of the log record of a ticket.
pub fn ticket_body(ticket: &ChangeTicket) -> Box<str> {
    encode(&OutgoingRecord::Ticket(ticket))
}

/// The body of the log record of a snapshot.
pub fn snapshot_body(snapshot: &SnapshotRecord) -> Box<str> {
    encode(&OutgoingRecord::Snapshot(snapshot))
}

fn encode(record: &OutgoingRecord<'_>) -> Box<str> {
    serde_json::to_string(record)
        .expect("records have text keys only")
        .into()
}
