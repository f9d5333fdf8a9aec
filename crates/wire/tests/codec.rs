//! Encoding and decoding of typed bodies.

use std::time::Duration;

use filbertpitch_types::caller::{ErrorAnswer, JobRequest, TaskAnswer, TaskSpec};
use filbertpitch_types::fleet::{DemandReport, KindId, KindSpeedReport, RackId};
use filbertpitch_types::outcome::{FailureReason, TaskOutcome};
use filbertpitch_types::peer::{ForwardCommand, ForwardRequest};
use filbertpitch_types::platform::AppendRequest;
use filbertpitch_types::prelude::*;
use filbertpitch_types::target::{AttemptOutcome, AttemptState, RefusalReason, StartAnswer};
use filbertpitch_types::target::{AttemptReport, LoadReport};
use filbertpitch_wire::codec::BodyFormat;
use filbertpitch_wire::message::ServerResponse;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use test_case::test_case;

fn round_trip<T>(format: BodyFormat, message: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let body = format.encode(message).unwrap();
    assert_eq!(&format.decode::<T>(&body).unwrap(), message, "{body:?}");
}

fn job() -> JobRequest {
    JobRequest {
        submission: "itahari~127.0.0.1:80~0000000000000001~3~key"
            .parse()
            .unwrap(),
        team: "a".parse().unwrap(),
        service: "orders".parse().unwrap(),
        deadline: Duration::from_millis(1500),
        tasks: vec![TaskSpec {
            kind: "stock-check".parse().unwrap(),
            declared: Duration::from_micros(50_001),
            repeatable: true,
            input: "{\"sku\": 1}".into(),
        }],
    }
}

/// Guards against messages that a format cannot represent: flattened, tagged or omitted fields, and
/// newtypes that are serialized as strings.
#[test_case(BodyFormat::Json)]
#[test_case(BodyFormat::MessagePack)]
fn messages_survive_both_formats(format: BodyFormat) {
    let attempt = "00000000000000ff-7-3-1".parse().unwrap();
    let load = LoadReport::default();
    round_trip(format, &job());
    for reason in [
        FailureReason::Cancelled,
        FailureReason::TargetError("x".into()),
    ] {
        round_trip(
            format,
            &TaskAnswer {
                task: TaskIndex(3),
                outcome: TaskOutcome::Failed { reason },
                attempts: 2,
                target: None,
                run_time: Duration::from_millis(50),
            },
        );
    }
    let refused = AttemptOutcome::Refused {
        reason: RefusalReason::Fenced,
    };
    for outcome in [refused, AttemptOutcome::Stopped] {
        round_trip(
            format,
            &StartAnswer {
                attempt,
                verdict: outcome.clone(),
                load,
            },
        );
        round_trip(
            format,
            &AttemptReport {
                attempt,
                state: AttemptState::Ended(outcome),
            },
        );
    }
    round_trip(
        format,
        &AttemptReport {
            attempt,
            state: AttemptState::Running,
        },
    );
    for command in [
        ForwardCommand::Submit(job()),
        ForwardCommand::Lookup("key@1700000000000".parse().unwrap()),
    ] {
        round_trip(
            format,
            &ForwardRequest {
                owner: IncarnationId(1),
                traceparent: None,
                command,
            },
        );
    }
}

/// Guards against decoding errors that do not name the invalid field.
#[test_case(r#"{"tasks": [{"kind": "a b", "declared": "1s"}]}"#, "tasks[0].kind"; "invalid name")]
#[test_case(r#"{"tasks": [{"kind": "a", "declared": "1"}]}"#, "tasks[0].declared"; "missing unit")]
#[test_case(r#"{"tasks": [], "colour": "red"}"#, "colour"; "unknown field")]
#[test_case(r#"{"tasks": 1}"#, "tasks"; "wrong type")]
fn json_errors_name_the_field(body: &str, field: &str) {
    let error = BodyFormat::Json
        .decode::<JobRequest>(body.as_bytes())
        .unwrap_err();
    assert_eq!(&*error.field, field, "{error}");
    assert!(error.to_string().contains(field), "{error}");
}

/// Guards against accepting a body whose prefix is a valid message.
#[test_case(BodyFormat::Json)]
#[test_case(BodyFormat::MessagePack)]
fn trailing_bytes_are_refused(format: BodyFormat) {
    let message = AppendRequest { body: "x".into() };
    let mut body = format.encode(&message).unwrap().to_vec();
    body.push(b'1');
    let error = format.decode::<AppendRequest>(&body).unwrap_err();
    assert_eq!(&*error.message, "there are bytes after the message");
}

/// Guards against error responses without the JSON body that scripts parse.
#[test]
fn error_responses_have_a_typed_body() {
    let response = ServerResponse::error(StatusCode::BAD_REQUEST, "bad_request", "tasks is empty");
    assert_eq!(response.content_type.unwrap(), "application/json");
    let answer: ErrorAnswer = BodyFormat::Json.decode(&response.body).unwrap();
    assert_eq!(&*answer.error, "bad_request");
    assert_eq!(&*answer.message, "tasks is empty");
}

/// Guards against a report of waiting tasks that cannot be decoded, or is decoded wrongly, because a
/// table in it is empty: fields are identified by their position.
#[test_case(false, false; "both tables empty")]
#[test_case(true, false; "speeds only")]
#[test_case(false, true; "racks only")]
#[test_case(true, true; "both tables filled")]
fn demand_reports_keep_their_tables(has_speeds: bool, has_racks: bool) {
    let speeds = vec![KindSpeedReport::new(KindId::of_label("fast"), -0.4, 12)];
    let racks = vec![RackId::of_label("rack-7")];
    let report = DemandReport {
        tasks: 3,
        kind_speeds: if has_speeds {
            speeds.into()
        } else {
            Default::default()
        },
        racks: if has_racks {
            racks.into()
        } else {
            Default::default()
        },
        ..DemandReport::default()
    };
    let body = BodyFormat::PackedMessagePack.encode(&report).unwrap();
    let decoded = BodyFormat::PackedMessagePack.decode::<DemandReport>(&body);
    assert_eq!(decoded.unwrap(), report);
}
