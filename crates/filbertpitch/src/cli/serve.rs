//! `filbertpitch serve`.

use eyre::eyre;

use super::{CommandError, ExitStatus, ServeCommand};
use crate::settings::load_settings;

/// Runs an entry VM.
pub(super) fn run(command: &ServeCommand) -> Result<ExitStatus, CommandError> {
    let settings = load_settings(&command.settings)
        .map_err(|findings| CommandError::bad_input(findings.into()))?;
    let address = settings.listen;
    Err(CommandError::failed(eyre!(
        "serving on {address} is not implemented yet"
    )))
}
