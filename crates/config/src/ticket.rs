//! Change tickets and their two text formats: YAML for operators and JSON for log records.

use std::num::NonZeroU32;

use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use serde::Serialize;

use crate::decode::{ERROR_LIMIT, FieldDecoder, FieldError, FieldMap};
use crate::error::{ParseProblem, TicketError, TicketErrors, TicketProblem};
use crate::locate::locate_line;
use crate::node::FieldNode;
use crate::object::{LIMITS_SCOPE, ObjectChange};
use crate::path::FieldPath;
use crate::spec::{KindSpec, LimitSpec, ServiceSpec, TargetSpec, TeamSpec};
use crate::verify::{TICKET_LIMIT, verify_ticket};

/// A numbered change to one or more objects that is applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ChangeTicket {
    /// The number, chosen by the operator; it must exceed the number of the last ticket that
    /// changed any of the objects.
    pub number: TicketNumber,
    /// Distinguishes a repeated append of this ticket from two different tickets.
    pub nonce: TicketNonce,
    /// The author of the ticket.
    pub author: Box<str>,
    /// The full new state of every changed object.
    pub objects: Vec<ObjectChange>,
}

impl ChangeTicket {
    /// Parses and verifies an operator's text. `nonce` is used if the text has none.
    ///
    /// # Errors
    /// Returns all parse errors of the text, or all broken rules if the text parses, with lines.
    pub fn from_yaml(text: &str, nonce: TicketNonce) -> Result<Self, TicketErrors> {
        if text.len() > TICKET_LIMIT {
            let bytes = text.len();
            return Err(whole_text_error(None, ParseProblem::TooLong { bytes }));
        }
        let node = serde_norway::from_str::<FieldNode>(text).map_err(|error| {
            let line = error.location().map(|location| location.line());
            whole_text_error(line, ParseProblem::Syntax(error.to_string().into()))
        })?;
        let ticket = decode_ticket(node, Some(nonce)).map_err(|errors| {
            let errors = errors.into_iter().map(|error| TicketError {
                line: locate_line(text, &error.path, error.occurrence),
                path: error.path,
                problem: TicketProblem::Parse(error.problem),
            });
            in_line_order(errors.collect())
        })?;
        let errors = verify_ticket(&ticket)
            .into_iter()
            .take(ERROR_LIMIT)
            .map(|error| TicketError {
                line: locate_line(text, &error.path, 0),
                path: error.path,
                problem: TicketProblem::Rule(error.problem),
            })
            .collect::<Vec<_>>();
        match errors.is_empty() {
            true => Ok(ticket),
            false => Err(in_line_order(errors)),
        }
    }

    /// Decodes the ticket of a log record without checking the rules of the verifier.
    pub(crate) fn from_node(node: FieldNode) -> Result<Self, TicketErrors> {
        decode_ticket(node, None).map_err(|errors| {
            let errors = errors.into_iter().map(|error| TicketError {
                line: None,
                path: error.path,
                problem: TicketProblem::Parse(error.problem),
            });
            TicketErrors(errors.collect())
        })
    }
}

fn whole_text_error(line: Option<usize>, problem: ParseProblem) -> TicketErrors {
    TicketErrors(vec![TicketError {
        line,
        path: FieldPath::default(),
        problem: TicketProblem::Parse(problem),
    }])
}

fn in_line_order(mut errors: Vec<TicketError>) -> TicketErrors {
    errors.sort_by_key(|error| error.line);
    TicketErrors(errors)
}

fn decode_ticket(
    node: FieldNode,
    default_nonce: Option<TicketNonce>,
) -> Result<ChangeTicket, Vec<FieldError>> {
    let mut decoder = FieldDecoder::default();
    let ticket = read_ticket(&mut decoder, node, default_nonce);
    let errors = decoder.into_errors();
    match ticket {
        Some(ticket) if errors.is_empty() => Ok(ticket),
        _ => Err(errors),
    }
}

fn read_ticket(
    decoder: &mut FieldDecoder,
    node: FieldNode,
    default_nonce: Option<TicketNonce>,
) -> Option<ChangeTicket> {
    let mut fields = decoder.fields(node)?;
    let number = decoder.required(&mut fields, "number", FieldDecoder::number);
    let nonce = match default_nonce {
        Some(nonce) if !fields.contains("nonce") => Some(nonce),
        _ => decoder.required(&mut fields, "nonce", FieldDecoder::text),
    };
    let author = decoder.required(&mut fields, "author", FieldDecoder::plain_text);
    let objects = decoder.required(&mut fields, "objects", |decoder, node| {
        decoder.list(node, read_object)
    });
    decoder.finish(fields);
    Some(ChangeTicket {
        number: TicketNumber(number?),
        nonce: nonce?,
        author: author?,
        objects: objects?,
    })
}

