//! `filbertpitch check`.

use std::path::Path;

use eyre::eyre;
use serde::Serialize;

use super::{CheckCommand, CommandError, ExitStatus, check_configuration, table};
use crate::settings::{SettingsFinding, load_fleet_settings, load_settings};

/// The result as JSON.
#[derive(Serialize)]
struct CheckReport<'a> {
    file: &'a str,
    valid: bool,
    findings: &'a [SettingsFinding],
}

/// Checks a settings file or a configuration.
pub(super) fn run(command: &CheckCommand) -> Result<ExitStatus, CommandError> {
    let for_configuration = command.against.is_some()
        || command.vm.is_some()
        || command.targets.is_some()
        || command.strict;
    match (&command.file, &command.settings) {
        (Some(file), None) if !command.fleet => check_configuration::run(command, file),
        (None, Some(settings)) if !for_configuration => check_settings(command, settings),
        (Some(_), None) => Err(misuse("--fleet is an option of --settings")),
        (None, Some(_)) => Err(misuse(
            "--against, --vm, --targets and --strict are options of the check of a configuration",
        )),
        (Some(_), Some(_)) => Err(misuse("a configuration and --settings exclude each other")),
        (None, None) => Err(misuse("a configuration or --settings is required")),
    }
}

fn misuse(message: &'static str) -> CommandError {
    CommandError::bad_input(eyre!(message))
}

fn check_settings(command: &CheckCommand, settings: &Path) -> Result<ExitStatus, CommandError> {
    let file = settings.display().to_string();
    let result = match command.fleet {
        true => load_fleet_settings(settings).map(drop),
        false => load_settings(settings).map(drop),
    };
    if command.json {
        table::print_json(&CheckReport {
            file: &file,
            valid: result.is_ok(),
            findings: result.as_ref().err().map_or(&[], |found| &found.findings),
        })?;
    } else if result.is_ok() {
        table::print_text(&format!("{file}: valid\n"))?;
    }
    match result {
        Ok(_) => Ok(ExitStatus::Success),
        Err(_) if command.json => Ok(ExitStatus::BadInput),
        Err(findings) => {
            eprintln!("{findings}");
            Ok(ExitStatus::BadInput)
        }
    }
}
