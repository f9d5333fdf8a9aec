//! What a simulated task does, as described by its input text.
//!
//! The input is a list of words: `run=50ms` (run time), `fail` or `fail=REASON`, `output=TEXT`,
//! `key=TEXT` (identifies the task of a submission in the start ledger) and `once` (the task must
//! not run twice). Unknown words are ignored.

use std::fmt;
use std::fmt::Write;
use std::hash::Hasher;
use std::time::Duration;

use filbertpitch_types::units::DurationText;
use fnv::FnvHasher;

/// A stable digest of text; the same in every process and version.
pub fn text_digest(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// What a simulated task does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// The run time at full speed.
    pub run_time: Duration,
    /// The error that the task reports, if it fails.
    pub failure: Option<Box<str>>,
    /// The digest of the task's `key`, if it has one.
    pub key_digest: Option<u64>,
    /// Whether a second run does no harm.
    pub repeatable: bool,
    output: Box<str>,
}

impl RunPlan {
    /// Reads the plan from a task's input. Invalid input gives a plan that fails at once.
    pub fn parse(input: &str) -> Self {
        let mut plan = Self {
            run_time: Duration::ZERO,
            failure: None,
            key_digest: None,
            repeatable: true,
            output: expected_output(input),
        };
        for word in input.split_ascii_whitespace() {
            plan.apply(word);
        }
        plan
    }

    fn apply(&mut self, word: &str) {
        let (name, value) = word.split_once('=').unwrap_or((word, ""));
        match name {
            "run" => match value.parse::<DurationText>() {
                Ok(DurationText(run_time)) => self.run_time = run_time,
                Err(error) => self.failure = Some(error.to_string().into()),
            },
            "fail" if value.is_empty() => self.failure = Some("requested by the input".into()),
            "fail" => self.failure = Some(value.into()),
            "key" => self.key_digest = Some(text_digest(value)),
            "once" => self.repeatable = false,
            _ => {}
        }
    }

    /// The output of a run that completes.
    pub fn output(&self) -> &str {
        &self.output
    }
}

/// The output that a task with this input returns: a digest of the input, which reveals answers
/// that were mixed up, followed by the requested output.
pub fn expected_output(input: &str) -> Box<str> {
    let mut output = String::with_capacity(24);
    write!(output, "digest={:016x}", text_digest(input)).expect("writing to a string succeeds");
    let requested = input
        .split_ascii_whitespace()
        .find_map(|word| word.strip_prefix("output="));
    if let Some(requested) = requested {
        output.push(' ');
        output.push_str(requested);
    }
    output.into()
}

/// The progress that a checkpoint token carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressToken(pub Duration);

impl ProgressToken {
    const PREFIX: &str = "progress=";

    /// Reads a token; `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let DurationText(progress) = text.strip_prefix(Self::PREFIX)?.parse().ok()?;
        Some(Self(progress))
    }
}

impl fmt::Display for ProgressToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", Self::PREFIX, DurationText(self.0))
    }
}