fn read_object(decoder: &mut FieldDecoder, node: FieldNode) -> Option<ObjectChange> {
    let mut fields = decoder.fields(node)?;
    let keys = ["service", "target", "team", "limits"];
    let mut present = keys.into_iter().filter(|key| fields.contains(key));
    let (Some(key), None) = (present.next(), present.next()) else {
        let found = keys.into_iter().filter(|key| fields.contains(key)).count();
        decoder.report(ParseProblem::ObjectKey { found });
        return None;
    };
    match key {
        "service" => {
            let name = decoder.required(&mut fields, key, FieldDecoder::text);
            let state = read_state(decoder, fields, read_service);
            Some(ObjectChange::Service(name?, state?))
        }
        "target" => {
            let name = decoder.required(&mut fields, key, FieldDecoder::text);
            let state = read_state(decoder, fields, read_target);
            Some(ObjectChange::Target(name?, state?))
        }
        "team" => {
            let name = decoder.required(&mut fields, key, FieldDecoder::text);
            let state = read_state(decoder, fields, read_team);
            Some(ObjectChange::Team(name?, state?))
        }
        _ => {
            let scope = decoder.required(&mut fields, key, read_scope);
            let state = read_state(decoder, fields, read_limits);
            scope.and(state).map(ObjectChange::Limits)
        }
    }
}

fn read_scope(decoder: &mut FieldDecoder, node: FieldNode) -> Option<()> {
    if decoder.plain_text(node)?.as_ref() == LIMITS_SCOPE {
        return Some(());
    }
    decoder.report(ParseProblem::LimitsScope);
    None
}

/// Reads the remaining fields of an object: either `removed` alone or the full state.
fn read_state<S, F>(decoder: &mut FieldDecoder, mut fields: FieldMap, read: F) -> Option<Option<S>>
where
    F: FnOnce(&mut FieldDecoder, &mut FieldMap) -> Option<S>,
{
    if fields.contains("removed") {
        let removed = decoder.required(&mut fields, "removed", FieldDecoder::removed);
        if !fields.is_empty() {
            decoder.report(ParseProblem::RemovedWithState);
        }
        return removed.map(|()| None);
    }
    let state = read(decoder, &mut fields);
    decoder.finish(fields);
    state.map(Some)
}

fn read_service(decoder: &mut FieldDecoder, fields: &mut FieldMap) -> Option<ServiceSpec> {
    let kinds = decoder.required(fields, "kinds", |decoder, node| {
        decoder.named(node, read_kind)
    });
    let max_attempts = decoder.optional(fields, "max_attempts", FieldDecoder::number);
    let retry_percent = decoder.optional(fields, "retry_percent", FieldDecoder::number);
    Some(ServiceSpec {
        kinds: kinds?,
        max_attempts: max_attempts?.unwrap_or_else(ServiceSpec::default_max_attempts),
        retry_percent: retry_percent?.unwrap_or_else(ServiceSpec::default_retry_percent),
    })
}

fn read_kind(decoder: &mut FieldDecoder, node: FieldNode) -> Option<KindSpec> {
    let mut fields = decoder.fields(node)?;
    let typical = decoder.required(&mut fields, "typical", FieldDecoder::text);
    decoder.finish(fields);
    typical.map(|DurationText(typical)| KindSpec { typical })
}

fn read_target(decoder: &mut FieldDecoder, fields: &mut FieldMap) -> Option<TargetSpec> {
    let zone = decoder.required(fields, "zone", FieldDecoder::text);
    let address = decoder.required(fields, "address", FieldDecoder::address);
    let slots = decoder.optional(fields, "slots", FieldDecoder::number);
    let connections = decoder.optional(fields, "connections", FieldDecoder::number);
    let takes = decoder.required(fields, "takes", |decoder, node| {
        decoder.named(node, FieldDecoder::text_set)
    });
    Some(TargetSpec {
        zone: zone?,
        address: address?,
        slots: slots?.unwrap_or_else(TargetSpec::default_slots),
        connections: connections?.unwrap_or_else(TargetSpec::default_connections),
        takes: takes?,
    })
}

fn read_team(decoder: &mut FieldDecoder, fields: &mut FieldMap) -> Option<TeamSpec> {
    let weight = decoder.optional(fields, "weight", read_weight);
    let max_running = decoder.optional(fields, "max_running", FieldDecoder::number);
    let max_queued = decoder.optional(fields, "max_queued", FieldDecoder::number);
    let start_rate = decoder.optional(fields, "start_rate", FieldDecoder::text);
    Some(TeamSpec {
        weight: weight?.unwrap_or_default(),
        max_running: max_running?,
        max_queued: max_queued?,
        start_rate: start_rate?,
    })
}

fn read_weight(decoder: &mut FieldDecoder, node: FieldNode) -> Option<TeamWeight> {
    let weight = decoder.number::<u32>(node)?;
    let weight = NonZeroU32::new(weight).map(TeamWeight);
    if weight.is_none() {
        decoder.report(ParseProblem::NumberRange { found: 0 });
    }
    weight
}

fn read_limits(decoder: &mut FieldDecoder, fields: &mut FieldMap) -> Option<LimitSpec> {
    let default = LimitSpec::default();
    let job_tasks = decoder.optional(fields, "job_tasks", FieldDecoder::number);
    let job_deadline = decoder.optional(fields, "job_deadline", FieldDecoder::text);
    let queued_tasks = decoder.optional(fields, "queued_tasks", FieldDecoder::number);
    Some(LimitSpec {
        job_tasks: job_tasks?.unwrap_or(default.job_tasks),
        job_deadline: job_deadline?.map_or(default.job_deadline, |DurationText(span)| span),
        queued_tasks: queued_tasks?.unwrap_or(default.queued_tasks),
    })
}
