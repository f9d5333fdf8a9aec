//! Guards against folds that differ between VMs, apply a ticket twice, let an old ticket win, or
//! put an inconsistent configuration in force.

mod common;

use std::collections::BTreeSet;

use common::*;
use filbertpitch_config::fold::{ConfigState, TOMBSTONE_LIMIT};
use filbertpitch_config::object::{ObjectChange, ObjectName};
use filbertpitch_config::record::{RecordBody, ticket_body};
use filbertpitch_config::resolve::{ReferenceProblem, verify_configuration};
use filbertpitch_config::spec::{Configuration, TeamSpec};
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_config::verdict::{RecordVerdict, RejectReason};
use filbertpitch_types::platform::LogRecord;
use filbertpitch_types::prelude::*;
use proptest::prelude::*;
use test_case::test_case;

/// Applies a ticket without any check.
fn apply_unchecked(mut configuration: Configuration, ticket: &ChangeTicket) -> Configuration {
    for change in &ticket.objects {
        match change.clone() {
            ObjectChange::Service(name, spec) => {
                configuration.services.remove(&name);
                configuration.services.extend(spec.map(|spec| (name, spec)));
            }
            ObjectChange::Target(name, spec) => {
                configuration.targets.remove(&name);
                configuration.targets.extend(spec.map(|spec| (name, spec)));
            }
            ObjectChange::Team(name, spec) => {
                configuration.teams.remove(&name);
                configuration.teams.extend(spec.map(|spec| (name, spec)));
            }
            ObjectChange::Limits(spec) => configuration.limits = spec.unwrap_or_default(),
        }
    }
    configuration
}

/// Checks every reference and address directly, independently of the verifier under test.
fn is_consistent(configuration: &Configuration) -> bool {
    let resolved = configuration.targets.values().all(|target| {
        target.takes.iter().all(|(service, kinds)| {
            let spec = configuration.services.get(service);
            spec.is_some_and(|spec| kinds.iter().all(|kind| spec.kinds.contains_key(kind)))
        })
    });
    let addresses = configuration.targets.values().map(|target| target.address);
    resolved && addresses.collect::<BTreeSet<_>>().len() == configuration.targets.len()
}

