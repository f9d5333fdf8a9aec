//! `filbertpitch ticket`.

use eyre::eyre;

use super::{CommandError, ExitStatus, TicketApplyCommand, TicketListCommand, TicketShowCommand};

/// Appends a ticket to the log and waits until it is in effect.
pub(super) fn apply(command: &TicketApplyCommand) -> Result<ExitStatus, CommandError> {
    let file = command.file.display();
    Err(CommandError::failed(eyre!(
        "applying {file} is not implemented yet"
    )))
}

/// Lists the tickets in the log.
pub(super) fn list(command: &TicketListCommand) -> Result<ExitStatus, CommandError> {
    let log = command.log;
    Err(CommandError::failed(eyre!(
        "listing the tickets of {log} is not implemented yet"
    )))
}

/// Shows a ticket.
pub(super) fn show(command: &TicketShowCommand) -> Result<ExitStatus, CommandError> {
    let number = command.number;
    Err(CommandError::failed(eyre!(
        "showing ticket {number} is not implemented yet"
    )))
}
