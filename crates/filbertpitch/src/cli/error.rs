//! Why a command did not do what was asked.

use std::fmt;

use eyre::Report;

use super::ExitStatus;

/// Why a command did not do what was asked, and its exit status.
#[derive(Debug)]
pub struct CommandError {
    /// The exit status of the process.
    pub status: ExitStatus,
    /// What went wrong, with its causes.
    pub report: Report,
}

impl CommandError {
    /// An error with a status.
    pub fn new(status: ExitStatus, report: Report) -> Self {
        Self { status, report }
    }

    /// The arguments or a file are not valid.
    pub fn bad_input(report: Report) -> Self {
        Self::new(ExitStatus::BadInput, report)
    }

    /// The command failed.
    pub fn failed(report: Report) -> Self {
        Self::new(ExitStatus::Failed, report)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The alternate form puts the causes on one line.
        write!(f, "{:#}", self.report)
    }
}

impl std::error::Error for CommandError {}
