//! The verdicts of the fold on records.

use std::fmt;

use filbertpitch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::RuleError;
use crate::object::ObjectName;
use crate::resolve::ReferenceProblem;
use crate::snapshot::StateDigest;

/// Why a ticket was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// An earlier record has the same nonce.
    NonceSeen {
        /// The offset of that record.
        offset: LogOffset,
    },
    /// The ticket breaks rules of the verifier; only the first few are listed.
    #[serde(rename = "unsound")]
    RulesBroken {
        /// The broken rules.
        errors: Vec<RuleError>,
    },
    /// An object was last changed by a ticket with an equal or higher number.
    StaleNumber {
        /// The object whose number the ticket does not exceed.
        object: ObjectName,
        /// The number of the ticket that changed it.
        current: TicketNumber,
    },
    /// An object is new, or was removed so long ago that its number is no longer kept, and the
    /// ticket's number does not exceed the highest number that was dropped.
    BelowFloor {
        /// The object whose number the ticket does not exceed.
        object: ObjectName,
        /// The highest number that was dropped.
        floor: TicketNumber,
    },
    /// The resulting configuration would be invalid; only the first few problems are listed.
    Invalid {
        /// The problems.
        problems: Vec<ReferenceProblem>,
    },
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NonceSeen { offset } => {
                write!(
                    f,
                    "the nonce was already used by the record at offset {offset}"
                )
            }
            Self::RulesBroken { errors } => {
                f.write_str("the ticket breaks rules: ")?;
                write_list(f, errors)
            }
            Self::StaleNumber { object, current } => {
                write!(f, "{object} was already changed by ticket {current}")
            }
            Self::BelowFloor { object, floor } => {
                write!(f, "{object} needs a ticket number above {floor}")
            }
            Self::Invalid { problems } => {
                f.write_str("the configuration would be invalid: ")?;
                write_list(f, problems)
            }
        }
    }
}

fn write_list<T>(f: &mut fmt::Formatter<'_>, items: &[T]) -> fmt::Result
where
    T: fmt::Display,
{
    for (position, item) in items.iter().enumerate() {
        let separator = if position > 0 { "; " } else { "" };
        write!(f, "{separator}{item}")?;
    }
    Ok(())
}

/// The result of applying one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordVerdict {
    /// The ticket is in force.
    Accepted {
        /// The number of the ticket.
        ticket: TicketNumber,
        /// The nonce of the ticket.
        nonce: TicketNonce,
        /// The objects that it changed, in its order.
        changed: Vec<ObjectName>,
    },
    /// The ticket changed nothing.
    Rejected {
        /// The number of the ticket.
        ticket: TicketNumber,
        /// The nonce of the ticket.
        nonce: TicketNonce,
        /// Why the ticket was rejected.
        reason: RejectReason,
    },
    /// The record is a snapshot; it changes nothing.
    Snapshot {
        /// The offset after the last record that the snapshot includes.
        next: LogOffset,
        /// The digest of the snapshot's state.
        digest: StateDigest,
    },
    /// The record is neither a ticket nor a snapshot; it changes nothing.
    Malformed {
        /// Why the record is malformed.
        explanation: Box<str>,
    },
    /// The record is not the next one; it was not applied.
    OutOfOrder {
        /// The offset of the next record.
        expected: LogOffset,
    },
}

impl fmt::Display for RecordVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                ticket, changed, ..
            } => {
                write!(f, "ticket {ticket} accepted: ")?;
                write_list(f, changed)
            }
            Self::Rejected { ticket, reason, .. } => {
                write!(f, "ticket {ticket} rejected: {reason}")
            }
            Self::Snapshot { next, digest } => {
                write!(f, "snapshot for offset {next} with digest {digest}")
            }
            Self::Malformed { explanation } => write!(f, "malformed record: {explanation}"),
            Self::OutOfOrder { expected } => {
                write!(f, "record out of order; expected offset {expected}")
            }
        }
    }
}

/// A verdict as stored in the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictEntry {
    /// The offset of the record.
    pub offset: LogOffset,
    /// The number of the ticket.
    pub ticket: TicketNumber,
    /// The nonce of the ticket.
    pub nonce: TicketNonce,
    /// Why the ticket was rejected, or `None` if it was accepted.
    pub rejected: Option<RejectReason>,
}
