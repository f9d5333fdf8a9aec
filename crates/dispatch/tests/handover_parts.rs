//! Guards against a handover whose messages exceed the limit of a request body: jobs of 730 tasks
//! made parts of 200 answers three times as large as the limit, and all outcomes were lost.

use std::time::Duration;

use filbertpitch_dispatch::handover::{ANSWER_LIMIT_BYTES, split_answers};
use filbertpitch_types::caller::{JobAnswer, TaskAnswer};
use filbertpitch_types::prelude::*;
use proptest::prelude::*;

/// The default limit of a request body.
const BODY_LIMIT: usize = 4 << 20;

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
    fn every_answer_is_in_one_part_that_fits(
        jobs in prop::collection::vec((1u16..730, 0usize..1000), 1..40),
    ) {
        let answers = jobs.iter().enumerate();
        let answers = answers
            .map(|(number, &(tasks, output))| answer(number, tasks, output))
            .collect::<Vec<_>>();
        let parts = split_answers(answers.clone());
        for part in &parts {
            let encoded = serde_json::to_vec(part).unwrap();
            prop_assert!(encoded.len() < BODY_LIMIT);
        }
        prop_assert_eq!(parts.concat(), answers);
    }
}

#[test]
fn an_answer_that_no_message_holds_does_not_stop_the_others() {
    let large = answer(1, 1, ANSWER_LIMIT_BYTES as usize + 1);
    let parts = split_answers(vec![answer(0, 1, 10), large, answer(2, 1, 10)]);
    assert_eq!(parts.concat(), vec![answer(0, 1, 10), answer(2, 1, 10)]);
}
