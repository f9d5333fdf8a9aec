//! Guards against reports to operators that differ from what the VMs apply, and against tickets that
//! are lost or applied twice when responses are lost.

mod common;

use std::time::Duration;

use common::*;
use filbertpitch_config::fold::ConfigState;
use filbertpitch_config::follower::LogFollower;
use filbertpitch_config::object::ObjectChange;
use filbertpitch_config::publish::{PublishReport, PublishStep, TicketPublisher, UnknownOutcome};
use filbertpitch_config::read::LogRead;
use filbertpitch_config::record::{RecordBody, ticket_body};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_config::verdict::RejectReason;
use filbertpitch_types::platform::{AppendAnswer, ReadAnswer};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

/// How the network handles one request.
#[derive(Clone, Copy, Debug)]
enum NetworkOutcome {
    Answered,
    /// The request takes effect, but the response is lost.
    AnswerLost,
    /// The request takes effect only after later requests, and the response is lost.
    Delayed,
    /// The request is lost in transit.
    RequestLost,
    /// The connection cannot be opened.
    NotSent,
}

fn any_network_outcome() -> impl Strategy<Value = NetworkOutcome> {
    prop_oneof![
        4 => Just(NetworkOutcome::Answered),
        2 => Just(NetworkOutcome::AnswerLost),
        1 => Just(NetworkOutcome::Delayed),
        1 => Just(NetworkOutcome::RequestLost),
        1 => Just(NetworkOutcome::NotSent),
    ]
}

/// Several operators that publish to one log concurrently.
struct OperatorRace {
    log: ModelLog,
    publishers: Vec<TicketPublisher>,
    delayed: Vec<Box<str>>,
    now: TimePoint,
}

impl OperatorRace {
    fn new(tickets: Vec<ChangeTicket>) -> Self {
        let publishers = tickets
            .into_iter()
            .map(|ticket| TicketPublisher::new(ticket, LogOffset(0)));
        Self {
            log: ModelLog::default(),
            publishers: publishers.flatten().collect(),
            delayed: Vec::new(),
            now: TimePoint(0),
        }
    }

    /// Performs one step of one operator. Returns the report once the publication has finished.
    fn step(&mut self, operator: usize, outcome: NetworkOutcome) -> Option<PublishReport> {
        self.now = self.now + Duration::from_millis(700);
        let publisher = &mut self.publishers[operator];
        match publisher.next_step(self.now) {
            PublishStep::Append(request) => self.append(operator, &request.body, outcome),
            PublishStep::Read(read) => match outcome {
                NetworkOutcome::Answered | NetworkOutcome::Delayed => {
                    publisher.on_read(self.now, &self.log.read(read).unwrap());
                }
                _ => publisher.on_read_failed(self.now),
            },
            PublishStep::AwaitFold(_) => publisher.on_fold(&self.log.full_fold()),
            PublishStep::Finished(report) => return Some(report),
            PublishStep::NotBefore(_) => {}
            PublishStep::InFlight => panic!("the last request was answered"),
        }
        None
    }

    fn append(&mut self, operator: usize, body: &str, outcome: NetworkOutcome) {
        let publisher = &mut self.publishers[operator];
        match outcome {
            NetworkOutcome::Answered => {
                let offset = self.log.append(body);
                publisher.on_appended(AppendAnswer { offset });
            }
            NetworkOutcome::AnswerLost => {
                self.log.append(body);
                publisher.on_append_lost(self.now);
            }
            NetworkOutcome::Delayed => {
                self.delayed.push(body.into());
                publisher.on_append_lost(self.now);
            }
            NetworkOutcome::RequestLost => publisher.on_append_lost(self.now),
            NetworkOutcome::NotSent => publisher.on_append_not_sent(self.now),
        }
    }

    fn deliver_delayed(&mut self) {
        for body in std::mem::take(&mut self.delayed) {
            self.log.append(&body);
        }
    }
}