proptest! {
    #[test]
    fn verdicts_follow_the_rules(steps in any_history(40)) {
        let mut state = ConfigState::default();
        for record in &build_log(&steps).records {
            let before = state.clone();
            let verdict = state.apply(record);
            let RecordBody::Ticket(ticket) = RecordBody::parse(&record.body) else {
                let unchanged = matches!(
                    verdict,
                    RecordVerdict::Malformed { .. } | RecordVerdict::Snapshot { .. }
                );
                prop_assert!(unchanged);
                prop_assert_eq!(before.object_numbers(), state.object_numbers());
                prop_assert_eq!(before.configuration(), state.configuration());
                continue;
            };
            let seen = before.recent_verdicts().any(|entry| entry.nonce == ticket.nonce);
            let stale = ticket.objects.iter()
                .any(|change| before.object_number(&change.name()) >= ticket.number);
            let result = apply_unchecked((**before.configuration()).clone(), &ticket);
            match verdict {
                RecordVerdict::Accepted { .. } => {
                    prop_assert!(!seen && !stale);
                    prop_assert!(is_consistent(&result));
                    prop_assert_eq!(&**state.configuration(), &result);
                }
                RecordVerdict::Rejected { reason, .. } => {
                    prop_assert_eq!(before.configuration(), state.configuration());
                    prop_assert_eq!(before.object_numbers(), state.object_numbers());
                    let justified = match reason {
                        RejectReason::NonceSeen { .. } => seen,
                        RejectReason::StaleNumber { .. } => stale,
                        RejectReason::Invalid { .. } => !is_consistent(&result),
                        RejectReason::RulesBroken { errors } => !errors.is_empty(),
                        RejectReason::BelowFloor { .. } => false,
                    };
                    prop_assert!(justified);
                }
                other => prop_assert!(false, "{other}"),
            }
            prop_assert!(verify_configuration(state.configuration()).is_empty());
        }
    }

    #[test]
    fn object_numbers_never_go_down(steps in any_history(40)) {
        let mut state = ConfigState::default();
        for record in &build_log(&steps).records {
            let before = state.clone();
            state.apply(record);
            for object in all_objects() {
                prop_assert!(state.object_number(&object) >= before.object_number(&object));
            }
        }
    }

    #[test]
    fn repeated_appends_apply_once(
        steps in any_history(30),
        doubles in prop::collection::vec((any::<prop::sample::Index>(), 0..20usize), 0..20),
    ) {
        let once = build_log(&steps);
        let mut bodies = once.records.iter().map(|record| &*record.body).collect::<Vec<_>>();
        if !bodies.is_empty() {
            for (index, distance) in doubles {
                let original = index.index(bodies.len());
                bodies.insert((original + 1 + distance).min(bodies.len()), bodies[original]);
            }
        }
        let mut twice = ModelLog::default();
        for body in bodies {
            twice.append(body);
        }
        let (once, twice) = (once.full_fold(), twice.full_fold());
        prop_assert_eq!(once.configuration(), twice.configuration());
        prop_assert_eq!(once.object_numbers(), twice.object_numbers());
    }

    #[test]
    fn arbitrary_records_never_panic(
        records in prop::collection::vec((any::<u64>(), prop::collection::vec(any::<u8>(), 0..60)), 0..20),
    ) {
        let mut state = ConfigState::default();
        for (position, (offset, bytes)) in records.iter().enumerate() {
            let offset = if offset % 2 == 0 { position as u64 } else { *offset };
            let body = String::from_utf8_lossy(bytes).into();
            state.apply(&LogRecord { offset: LogOffset(offset), appended_at: WallTime(0), body });
        }
    }

    #[test]
    fn damaged_records_never_panic(
        steps in any_history(12),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<char>()), 1..4),
    ) {
        let mut state = ConfigState::default();
        for mut record in build_log(&steps).records {
            let mut text = record.body.chars().collect::<Vec<_>>();
            for (index, character) in &damage {
                if !text.is_empty() {
                    let position = index.index(text.len());
                    text[position] = *character;
                }
            }
            record.body = text.into_iter().collect::<String>().into();
            state.apply(&record);
        }
    }
}

fn ticket(number: u64, objects: Vec<ObjectChange>) -> ChangeTicket {
    ChangeTicket {
        number: TicketNumber(number),
        nonce: name("n", number as u32),
        author: "operator".into(),
        objects,
    }
}

fn apply(state: &mut ConfigState, ticket: &ChangeTicket) -> RecordVerdict {
    state.apply_body(RecordBody::parse(&ticket_body(ticket)))
}

#[test]
fn number_check_survives_tombstone_pruning() {
    let mut state = ConfigState::default();
    for round in 0..2 {
        let objects = (0..TOMBSTONE_LIMIT as u32)
            .map(|index| ObjectChange::Team(name(&format!("r{round}-"), index), None))
            .collect();
        let verdict = apply(&mut state, &ticket(10 + round, objects));
        assert!(
            matches!(verdict, RecordVerdict::Accepted { .. }),
            "{verdict}"
        );
    }
    assert!(state.object_numbers().len() <= TOMBSTONE_LIMIT);
    let team = |prefix: &str| ObjectChange::Team(name(prefix, 0), Some(TeamSpec::default()));
    for prefix in ["r0-", "new-"] {
        let mut late = ticket(10, vec![team(prefix)]);
        late.nonce = name(prefix, 0);
        let verdict = apply(&mut state, &late);
        let RecordVerdict::Rejected { reason, .. } = &verdict else {
            panic!("{verdict}");
        };
        assert!(
            matches!(reason, RejectReason::BelowFloor { .. }),
            "{reason}"
        );
    }
    let verdict = apply(&mut state, &ticket(12, vec![team("r0-"), team("new-")]));
    assert!(
        matches!(verdict, RecordVerdict::Accepted { .. }),
        "{verdict}"
    );
}

const SERVICE: &str = r#"{"service":"s","kinds":{"k":{"typical":"10ms"}}}"#;
const TARGET: &str = r#"{"target":"a","zone":"z","address":"10.0.0.1:1","takes":{"s":["k"]}}"#;

