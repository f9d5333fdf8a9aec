//! What is wrong with a settings file.

use std::fmt;

use serde::Serialize;

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SettingsFinding {
    /// The line, absent if the finding is about something that is not in the file.
    pub line: Option<usize>,
    /// The field, for example `server.body_limit`; empty if the finding is about the whole file.
    pub field: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
}

/// Everything that is wrong with a settings file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SettingsFindings {
    /// The file.
    pub file: Box<str>,
    /// The findings, at least one.
    pub findings: Vec<SettingsFinding>,
}

impl SettingsFindings {
    pub(super) fn new(file: &str, mut findings: Vec<SettingsFinding>) -> Self {
        findings.sort_by_key(|finding| finding.line);
        Self {
            file: file.into(),
            findings,
        }
    }
}

impl fmt::Display for SettingsFindings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{}:", self.file)?;
            if let Some(line) = finding.line {
                write!(f, "{line}:")?;
            }
            if !finding.field.is_empty() {
                write!(f, " {}:", finding.field)?;
            }
            write!(f, " {}", finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsFindings {}