/// The verdict on the first record with exactly this ticket.
fn true_verdict(
    log: &ModelLog,
    ticket: &ChangeTicket,
) -> Option<(LogOffset, Option<RejectReason>)> {
    let body = ticket_body(ticket);
    let record = log.records.iter().find(|record| record.body == body)?;
    let state = log.full_fold();
    let entry = state
        .recent_verdicts()
        .find(|entry| entry.offset == record.offset)?;
    Some((entry.offset, entry.rejected.clone()))
}

proptest! {
    #[test]
    fn operators_get_the_verdict_that_all_readers_reach(
        tickets in prop::collection::vec(any_ticket(1), 1..6),
        schedule in prop::collection::vec((any::<prop::sample::Index>(), any_network_outcome()), 0..40),
        deliver_at in 0..40usize,
        limits in prop::collection::vec(1..9u32, 3),
    ) {
        // Two operators with an identical ticket cannot be distinguished and need not be.
        let mut distinct = Vec::<ChangeTicket>::new();
        for ticket in tickets {
            if !distinct.contains(&ticket) {
                distinct.push(ticket);
            }
        }
        let mut race = OperatorRace::new(distinct);
        if race.publishers.is_empty() {
            return Ok(());
        }
        for (position, (operator, outcome)) in schedule.into_iter().enumerate() {
            if position == deliver_at {
                race.deliver_delayed();
            }
            race.step(operator.index(race.publishers.len()), outcome);
        }
        race.deliver_delayed();
        for operator in 0..race.publishers.len() {
            let report = (0..40).find_map(|_| race.step(operator, NetworkOutcome::Answered)).unwrap();
            let (offset, rejected) = true_verdict(&race.log, race.publishers[operator].ticket()).unwrap();
            let expected = match rejected {
                None => PublishReport::Accepted { offset },
                Some(reason) => PublishReport::Rejected { offset, reason },
            };
            let same = match (&report, &expected) {
                // The nonce belongs to another ticket, so each copy of this ticket is rejected.
                (
                    PublishReport::Rejected { reason: RejectReason::NonceSeen { offset: reported }, .. },
                    PublishReport::Rejected { reason: RejectReason::NonceSeen { offset: first }, .. },
                ) => reported == first,
                _ => report == expected,
            };
            prop_assert!(same, "{report} instead of {expected}");
        }
        let expected = state_text(&race.log.full_fold());
        for limit in limits {
            let mut reader = LogFollower::new(small_reads(limit));
            catch_up(&mut reader, &race.log, &mut TimePoint(0));
            prop_assert_eq!(state_text(reader.state()), expected.clone());
        }
    }
}

fn team_ticket(number: u64, nonce: u32) -> ChangeTicket {
    ChangeTicket {
        number: TicketNumber(number),
        nonce: name("n", nonce),
        author: "purna".into(),
        objects: vec![ObjectChange::Team(name("m", 0), Some(Default::default()))],
    }
}

fn single(ticket: ChangeTicket) -> OperatorRace {
    OperatorRace::new(vec![ticket])
}

fn report(race: &mut OperatorRace) -> PublishReport {
    (0..20)
        .find_map(|_| race.step(0, NetworkOutcome::Answered))
        .unwrap()
}

#[test]
fn lost_answer_leads_to_a_lookup_and_no_second_append() {
    let mut race = single(team_ticket(1, 1));
    race.step(0, NetworkOutcome::AnswerLost);
    assert_eq!(
        report(&mut race),
        PublishReport::Accepted {
            offset: LogOffset(0)
        }
    );
    assert_eq!(race.log.records.len(), 1);
}

#[test]
fn lost_request_is_appended_again() {
    let mut race = single(team_ticket(1, 1));
    race.step(0, NetworkOutcome::RequestLost);
    assert_eq!(
        report(&mut race),
        PublishReport::Accepted {
            offset: LogOffset(0)
        }
    );
}

#[test]
fn late_first_append_is_reported_as_accepted() {
    let mut race = single(team_ticket(1, 1));
    race.step(0, NetworkOutcome::Delayed);
    race.step(0, NetworkOutcome::Answered);
    race.deliver_delayed();
    assert_eq!(
        report(&mut race),
        PublishReport::Accepted {
            offset: LogOffset(0)
        }
    );
    assert_eq!(race.log.records.len(), 2);
}

