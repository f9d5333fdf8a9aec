//! Publishes one ticket for an operator and reports the result, without doing any I/O.
//!
//! The response to an append can be lost although the append took effect. The publisher then
//! searches the stream for the ticket, from an offset before the first attempt, and appends the
//! ticket again only if it is absent. An append that takes effect after this search is harmless: the
//! fold rejects the second copy by its nonce, and the report describes the first copy.

use std::fmt;
use std::time::Duration;

use filbertpitch_types::platform::{AppendAnswer, AppendRequest, ReadAnswer};
use filbertpitch_types::prelude::*;

use crate::error::{TicketError, TicketErrors, TicketProblem};
use crate::fold::ConfigState;
use crate::read::LogRead;
use crate::record::{RecordBody, ticket_body};
use crate::ticket::ChangeTicket;
use crate::verdict::RejectReason;
use crate::verify::verify_ticket;

/// What the caller should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishStep {
    /// Append this record and report the result of the append.
    Append(AppendRequest),
    /// Perform this read and report the result of the read.
    Read(LogRead),
    /// An append or a read is in flight.
    InFlight,
    /// Ask again at this time.
    NotBefore(TimePoint),
    /// Call [`TicketPublisher::on_fold`] once the fold has passed this offset.
    AwaitFold(LogOffset),
    /// The publication has finished.
    Finished(PublishReport),
}

/// Why the outcome of a ticket is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownOutcome {
    /// The operator cancelled the publication when an append may have taken effect.
    Cancelled,
    /// The records that may contain the ticket have expired.
    Expired,
    /// The fold has passed the ticket and no longer stores the verdict.
    VerdictEvicted,
}

impl fmt::Display for UnknownOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cancelled => "the ticket may have been appended",
            Self::Expired => "the records that would show the ticket have expired",
            Self::VerdictEvicted => "the verdict is no longer stored",
        })
    }
}

/// The result of publishing a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishReport {
    /// The ticket is in force.
    Accepted {
        /// The offset of the record of the ticket.
        offset: LogOffset,
    },
    /// The ticket changed nothing.
    Rejected {
        /// The offset of the record of the ticket.
        offset: LogOffset,
        /// Why the ticket was rejected.
        reason: RejectReason,
    },
    /// The ticket was certainly not appended.
    NotAppended,
    /// The ticket may or may not be in force. Publishing it again with the same nonce is safe.
    Unknown(UnknownOutcome),
}

impl fmt::Display for PublishReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { offset } => write!(f, "accepted at offset {offset}"),
            Self::Rejected { offset, reason } => {
                write!(f, "rejected at offset {offset}: {reason}")
            }
            Self::NotAppended => f.write_str("not appended"),
            Self::Unknown(outcome) => write!(f, "outcome unknown: {outcome}"),
        }
    }
}

/// The phase of the publication.
#[derive(Clone, Debug)]
enum PublishPhase {
    /// The ticket is to be appended.
    Appending,
    /// The stream is searched after a lost response; `next` is the next offset to read.
    LookingUp { next: LogOffset },
    /// The ticket is on the stream at this offset and the fold has yet to pass it.
    Folding { offset: LogOffset },
    /// Rejected at `offset` because the record at `first` has the same nonce. That record is the
    /// same ticket if an append took effect more than once.
    Comparing { offset: LogOffset, first: LogOffset },
    /// The publication has finished.
    Finished(PublishReport),
}

/// Publishes one ticket.
#[derive(Clone, Debug)]
pub struct TicketPublisher {
    ticket: ChangeTicket,
    start: LogOffset,
    phase: PublishPhase,
    in_flight: bool,
    /// Whether an append may have taken effect. A lookup that does not find the ticket leaves this
    /// unchanged, because the append may still be in transit.
    uncertain: bool,
    due: TimePoint,
    failures: u32,
}

impl TicketPublisher {
    /// The pause after the first failure; the pause doubles with each further failure.
    pub const RETRY_FIRST: Duration = Duration::from_millis(100);
    /// The maximum pause after a failure.
    pub const RETRY_LIMIT: Duration = Duration::from_secs(2);
    /// The maximum number of records per read of a lookup.
    pub const READ_LIMIT: u32 = 256;

    /// Prepares a ticket for publication. `start` is an offset at or before the end of the stream
    /// before the first append, for example the next offset of the local fold.
    ///
    /// # Errors
    /// Returns the rules that the ticket breaks. Such a ticket is not appended.
    pub fn new(ticket: ChangeTicket, start: LogOffset) -> Result<Self, TicketErrors> {
        let errors = verify_ticket(&ticket);
        if !errors.is_empty() {
            let errors = errors.into_iter().map(|error| TicketError {
                line: None,
                path: error.path,
                problem: TicketProblem::Rule(error.problem),
            });
            return Err(TicketErrors(errors.collect()));
        }
        Ok(Self {
            ticket,
            start,
            phase: PublishPhase::Appending,
            in_flight: false,
            uncertain: false,
            due: TimePoint::default(),
            failures: 0,
        })
    }

    /// The ticket that is published.
    pub fn ticket(&self) -> &ChangeTicket {
        &self.ticket
    }

