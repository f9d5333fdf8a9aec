//! `filbertpitch check FILE`: a configuration of a fleet.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use filbertpitch_platform::configuration::{
    DecodedConfiguration, decode_configuration, entry_field, entry_list, read_configuration,
};
use filbertpitch_platform::listing::read_target_list;
use filbertpitch_types::configuration::ConfigurationEntry;
use filbertpitch_types::fleet::FleetConfiguration;
use filbertpitch_types::prelude::*;
use filbertpitch_wire::message::ClientRequest;
use filbertpitch_wire::runtime;
use http::{Method, StatusCode, Uri};
use serde::Serialize;

use super::table::{one_line, print_json, print_text};
use super::{CheckCommand, CommandError, ConfigurationBase, ExitStatus, TextTable, VmClient};
use crate::configuration::{
    ConfigurationFinding, EntryChange, EntryDifference, FindingKind, FindingSeverity, check_base,
    check_configuration, check_targets, compare_configurations,
};
use crate::fleet::CONFIGURATION_PATH;

/// A VM responds from memory, so a longer wait does not help.
const VM_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest finding or value in the text output, in characters.
const TEXT_LIMIT: usize = 300;

/// The configuration that is compared with.
struct BaseConfiguration {
    /// The file or the address of the VM.
    source: Box<str>,
    /// The version that the operator takes to be in force.
    expected: Option<ConfigVersion>,
    configuration: FleetConfiguration,
}

/// The configuration that is compared with, in the report.
#[derive(Serialize)]
struct BaseReport<'a> {
    source: &'a str,
    version: u64,
}

/// A changed field in the report.
#[derive(Serialize)]
struct FieldReport {
    field: &'static str,
    from: Box<str>,
    to: Box<str>,
}

/// A difference in the report.
#[derive(Serialize)]
struct DifferenceReport {
    change: &'static str,
    /// The list of the configuration that has the entry.
    list: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<Box<str>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    fields: Vec<FieldReport>,
}

impl From<EntryDifference> for DifferenceReport {
    fn from(difference: EntryDifference) -> Self {
        let EntryDifference { entry, change } = difference;
        let name = match &entry {
            ConfigurationEntry::Queue(name) => Some(name.as_str().into()),
            ConfigurationEntry::Service(name) => Some(name.as_str().into()),
            ConfigurationEntry::Bounds => None,
        };
        let (change, fields) = match change {
            EntryChange::Added => ("added", Vec::new()),
            EntryChange::Removed => ("removed", Vec::new()),
            EntryChange::Changed(fields) => ("changed", fields),
        };
        let fields = fields.into_iter().map(|change| FieldReport {
            field: entry_field(change.field),
            from: change.from,
            to: change.to,
        });
        Self {
            change,
            list: entry_list(&entry),
            name,
            fields: fields.collect(),
        }
    }
}

/// The result as JSON.
#[derive(Serialize)]
struct ConfigurationReport<'a> {
    file: &'a str,
    /// Whether there are no errors and, with `--strict`, no warnings.
    valid: bool,
    /// Absent if the configuration cannot be decoded.
    version: Option<u64>,
    findings: &'a [ConfigurationFinding],
    /// What the configuration was compared with.
    against: Option<BaseReport<'a>>,
    /// Why there is no comparison although one was asked for.
    against_error: Option<String>,
    /// Absent without a comparison.
    differences: Option<Vec<DifferenceReport>>,
}

/// Checks a configuration.
pub(super) fn run(command: &CheckCommand, path: &Path) -> Result<ExitStatus, CommandError> {
    check_options(command)?;
    let decoded = decode_configuration(&read_file(path)?);
    let mut findings = match &decoded {
        Ok(decoded) => check_configuration(decoded),
        Err(error) => {
            let faults = error.faults.iter().cloned();
            let faults = faults.map(|it| ConfigurationFinding::decoded(FindingKind::Invalid, it));
            faults.collect()
        }
    };
    if let (Some(path), Ok(decoded)) = (&command.targets, &decoded) {
        let list = read_target_list(&read_file(path)?)
            .wrap_err_with(|| format!("{} is not a list of targets", path.display()))
            .map_err(CommandError::bad_input)?;
        findings.extend(check_targets(&decoded.configuration, &list));
    }
    let base = command.against.as_ref();
    let base = base.map(|base| load_base(base, command.vm)).transpose();
    if let Ok(Some(base)) = &base {
        let version = decoded.as_ref().ok().map(version);
        let in_force = base.configuration.version;
        findings.extend(check_base(version, in_force, base.expected));
    }
    findings.sort_by_key(|finding| finding.severity);
    let counted = |finding: &ConfigurationFinding| {
        command.strict || finding.severity == FindingSeverity::Error
    };
    let valid = !findings.iter().any(counted);
    let known_base = base.as_ref().ok().and_then(Option::as_ref);
    let differences = known_base
        .zip(decoded.as_ref().ok())
        .map(|(base, decoded)| {
            let found = compare_configurations(&base.configuration, &decoded.configuration);
            found.into_iter().map(DifferenceReport::from).collect()
        });
    let report = ConfigurationReport {
        file: &path.display().to_string(),
        valid,
        version: decoded.as_ref().ok().map(|decoded| version(decoded).0),
        findings: &findings,
        against: known_base.map(|base| BaseReport {
            source: &base.source,
            version: base.configuration.version.0,
        }),
        against_error: base.as_ref().err().map(ToString::to_string),
        differences,
    };
    match command.json {
        true => print_json(&report)?,
        false => print_report(&report)?,
    }
    Ok(match base {
        _ if !valid => ExitStatus::BadInput,
        Err(error) => error.status,
        Ok(_) => ExitStatus::Success,
    })
}

