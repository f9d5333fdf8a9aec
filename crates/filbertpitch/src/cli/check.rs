//! `filbertpitch check`.

use serde::Serialize;

use super::{CheckCommand, CommandError, ExitStatus, table};
use crate::settings::{SettingsFinding, load_fleet_settings, load_settings};

/// The result as JSON.
#[derive(Serialize)]
struct CheckReport<'a> {
    file: &'a str,
    valid: bool,
    findings: &'a [SettingsFinding],
}

/// Checks a settings file.
pub(super) fn run(command: &CheckCommand) -> Result<ExitStatus, CommandError> {
    let file = command.settings.display().to_string();
    let result = match command.fleet {
        true => load_fleet_settings(&command.settings).map(drop),
        false => load_settings(&command.settings).map(drop),
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
