//! Guards against ticket errors that are missed, reported one at a time, or reported without a line
//! and path.

use filbertpitch_config::error::TicketErrors;
use filbertpitch_config::record::{RecordBody, ticket_body};
use filbertpitch_config::ticket::ChangeTicket;
use proptest::prelude::*;
use test_case::test_case;

fn parse(text: &str) -> Result<ChangeTicket, TicketErrors> {
    ChangeTicket::from_yaml(text, "default-nonce".parse().unwrap())
}

fn errors(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

const GOOD: &str = "\
number: 7
nonce: n-7
author: purna
objects:
  - service: order-desk
    kinds:
      stock-check: {typical: 80ms}
  - target: bir-01
    zone: biratnagar
    address: 10.1.0.11:7000
    takes:
      order-desk: [stock-check]
  - team: mill-a
    weight: 2
    start_rate: 300/s
  - limits: global
    job_tasks: 730
  - target: bir-02
    removed: true
";

#[test]
fn json_round_trip_preserves_the_ticket() {
    let ticket = parse(GOOD).unwrap();
    let body = ticket_body(&ticket);
    let RecordBody::Ticket(read) = RecordBody::parse(&body) else {
        panic!("not a ticket: {body}");
    };
    assert_eq!(*read, ticket);
    assert_eq!(ticket.objects.len(), 5);
    assert!(ticket.objects[4].is_removal());
}

#[test]
fn text_without_nonce_gets_the_given_one() {
    let ticket = parse(&GOOD.replace("nonce: n-7\n", "")).unwrap();
    assert_eq!(ticket.nonce.as_str(), "default-nonce");
    let body = ticket_body(&ticket).replace(r#""nonce":"default-nonce","#, "");
    assert!(matches!(RecordBody::parse(&body), RecordBody::Malformed(_)));
}

#[test]
fn all_errors_are_reported_with_line_and_path() {
    let text = "\
number: many
author: purna
objekts: []
objects:
  - service: order-desk
    kinds:
      stock-check: {typical: 80}
      stock-check: {typical: 80ms}
      'bulk quote': {typical: 1s}
  - target: bir-01
    address: localhost:7000
    slots: 70000
    takes:
      order-desk: [stock-check, stock-check]
  - team: mill-a
    removed: false
  - weight: 2
";
    let expected = "\
line 1: number: expected a whole number, found text
line 3: objekts: unknown field
line 7: objects[0].kinds.stock-check.typical: expected text (quote it if it looks like a number), found a whole number
line 8: objects[0].kinds.stock-check: duplicate field
line 9: objects[0].kinds.bulk quote: `bulk quote` is not a valid kind name: only letters, digits, `-`, `_` and `.` are allowed
line 10: objects[1]: the field `zone` is missing
line 11: objects[1].address: `localhost:7000` is not a valid address: expected IP:PORT
line 12: objects[1].slots: 70000 is out of range
line 14: objects[1].takes.order-desk[1]: duplicate item
line 16: objects[2].removed: `removed` can only be `true`; omit it and give the full state instead
line 17: objects[3]: expected exactly one of `service`, `target`, `team` and `limits`, found 0";
    assert_eq!(errors(text), expected);
}

#[test]
fn all_broken_rules_are_reported_with_line_and_path() {
    let text = "\
number: 0
author: ' '
objects:
  - service: order-desk
    max_attempts: 0
    retry_percent: 101
    kinds:
      stock-check: {typical: 0s}
      bulk-quote:
        typical: 2h
  - service: empty
    kinds: {}
  - target: bir-01
    zone: biratnagar
    address: 0.0.0.0:7000
    slots: 0
    connections: 0
    takes: {order-desk: []}
  - service: empty
    removed: true
";
    let expected = "\
line 1: number: 0 is not between 1 and 18446744073709551615
line 2: author: it must not be empty
line 5: objects[0].max_attempts: 0 is not between 1 and 10
line 6: objects[0].retry_percent: 101 is not between 0 and 100
line 8: objects[0].kinds.stock-check.typical: 0s is not above zero and at most 3600s
line 10: objects[0].kinds.bulk-quote.typical: 7200s is not above zero and at most 3600s
line 12: objects[1].kinds: it must not be empty
line 15: objects[2].address: no target can listen on this address
line 16: objects[2].slots: 0 is not between 1 and 4096
line 17: objects[2].connections: 0 is not between 1 and 4096
line 18: objects[2].takes.order-desk: it must not be empty
line 19: objects[3]: the same object is already at objects[1]";
    assert_eq!(errors(text), expected);
}

#[test_case("number: [", "line 2: ticket: not well-formed"; "syntax")]
#[test_case("", "line 1: ticket: expected a mapping, found nothing"; "empty text")]
#[test_case("a: &a [*a]", "line 1: ticket: not well-formed: recursion limit"; "recursive alias")]
#[test_case("number: 1\nnumber: 2\nauthor: a\nobjects: []", "line 2: number: duplicate field"; "repeated key")]
#[test_case("number: 1\nauthor: a\nobjects: []", "line 3: objects: it must not be empty"; "no objects")]
#[test_case("number: 1\nauthor: a\nobjects: [{team: a, weight: 0}]", "line 3: objects[0].weight: 0 is out of range"; "zero weight")]
#[test_case("number: 1\nauthor: a\nobjects: [{limits: all}]", "line 3: objects[0].limits: expected `limits: global`"; "limits scope")]
#[test_case("number: 1\nauthor: a\nobjects: [{team: a, removed: true, weight: 1}]", "line 3: objects[0]: a removed object has no other fields"; "removed with state")]
#[test_case("number: 1\nauthor: a\nobjects: [{team: a, service: b}]", "line 3: objects[0]: expected exactly one of `service`, `target`, `team` and `limits`, found 2"; "two keys")]
fn invalid_ticket_is_rejected(text: &str, expected: &str) {
    let errors = errors(text);
    assert!(errors.starts_with(expected), "{errors}");
}

#[test]
fn oversized_ticket_is_rejected() {
    let text = format!("# {}\n{GOOD}", "x".repeat(256 << 10));
    assert!(errors(&text).contains("a ticket has at most 262144"));
    // Flow style is shorter than JSON, so the text is within the limit and the record is not.
    let targets = (0..8000).map(|index| format!("- {{target: a{index},removed: true}}\n"));
    let text = format!(
        "number: 1\nauthor: a\nobjects:\n{}",
        targets.collect::<String>()
    );
    assert!(text.len() < 256 << 10);
    assert!(errors(&text).contains("bytes as JSON; at most 262144"));
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text: String, body: String) {
        let _ = parse(&text);
        let _ = RecordBody::parse(&body);
    }

    #[test]
    fn damaged_ticket_never_panics(cut in 0..GOOD.len(), with in "\\PC{0,4}", length in 0..9usize) {
        let end = (cut + length).min(GOOD.len());
        let text = format!("{}{with}{}", &GOOD[..cut], &GOOD[end..]);
        if let Ok(ticket) = parse(&text) {
            let body = ticket_body(&ticket);
            prop_assert!(matches!(RecordBody::parse(&body), RecordBody::Ticket(read) if *read == ticket));
        }
    }
}
