//! Exit codes for scripts.

use std::process::ExitCode;

/// How a command ended. The codes are listed in the help text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what was asked.
    Success,
    /// The command was carried out and failed, for example because a task failed.
    Failed,
    /// The arguments or a file are not valid. Nothing was done.
    BadInput,
    /// No VM or log could be reached. A submission may be repeated with the same identifier.
    Unreachable,
    /// The work certainly did not run. It may be submitted again with a new key.
    NotRun,
    /// It is not known whether the work ran.
    Unknown,
}

impl ExitStatus {
    /// The exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Unreachable => 3,
            Self::NotRun => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
