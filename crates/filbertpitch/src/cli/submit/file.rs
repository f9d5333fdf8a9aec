//! Job files.

use std::fs;
use std::path::Path;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use filbertpitch_types::caller::{JobRequest, TaskSpec};
use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;
use serde::Deserialize;
use serde_with::serde_as;

use crate::cli::CommandError;

/// A job without the identifier of its submission.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct JobFile {
    team: TeamName,
    service: ServiceName,
    #[serde_as(as = "DurationText")]
    deadline: Duration,
    tasks: Vec<TaskSpec>,
}

impl JobFile {
    /// Reads a YAML file. JSON files are valid YAML.
    pub(super) fn load(path: &Path) -> Result<Self, CommandError> {
        let file = path.display();
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("{file} cannot be read"))
            .map_err(CommandError::bad_input)?;
        let deserializer = serde_norway::Deserializer::from_str(&text);
        let job = serde_path_to_error::deserialize::<_, Self>(deserializer)
            .map_err(|error| eyre!("{file} is not a valid job: {}", describe(&error)))
            .map_err(CommandError::bad_input)?;
        if job.tasks.is_empty() {
            let error = eyre!("{file} is not a valid job: tasks: there is none");
            return Err(CommandError::bad_input(error));
        }
        Ok(job)
    }

    pub(super) fn into_request(self, submission: SubmissionId) -> JobRequest {
        JobRequest {
            submission,
            team: self.team,
            service: self.service,
            deadline: self.deadline,
            tasks: self.tasks,
        }
    }
}

/// The field and what is wrong with it. The parser repeats the element of a list that the field
/// belongs to, which is left out.
fn describe(error: &serde_path_to_error::Error<serde_norway::Error>) -> String {
    let path = error.path().to_string();
    let message = error.inner().to_string();
    let message = match message.split_once(": ") {
        Some((place, rest)) if path.starts_with(place) => rest,
        _ => &message,
    };
    match path.as_str() {
        "." => message.to_owned(),
        path => format!("{path}: {message}"),
    }
}
