//! Rules that go beyond the type of a single field.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpitch_types::prelude::*;
use filbertpitch_types::units::DurationText;

use super::findings::SettingsFinding;
use super::locate::{field_path, locate};
use super::sections::{PlatformSettings, Settings, SettingsFile};

/// An epoch lasts one minute, so a shorter window would accept no submission.
const SHORTEST_WINDOW: Duration = Duration::from_secs(60);
/// Heartbeats more often than this would exceed the message budget of an idle VM.
const SHORTEST_HEARTBEAT: Duration = Duration::from_millis(100);
/// A heartbeat interval above this would keep the slot share of a failed VM unused for longer
/// than the 3 s that are allowed.
const LONGEST_HEARTBEAT: Duration = Duration::from_secs(1);

/// Adds findings to a list, with the line of the field.
pub(super) struct RuleCheck<'a> {
    pub(super) text: &'a str,
    pub(super) findings: &'a mut Vec<SettingsFinding>,
}

impl RuleCheck<'_> {
    pub(super) fn require(&mut self, holds: bool, field: &str, message: &str) {
        // A field that could not be read has its finding already.
        let found = self.findings.iter().any(|finding| *finding.field == *field);
        if !holds && !found {
            self.findings.push(SettingsFinding {
                line: locate(self.text, &field_path(field)),
                field: field.into(),
                message: message.into(),
            });
        }
    }

    pub(super) fn at_least(&mut self, value: Duration, least: Duration, field: &str) {
        let message = format!("it is shorter than {}", DurationText(least));
        self.require(value >= least, field, &message);
    }
}

/// Checks the values that are present.
pub(super) fn check_rules(text: &str, file: &SettingsFile, findings: &mut Vec<SettingsFinding>) {
    let mut check = RuleCheck { text, findings };
    check_addresses(&mut check, file);
    check_server(&mut check, file);
    check_times(&mut check, file);
}

fn check_addresses(check: &mut RuleCheck<'_>, file: &SettingsFile) {
    let reachable = |address: &SocketAddr| !address.ip().is_unspecified() && address.port() != 0;
    let message = "other VMs cannot connect to it: the IP address and the port must be given";
    let addresses = [
        ("advertised", file.advertised),
        ("platform.log", file.platform.log),
        ("platform.vm_list", file.platform.vm_list),
        ("observability.metrics", file.observability.metrics),
    ];
    for (field, address) in addresses {
        check.require(address.as_ref().is_none_or(reachable), field, message);
    }
    for (index, address) in file.seed_peers.iter().enumerate() {
        let field = format!("seed_peers[{index}]");
        let valid = address.as_ref().is_some_and(reachable);
        check.require(valid, &field, message);
    }
    let advertised_missing = file.advertised.is_none();
    let listen_reachable = file.listen.as_ref().is_none_or(reachable);
    check.require(
        !advertised_missing || listen_reachable,
        "listen",
        "`advertised` must be given when `listen` has no specific IP address and port",
    );
}

fn check_server(check: &mut RuleCheck<'_>, file: &SettingsFile) {
    let server = &file.server;
    let shortest = Duration::from_millis(1);
    for (field, value) in [
        ("server.head_timeout", server.head_timeout),
        ("server.body_timeout", server.body_timeout),
        ("server.write_timeout", server.write_timeout),
        ("server.idle_timeout", server.idle_timeout),
    ] {
        check.at_least(value, shortest, field);
    }
    let message = "it is too small for the requests of the protocol: at least 4KiB";
    check.require(
        server.head_limit >= ByteSize::kib(4),
        "server.head_limit",
        message,
    );
    check.require(
        server.body_limit >= ByteSize::kib(4),
        "server.body_limit",
        message,
    );
    check.require(server.connections > 0, "server.connections", "it is zero");
}

fn check_times(check: &mut RuleCheck<'_>, file: &SettingsFile) {
    let window = file.outcomes.epoch_window;
    check.at_least(window, SHORTEST_WINDOW, "outcomes.epoch_window");
    let message = "it is smaller than 1MiB";
    let limit = file.outcomes.byte_limit;
    check.require(limit >= ByteSize::mib(1), "outcomes.byte_limit", message);
    let interval = file.heartbeat.interval;
    check.at_least(interval, SHORTEST_HEARTBEAT, "heartbeat.interval");
    let message = "it is longer than 1s, so the loss of a VM would be noticed too late";
    check.require(interval <= LONGEST_HEARTBEAT, "heartbeat.interval", message);
    let leases = &file.leases;
    check.at_least(leases.duration, Duration::from_secs(1), "leases.duration");
    let margin = Duration::from_millis(100);
    check.at_least(leases.safety_margin, margin, "leases.safety_margin");
}

/// Adds a finding for every required field that is absent.
pub(super) fn require_fields(required: &[(&str, bool)], findings: &mut Vec<SettingsFinding>) {
    let invalid = findings
        .iter()
        .map(|finding| finding.field.clone())
        .collect::<Vec<_>>();
    // A field that is present and invalid has its finding already.
    let absent = required
        .iter()
        .filter(|(field, present)| !present && !invalid.iter().any(|name| **name == **field));
    findings.extend(absent.map(|(field, _)| SettingsFinding {
        line: None,
        field: (*field).into(),
        message: "it is required".into(),
    }));
}

/// Adds a finding for every required value that is absent.
pub(super) fn complete(
    file: SettingsFile,
    findings: &mut Vec<SettingsFinding>,
) -> Option<Settings> {
    let required = [
        ("listen", file.listen.is_some()),
        ("availability_zone", file.availability_zone.is_some()),
        ("platform.log", file.platform.log.is_some()),
        ("platform.vm_list", file.platform.vm_list.is_some()),
    ];
    require_fields(&required, findings);
    let listen = file.listen?;
    Some(Settings {
        listen,
        advertised: file.advertised.unwrap_or(listen),
        availability_zone: file.availability_zone?,
        platform: PlatformSettings {
            log: file.platform.log?,
            vm_list: file.platform.vm_list?,
        },
        seed_peers: file.seed_peers.into_iter().flatten().collect(),
        observability: file.observability,
        server: file.server,
        lifecycle: file.lifecycle,
        outcomes: file.outcomes,
        leases: file.leases,
        heartbeat: file.heartbeat,
    })
}