/// Folds one ticket per text, with ascending numbers, and returns the last verdict.
fn last_verdict(tickets: &[String]) -> RecordVerdict {
    let mut log = ModelLog::default();
    for (position, objects) in tickets.iter().enumerate() {
        let number = position + 1;
        log.append(&format!(
            r#"{{"ticket":{{"number":{number},"nonce":"n{number}","author":"o","objects":[{objects}]}}}}"#
        ));
    }
    let mut state = ConfigState::default();
    let verdicts = log.records.iter().map(|record| state.apply(record));
    verdicts.last().unwrap()
}

#[test_case(r#"{"service":"s","removed":true}"#, |problem| matches!(problem, ReferenceProblem::UnknownService { .. }); "removed service in use")]
#[test_case(r#"{"service":"s","kinds":{"other":{"typical":"10ms"}}}"#, |problem| matches!(problem, ReferenceProblem::UnknownKind { .. }); "removed kind in use")]
#[test_case(r#"{"target":"b","zone":"z","address":"10.0.0.1:1","takes":{"s":["k"]}}"#, |problem| matches!(problem, ReferenceProblem::SharedAddress { .. }); "shared address")]
#[test_case(r#"{"target":"b","zone":"z","address":"[::ffff:10.0.0.1]:1","takes":{"s":["k"]}}"#, |problem| matches!(problem, ReferenceProblem::SharedAddress { .. }); "shared mapped address")]
#[test_case(r#"{"target":"b","zone":"z","address":"10.0.0.1:2","takes":{"x":["k"]}}"#, |problem| matches!(problem, ReferenceProblem::UnknownService { .. }); "unknown service")]
fn inconsistent_ticket_is_rejected(objects: &str, expected: fn(&ReferenceProblem) -> bool) {
    let verdict = last_verdict(&[SERVICE.into(), TARGET.into(), objects.into()]);
    let RecordVerdict::Rejected {
        reason: RejectReason::Invalid { problems },
        ..
    } = &verdict
    else {
        panic!("{verdict}");
    };
    assert!(
        matches!(&problems[..], [problem] if expected(problem)),
        "{verdict}"
    );
}

#[test]
fn service_and_its_last_target_can_be_removed_together() {
    let removal = r#"{"service":"s","removed":true},{"target":"a","removed":true}"#;
    let verdict = last_verdict(&[SERVICE.into(), TARGET.into(), removal.into()]);
    assert!(
        matches!(verdict, RecordVerdict::Accepted { .. }),
        "{verdict}"
    );
}

#[test]
fn addresses_can_be_exchanged_in_one_ticket() {
    let target = |name: &str, port: u16| {
        TARGET
            .replace(r#""a""#, &format!("{name:?}"))
            .replace(":1\"", &format!(":{port}\""))
    };
    let both = |first, second| format!("{},{}", target("a", first), target("b", second));
    let verdict = last_verdict(&[SERVICE.into(), both(1, 2), both(2, 1)]);
    assert!(
        matches!(verdict, RecordVerdict::Accepted { .. }),
        "{verdict}"
    );
}

#[test]
fn removed_object_keeps_its_number() {
    let mut state = ConfigState::default();
    let team = |spec| vec![ObjectChange::Team(name("m", 0), spec)];
    apply(&mut state, &ticket(5, team(Some(TeamSpec::default()))));
    apply(&mut state, &ticket(7, team(None)));
    let late = ticket(6, team(Some(TeamSpec::default())));
    let RecordVerdict::Rejected { reason, .. } = apply(&mut state, &late) else {
        panic!("accepted");
    };
    let object = ObjectName::Team(name("m", 0));
    assert_eq!(
        reason,
        RejectReason::StaleNumber {
            object,
            current: TicketNumber(7)
        }
    );
}

#[test]
fn last_offset_does_not_overflow() {
    let text = state_text(&ConfigState::default()).replacen(
        "\"next\":0",
        "\"next\":18446744073709551615",
        1,
    );
    let mut state = serde_json::from_str::<ConfigState>(&text).unwrap();
    let record = LogRecord {
        offset: LogOffset(u64::MAX),
        appended_at: WallTime(0),
        body: "x".into(),
    };
    assert!(matches!(
        state.apply(&record),
        RecordVerdict::OutOfOrder { .. }
    ));
}
