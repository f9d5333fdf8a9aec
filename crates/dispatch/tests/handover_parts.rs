//! Guards against handover messages that exceed the limit of a request body. Parts limited to 200
//! answers were three times as large as the limit for jobs of 730 tasks, and all outcomes of the
//! handover were lost.

use std::time::Duration;

use filbertpitch_dispatch::handover::{ANSWER_LIMIT_BYTES, split_answers};
use filbertpitch_types::caller::{JobAnswer, TaskAnswer};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

/// The default limit of a request body, in bytes.
const BODY_LIMIT_BYTES: usize = 4 << 20;

fn answer(number: usize, tasks: u16, output: usize) -> JobAnswer {
    let tasks = (0..tasks).map(|task| TaskAnswer {
        task: TaskIndex(task),
        outcome: TaskOutcome::Done {
            output: "x".repeat(output).into(),
        },
        attempts: 1,
        target: Some("target-0001".parse().unwrap()),
        run_time: Duration::from_micros(123_456),
    });
    JobAnswer {
        submission: SubmissionId::Bare {
            key: format!("job-{number}").into(),
            first_submitted: WallTime(1),
        },
        outcome: JobOutcome::Complete,
        tasks: tasks.collect(),
        not_run: None,
        unknown: None,
        retry_after: None,
        prefix: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    #[test]
    fn every_answer_is_in_exactly_one_part_within_the_body_limit(
        jobs in prop::collection::vec((1u16..730, 0usize..1000), 1..40),
    ) {
        let answers = jobs.iter().enumerate();
        let answers = answers
            .map(|(number, &(tasks, output))| answer(number, tasks, output))
            .collect::<Vec<_>>();
        let parts = split_answers(answers.clone());
        for part in &parts {
            let encoded = serde_json::to_vec(part).unwrap();
            prop_assert!(encoded.len() < BODY_LIMIT_BYTES);
        }
        prop_assert_eq!(parts.concat(), answers);
    }
}

/// Guards against one oversized answer that prevents the handover of the others.
#[test]
fn an_oversized_answer_is_left_out_alone() {
    let large = answer(1, 1, ANSWER_LIMIT_BYTES as usize + 1);
    let parts = split_answers(vec![answer(0, 1, 10), large, answer(2, 1, 10)]);
    assert_eq!(parts.concat(), vec![answer(0, 1, 10), answer(2, 1, 10)]);
}