#[test]
fn nonce_of_another_ticket_is_reported_as_rejection() {
    let mut race = single(team_ticket(2, 1));
    race.log.append(&ticket_body(&team_ticket(1, 1)));
    let reason = RejectReason::NonceSeen {
        offset: LogOffset(0),
    };
    let expected = PublishReport::Rejected {
        offset: LogOffset(1),
        reason,
    };
    assert_eq!(report(&mut race), expected);
}

#[test]
fn lookup_reads_a_long_stream_in_parts() {
    let mut race = single(team_ticket(1, 1));
    for _ in 0..600 {
        race.log.append("other");
    }
    race.step(0, NetworkOutcome::AnswerLost);
    assert_eq!(
        report(&mut race),
        PublishReport::Accepted {
            offset: LogOffset(600)
        }
    );
}

#[test]
fn ticket_with_a_broken_rule_is_not_appended() {
    let errors = TicketPublisher::new(team_ticket(0, 1), LogOffset(0)).unwrap_err();
    assert!(errors.to_string().starts_with("number: 0 is not between 1"));
}

#[test]
fn cancel_reports_whether_the_ticket_may_be_in_force() {
    let mut race = single(team_ticket(1, 1));
    race.step(0, NetworkOutcome::NotSent);
    assert_eq!(
        race.publishers[0].clone().cancel(),
        PublishReport::NotAppended
    );
    race.step(0, NetworkOutcome::RequestLost);
    race.step(0, NetworkOutcome::Answered);
    race.step(0, NetworkOutcome::NotSent);
    let unknown = PublishReport::Unknown(UnknownOutcome::Cancelled);
    assert_eq!(race.publishers[0].cancel(), unknown);

    let mut publisher = TicketPublisher::new(team_ticket(1, 1), LogOffset(0)).unwrap();
    assert!(matches!(
        publisher.next_step(TimePoint(0)),
        PublishStep::Append(_)
    ));
    assert_eq!(publisher.cancel(), unknown);
}

#[test]
fn expired_lookup_and_evicted_verdict_are_reported_as_unknown() {
    let mut publisher = TicketPublisher::new(team_ticket(1, 1), LogOffset(0)).unwrap();
    publisher.next_step(TimePoint(0));
    publisher.on_append_lost(TimePoint(0));
    let later = TimePoint(0) + Duration::from_secs(5);
    let PublishStep::Read(LogRead { from, .. }) = publisher.next_step(later) else {
        panic!("no lookup");
    };
    assert_eq!(from, LogOffset(0));
    publisher.on_read_expired();
    let expired = PublishReport::Unknown(UnknownOutcome::Expired);
    assert_eq!(publisher.next_step(later), PublishStep::Finished(expired));

    let mut publisher = TicketPublisher::new(team_ticket(1, 1), LogOffset(0)).unwrap();
    publisher.next_step(TimePoint(0));
    publisher.on_appended(AppendAnswer {
        offset: LogOffset(0),
    });
    let mut state = ConfigState::default();
    state.apply_body(RecordBody::Malformed("".into()));
    publisher.on_fold(&state);
    let forgotten = PublishReport::Unknown(UnknownOutcome::VerdictEvicted);
    assert_eq!(publisher.next_step(later), PublishStep::Finished(forgotten));
}

#[test]
fn empty_answer_during_lookup_does_not_imply_absence() {
    let mut publisher = TicketPublisher::new(team_ticket(1, 1), LogOffset(0)).unwrap();
    publisher.next_step(TimePoint(0));
    publisher.on_append_lost(TimePoint(0));
    let later = TimePoint(0) + Duration::from_secs(5);
    publisher.next_step(later);
    let answer = ReadAnswer {
        first: LogOffset(0),
        next: LogOffset(1),
        now: WallTime(0),
        retention_ms: 0,
        records: Vec::new(),
    };
    publisher.on_read(later, &answer);
    assert!(matches!(
        publisher.next_step(later),
        PublishStep::NotBefore(_)
    ));
    let retry = publisher.next_step(later + Duration::from_secs(5));
    assert!(matches!(retry, PublishStep::Read(_)), "{retry:?}");
}