    /// Returns what to do next. A returned append or read must be followed by exactly one report of
    /// its result.
    pub fn next_step(&mut self, now: TimePoint) -> PublishStep {
        if let PublishPhase::Finished(report) = &self.phase {
            return PublishStep::Finished(report.clone());
        }
        if let PublishPhase::Folding { offset } = self.phase {
            return PublishStep::AwaitFold(offset);
        }
        if self.in_flight {
            return PublishStep::InFlight;
        }
        if now < self.due {
            return PublishStep::NotBefore(self.due);
        }
        self.in_flight = true;
        let (from, limit) = match self.phase {
            PublishPhase::LookingUp { next } => (next, Self::READ_LIMIT),
            PublishPhase::Comparing { first, .. } => (first, 1),
            _ => {
                let body = ticket_body(&self.ticket);
                return PublishStep::Append(AppendRequest { body });
            }
        };
        PublishStep::Read(LogRead {
            from,
            limit,
            wait: Duration::ZERO,
        })
    }

    /// Reports that the append succeeded.
    pub fn on_appended(&mut self, answer: AppendAnswer) {
        self.record_success();
        self.uncertain = true;
        let offset = answer.offset;
        self.phase = PublishPhase::Folding { offset };
    }

    /// Reports that the append failed before anything was sent, so it certainly had no effect.
    pub fn on_append_not_sent(&mut self, now: TimePoint) {
        self.record_failure(now);
    }

    /// Reports that no response to the append arrived, so the append may have taken effect.
    pub fn on_append_lost(&mut self, now: TimePoint) {
        self.record_failure(now);
        self.uncertain = true;
        self.phase = PublishPhase::LookingUp { next: self.start };
    }

    /// Reports the answer to a read.
    pub fn on_read(&mut self, now: TimePoint, answer: &ReadAnswer) {
        self.in_flight = false;
        match self.phase {
            PublishPhase::LookingUp { next } => self.look_up(now, next, answer),
            PublishPhase::Comparing { offset, first } => self.compare(now, offset, first, answer),
            _ => {}
        }
    }

    /// Reports that a read failed or timed out.
    pub fn on_read_failed(&mut self, now: TimePoint) {
        self.record_failure(now);
    }

    /// Reports that a read was answered with status 410.
    pub fn on_read_expired(&mut self) {
        self.record_success();
        self.finish(PublishReport::Unknown(UnknownOutcome::Expired));
    }

    /// Checks the fold for the verdict on the ticket, once the fold has passed the ticket's record.
    pub fn on_fold(&mut self, state: &ConfigState) {
        let PublishPhase::Folding { offset } = self.phase else {
            return;
        };
        if state.next_offset() <= offset {
            return;
        }
        let verdict = state
            .recent_verdicts()
            .rev()
            .find(|entry| entry.offset == offset);
        let Some(verdict) = verdict else {
            return self.finish(PublishReport::Unknown(UnknownOutcome::VerdictEvicted));
        };
        match verdict.rejected.clone() {
            None => self.finish(PublishReport::Accepted { offset }),
            Some(RejectReason::NonceSeen { offset: first }) if first >= self.start => {
                self.phase = PublishPhase::Comparing { offset, first };
            }
            Some(reason) => self.finish(PublishReport::Rejected { offset, reason }),
        }
    }

    /// Cancels the publication at the operator's request and returns what is known about the result.
    pub fn cancel(&mut self) -> PublishReport {
        if let PublishPhase::Finished(report) = &self.phase {
            return report.clone();
        }
        let appending = self.in_flight && matches!(self.phase, PublishPhase::Appending);
        let report = match self.uncertain || appending {
            true => PublishReport::Unknown(UnknownOutcome::Cancelled),
            false => PublishReport::NotAppended,
        };
        self.finish(report.clone());
        report
    }

    fn look_up(&mut self, now: TimePoint, mut next: LogOffset, answer: &ReadAnswer) {
        let mut found = None;
        for record in &answer.records {
            if found.is_none() && self.is_this_ticket(&record.body) {
                found = Some(record.offset);
            }
            next = next.max(LogOffset(record.offset.0.saturating_add(1)));
        }
        if let Some(offset) = found {
            self.record_success();
            self.phase = PublishPhase::Folding { offset };
        } else if next >= answer.next {
            self.phase = PublishPhase::Appending;
        } else if answer.records.is_empty() {
            self.record_failure(now);
        } else {
            self.phase = PublishPhase::LookingUp { next };
        }
    }

    fn compare(
        &mut self,
        now: TimePoint,
        offset: LogOffset,
        first: LogOffset,
        answer: &ReadAnswer,
    ) {
        let earlier = answer.records.iter().find(|record| record.offset == first);
        match earlier {
            Some(record) if self.is_this_ticket(&record.body) => {
                self.phase = PublishPhase::Folding { offset: first };
            }
            Some(_) => {
                let reason = RejectReason::NonceSeen { offset: first };
                self.finish(PublishReport::Rejected { offset, reason });
            }
            None => self.record_failure(now),
        }
    }

    /// Compares whole tickets, because another operator's ticket can have the same nonce by mistake.
    fn is_this_ticket(&self, body: &str) -> bool {
        matches!(RecordBody::parse(body), RecordBody::Ticket(ticket) if *ticket == self.ticket)
    }

    fn finish(&mut self, report: PublishReport) {
        self.phase = PublishPhase::Finished(report);
    }

    fn record_success(&mut self) {
        self.in_flight = false;
        self.failures = 0;
    }

    fn record_failure(&mut self, now: TimePoint) {
        self.in_flight = false;
        let pause = Self::RETRY_FIRST * (1 << self.failures.min(16));
        self.due = now + pause.min(Self::RETRY_LIMIT);
        self.failures = self.failures.saturating_add(1);
    }
}
