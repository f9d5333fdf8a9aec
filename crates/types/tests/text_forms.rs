//! Guards against text representations that do not round-trip or that accept malformed input.

use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use proptest::prelude::*;
use test_case::test_case;

#[test_case("250ms", 250_000)]
#[test_case("1.5s", 1_500_000)]
#[test_case("7us", 7)]
#[test_case("2m", 120_000_000)]
fn duration_text_is_read(text: &str, micros: u64) {
    let DurationText(duration) = text.parse().unwrap();
    assert_eq!(duration, Duration::from_micros(micros));
}

#[test_case(""; "empty")]
#[test_case("5"; "no unit")]
#[test_case("-5s"; "negative")]
#[test_case("31000000s"; "too long")]
#[test_case("5 s"; "space")]
#[test_case(".s"; "no digits")]
fn malformed_duration_is_refused(text: &str) {
    assert!(text.parse::<DurationText>().is_err());
}

#[test_case("a~127.0.0.1:80~0000000000000001~3"; "prefix without a key")]
#[test_case("key"; "bare key without a time")]
#[test_case("a b@5"; "space in the key")]
#[test_case("a~b~c~d~e~f"; "too many parts")]
fn malformed_submission_is_refused(text: &str) {
    assert!(text.parse::<SubmissionId>().is_err());
}

proptest! {
    #[test]
    fn submission_text_round_trips(
        zone in "[a-z]{1,9}",
        key in "[a-zA-Z0-9._-]{1,64}",
        port: u16,
        incarnation: u64,
        epoch: u32,
    ) {
        let prefix = OwnerPrefix {
            zone: zone.parse().unwrap(),
            address: ([127, 0, 0, 1], port).into(),
            incarnation: IncarnationId(incarnation),
            epoch: EpochNumber(epoch),
        };
        let submission = SubmissionId::Prefixed { prefix, key: key.into() };
        prop_assert_eq!(submission.to_string().parse::<SubmissionId>().unwrap(), submission);
    }

    #[test]
    fn attempt_text_round_trips(incarnation: u64, job: u64, task: u16, attempt: u8) {
        let id = AttemptId {
            incarnation: IncarnationId(incarnation),
            job: JobNumber(job),
            task: TaskIndex(task),
            attempt: AttemptNumber(attempt),
        };
        prop_assert_eq!(id.to_string().parse::<AttemptId>().unwrap(), id);
    }

    #[test]
    fn size_text_round_trips(bytes in 0u64..u64::MAX / 2) {
        let size = ByteSize(bytes);
        prop_assert_eq!(size.to_string().parse::<ByteSize>().unwrap(), size);
    }

    #[test]
    fn duration_text_round_trips(micros in 0u64..2_592_000_000_000) {
        let text = DurationText(Duration::from_micros(micros));
        prop_assert_eq!(text.to_string().parse::<DurationText>().unwrap(), text);
    }
}
