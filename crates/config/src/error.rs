//! Errors in a ticket, each with its line and field path.

use std::fmt;
use std::time::Duration;

use filbertpitch_types::text::ParseError;
use filbertpitch_types::units::DurationText;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::path::FieldPath;

/// Why the text of a ticket could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseProblem {
    /// The text is not well-formed YAML or JSON.
    Syntax(Box<str>),
    /// The text exceeds the size of a ticket.
    TooLong {
        /// The size of the text in bytes.
        bytes: usize,
    },
    /// A value has another type than expected.
    WrongType {
        /// What was expected.
        expected: &'static str,
        /// What was found.
        found: &'static str,
    },
    /// Text does not have the expected format.
    Text(ParseError),
    /// A whole number is outside the range of the field.
    NumberRange {
        /// The number.
        found: i128,
    },
    /// A required field is missing.
    MissingField(&'static str),
    /// The field does not exist here.
    UnknownField,
    /// The field occurs more than once.
    DuplicateField,
    /// The item occurs more than once in its list.
    DuplicateItem,
    /// An object has none or several of the keys `service`, `target`, `team` and `limits`.
    ObjectKey {
        /// How many of these keys it has.
        found: usize,
    },
    /// `limits` has another value than `global`.
    LimitsScope,
    /// `removed` is `false`; an object that stays has its full state instead.
    RemovedFalse,
    /// A removed object has other fields.
    RemovedWithState,
}

impl fmt::Display for ParseProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(message) => write!(f, "not well-formed: {message}"),
            Self::TooLong { bytes } => {
                let limit = crate::verify::TICKET_LIMIT;
                write!(
                    f,
                    "the text has {bytes} bytes; a ticket has at most {limit}"
                )
            }
            Self::WrongType { expected, found } => write!(f, "expected {expected}, found {found}"),
            Self::Text(error) => error.fmt(f),
            Self::NumberRange { found } => write!(f, "{found} is out of range"),
            Self::MissingField(name) => write!(f, "the field `{name}` is missing"),
            Self::UnknownField => f.write_str("unknown field"),
            Self::DuplicateField => f.write_str("duplicate field"),
            Self::DuplicateItem => f.write_str("duplicate item"),
            Self::ObjectKey { found } => write!(
                f,
                "expected exactly one of `service`, `target`, `team` and `limits`, found {found}"
            ),
            Self::LimitsScope => f.write_str("expected `limits: global`"),
            Self::RemovedFalse => {
                f.write_str("`removed` can only be `true`; omit it and give the full state instead")
            }
            Self::RemovedWithState => f.write_str("a removed object has no other fields"),
        }
    }
}

/// A rule of the ticket verifier that is broken.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleProblem {
    /// A number is outside its range.
    Range {
        /// The number.
        found: u64,
        /// The smallest valid number.
        least: u64,
        /// The largest valid number.
        most: u64,
    },
    /// A duration is zero or too long.
    Span {
        /// The duration.
        #[serde_as(as = "DurationText")]
        found: Duration,
        /// The longest valid duration.
        #[serde_as(as = "DurationText")]
        most: Duration,
    },
    /// A list, mapping or text that must not be empty is empty.
    Empty,
    /// The author contains control characters.
    ControlCharacter,
    /// The text is too long.
    TextLength {
        /// The length in bytes.
        found: usize,
        /// The longest valid length in bytes.
        most: usize,
    },
    /// The address has port 0, or an IP address that no target can have.
    Address,
    /// Another entry of the ticket has the same object.
    DuplicateObject {
        /// The position of the first entry.
        first: usize,
    },
    /// The ticket exceeds its size as a log record.
    TicketSize {
        /// The size in bytes.
        found: usize,
        /// The largest valid size in bytes.
        most: usize,
    },
}

impl fmt::Display for RuleProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Range { found, least, most } => {
                write!(f, "{found} is not between {least} and {most}")
            }
            Self::Span { found, most } => write!(
                f,
                "{} is not above zero and at most {}",
                DurationText(*found),
                DurationText(*most)
            ),
            Self::Empty => f.write_str("it must not be empty"),
            Self::ControlCharacter => f.write_str("it contains control characters"),
            Self::TextLength { found, most } => {
                write!(f, "it has {found} bytes; at most {most} are allowed")
            }
            Self::Address => f.write_str("no target can listen on this address"),
            Self::DuplicateObject { first } => {
                write!(f, "the same object is already at objects[{first}]")
            }
            Self::TicketSize { found, most } => {
                write!(
                    f,
                    "the ticket has {found} bytes as JSON; at most {most} are allowed"
                )
            }
        }
    }
}

/// A broken rule and the field that breaks it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleError {
    /// The field.
    pub path: FieldPath,
    /// The rule.
    pub problem: RuleProblem,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// What is wrong with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketProblem {
    /// The text of the ticket could not be parsed.
    Parse(ParseProblem),
    /// The ticket breaks a rule of the verifier.
    Rule(RuleProblem),
}

impl fmt::Display for TicketProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parse(problem) => problem.fmt(f),
            Self::Rule(problem) => problem.fmt(f),
        }
    }
}

/// One error of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketError {
    /// The line in the operator's text, counted from 1, if known.
    pub line: Option<usize>,
    /// The field.
    pub path: FieldPath,
    /// The cause of the error.
    pub problem: TicketProblem,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Every error found in a ticket, at least one; one per line in text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketErrors(pub Vec<TicketError>);

impl fmt::Display for TicketErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for TicketErrors {}