fn version(decoded: &DecodedConfiguration) -> ConfigVersion {
    decoded.configuration.version
}

fn check_options(command: &CheckCommand) -> Result<(), CommandError> {
    let error = match (&command.against, command.vm) {
        (Some(ConfigurationBase::Version(_)), None) => {
            "--against VERSION requires --vm; write `./NAME` for a file whose name is a number"
        }
        (Some(ConfigurationBase::File(_)) | None, Some(_)) => "--vm requires --against VERSION",
        _ => return Ok(()),
    };
    Err(CommandError::bad_input(eyre!(error)))
}

fn read_file(path: &Path) -> Result<Vec<u8>, CommandError> {
    fs::read(path)
        .wrap_err_with(|| format!("{} cannot be read", path.display()))
        .map_err(CommandError::bad_input)
}

/// Reads the configuration that is compared with.
fn load_base(
    base: &ConfigurationBase,
    vm: Option<SocketAddr>,
) -> Result<BaseConfiguration, CommandError> {
    match (base, vm) {
        (ConfigurationBase::Version(version), Some(vm)) => Ok(BaseConfiguration {
            source: vm.to_string().into(),
            expected: Some(*version),
            configuration: fetch_configuration(vm)?,
        }),
        (ConfigurationBase::Version(_), None) => {
            Err(CommandError::bad_input(eyre!("no VM is named")))
        }
        (ConfigurationBase::File(path), _) => {
            let source = path.display().to_string();
            let configuration = read_configuration(&read_file(path)?)
                .wrap_err_with(|| format!("{source} is not a configuration"))
                .map_err(CommandError::bad_input)?;
            Ok(BaseConfiguration {
                source: source.into(),
                expected: None,
                configuration,
            })
        }
    }
}

/// Asks a VM for the configuration that it has in force.
fn fetch_configuration(vm: SocketAddr) -> Result<FleetConfiguration, CommandError> {
    let client = VmClient::new(vm);
    let request = ClientRequest::new(Method::GET, Uri::from_static(CONFIGURATION_PATH));
    let response = runtime::run(client.send(&request, VM_TIMEOUT))
        .wrap_err("the event queue cannot be created")
        .map_err(CommandError::failed)?;
    let response = response.and_then(|response| match response.status {
        StatusCode::OK => Ok(response),
        _ => Err(client.refused(&response)),
    });
    let response =
        response.map_err(|error| CommandError::new(error.exit_status(), error.into()))?;
    read_configuration(&response.body)
        .wrap_err_with(|| format!("{vm} responds with an invalid configuration"))
        .map_err(CommandError::failed)
}

/// Prints the result as text: findings to the standard error, the rest to the standard output.
fn print_report(report: &ConfigurationReport<'_>) -> Result<(), CommandError> {
    let file = report.file;
    for finding in report.findings {
        eprintln!("{file}: {}", one_line(&finding.to_string(), TEXT_LIMIT));
    }
    if let Some(error) = &report.against_error {
        eprintln!("{file}: not compared: {}", one_line(error, TEXT_LIMIT));
    }
    let mut text = match report.valid {
        true => format!("{file}: valid\n"),
        false => format!("{file}: not valid\n"),
    };
    if let (Some(base), Some(differences)) = (&report.against, &report.differences) {
        let (source, version) = (base.source, base.version);
        text.push_str(&match differences.is_empty() {
            true => format!("no differences from version {version} ({source})\n"),
            false => format!(
                "differences from version {version} ({source}):\n{}",
                difference_table(differences)
            ),
        });
    }
    print_text(&text)
}

fn difference_table(differences: &[DifferenceReport]) -> TextTable {
    let mut table = TextTable::new(&["CHANGE", "LIST", "NAME", "FIELD", "FROM", "TO"]);
    for difference in differences {
        let (change, list) = (difference.change, difference.list);
        let name = difference.name.as_deref().unwrap_or("-");
        if difference.fields.is_empty() {
            table.add(&[change, list, name]);
        }
        for field in &difference.fields {
            let (from, to) = (
                one_line(&field.from, TEXT_LIMIT),
                one_line(&field.to, TEXT_LIMIT),
            );
            table.add(&[change, list, name, field.field, &from, &to]);
        }
    }
    table
}
