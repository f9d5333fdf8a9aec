//! Reads settings and collects everything that is wrong with them.

use std::fs;
use std::mem;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_norway::Value;
use serde_path_to_error::Segment;

use super::findings::{SettingsFinding, SettingsFindings};
use super::locate::{FieldStep, locate};
use super::rules::{check_rules, complete};
use super::sections::{Settings, SettingsFile};

/// What an address must look like, for messages.
pub const ADDRESS_FORM: &str = "expected IP:PORT; host names are not resolved";

/// The message of the standard library for text that is no address.
const INVALID_ADDRESS: &str = "invalid socket address syntax";

/// Reads a settings file.
///
/// # Errors
/// Everything that is wrong with the file.
pub fn load_settings(path: &Path) -> Result<Settings, SettingsFindings> {
    let file = path.display().to_string();
    parse_settings(&file, &read_text(path)?)
}

/// Reads a settings file as text.
pub(super) fn read_text(path: &Path) -> Result<String, SettingsFindings> {
    fs::read_to_string(path).map_err(|error| {
        let finding = SettingsFinding {
            line: None,
            field: "".into(),
            message: format!("cannot be read: {error}").into(),
        };
        SettingsFindings::new(&path.display().to_string(), vec![finding])
    })
}

/// Reads settings from text; `file` is its name in findings.
///
/// # Errors
/// Everything that is wrong with the text.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsFindings> {
    let mut findings = Vec::new();
    let parsed = parse_fields::<SettingsFile>(file, text, &mut findings)?;
    check_rules(text, &parsed, &mut findings);
    match complete(parsed, &mut findings) {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(SettingsFindings::new(file, findings)),
    }
}

/// Reads the fields that can be read, and adds a finding for each of the others.
///
/// # Errors
/// When the text is not YAML.
pub(super) fn parse_fields<File>(
    file: &str,
    text: &str,
    findings: &mut Vec<SettingsFinding>,
) -> Result<File, SettingsFindings>
where
    File: DeserializeOwned + Default,
{
    let value = serde_norway::from_str::<Value>(text).map_err(|error| {
        let finding = SettingsFinding {
            line: error.location().map(|location| location.line()),
            field: "".into(),
            message: error.to_string().into(),
        };
        SettingsFindings::new(file, vec![finding])
    })?;
    Ok(collect_fields(text, value, findings))
}

/// Reads the fields. Deserialization stops at the first error, so the offending node is removed
/// and the rest is read again until no error is left.
fn collect_fields<File>(text: &str, mut value: Value, findings: &mut Vec<SettingsFinding>) -> File
where
    File: DeserializeOwned + Default,
{
    if value.is_null() {
        return File::default();
    }
    loop {
        let error = match serde_path_to_error::deserialize::<_, File>(value.clone()) {
            Ok(settings) => return settings,
            Err(error) => error,
        };
        let path = steps(error.path());
        findings.push(SettingsFinding {
            line: locate(text, &path),
            field: field_name(error.path()),
            message: explain(error.inner().to_string()),
        });
        if !remove(&mut value, &path) {
            return File::default();
        }
    }
}

/// Adds what the deserializers do not know: the forms of addresses and of values with a unit.
fn explain(message: String) -> Box<str> {
    if message == INVALID_ADDRESS {
        ADDRESS_FORM.into()
    } else if message.starts_with("invalid type") && message.ends_with("expected a string") {
        format!("{message}; a value with a unit is expected, for example `30s`").into()
    } else {
        message.into()
    }
}

fn field_name(path: &serde_path_to_error::Path) -> Box<str> {
    match path.to_string() {
        path if path == "." => "".into(),
        path => path.into(),
    }
}

fn steps(path: &serde_path_to_error::Path) -> Vec<FieldStep> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Map { key } => Some(FieldStep::Key(key.as_str().into())),
            Segment::Seq { index } => Some(FieldStep::Index(*index)),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

/// Removes the node at `path`, or makes it null in a sequence. False if there is none.
fn remove(value: &mut Value, path: &[FieldStep]) -> bool {
    match (value, path) {
        (Value::Mapping(mapping), [FieldStep::Key(key)]) => mapping.remove(&**key).is_some(),
        // Sequences keep their length, so that the positions of further elements stay right.
        (Value::Sequence(sequence), [FieldStep::Index(index)]) => sequence
            .get_mut(*index)
            .is_some_and(|element| !mem::replace(element, Value::Null).is_null()),
        (Value::Mapping(mapping), [FieldStep::Key(key), rest @ ..]) => mapping
            .get_mut(&**key)
            .is_some_and(|inner| remove(inner, rest)),
        (Value::Sequence(sequence), [FieldStep::Index(index), rest @ ..]) => sequence
            .get_mut(*index)
            .is_some_and(|inner| remove(inner, rest)),
        _ => false,
    }
}
