//! Settings of an entry VM on a platform with leases.

use std::process::Command;
use std::time::Duration;

use filbertpitch::settings::{LogLevel, SettingsFindings, parse_fleet_settings};
use filbertpitch_types::prelude::*;
use test_case::test_case;

const MINIMAL: &str = "\
vm: vm-1
availability_zone: dharan
listen:
  callers: 127.0.0.1:7400
  ready: 127.0.0.1:7401
  peers: 127.0.0.1:7402
store: 127.0.0.1:7500
";

/// The field and message of every finding.
fn findings(text: &str) -> Vec<(String, String)> {
    let SettingsFindings { findings, .. } = parse_fleet_settings("f", text).unwrap_err();
    let findings = findings.iter();
    let pairs = findings.map(|found| (found.field.to_string(), found.message.to_string()));
    pairs.collect()
}

/// Guards against defaults that differ from the documented ones.
#[test]
fn minimal_settings_have_the_documented_defaults() {
    let settings = parse_fleet_settings("f", MINIMAL).unwrap();
    assert_eq!(settings.vm.as_str(), "vm-1");
    assert_eq!(settings.listen.metrics, None);
    assert!(settings.seed_peers.is_empty());
    assert_eq!(settings.lease, Duration::from_secs(1));
    assert_eq!(settings.resend_delay, Duration::from_millis(1300));
    assert_eq!(settings.stop_grace, Duration::from_secs(6));
    assert_eq!(settings.far_factor, 1.0);
    assert_eq!(settings.processor(), MilliCores(1000));
    assert!(settings.forward_jobs);
    assert_eq!(settings.forward_lateness, Duration::from_millis(8));
    assert_eq!(settings.log_level, LogLevel::default());
}

#[test]
fn all_settings_are_read() {
    let text = format!(
        "{}seed_peers: [127.0.0.1:7402, 127.0.0.1:7412]\nlease: 1500ms\nresend_delay: 2s\nstop_grace: 8s\n\
         far_factor: 1.5\nprocessor_share: 0.125\nforward_jobs: false\nforward_lateness: 20ms\n\
         log_level: warning\n",
        MINIMAL.replace("store:", "  metrics: 127.0.0.1:7403\nstore:")
    );
    let settings = parse_fleet_settings("f", &text).unwrap();
    assert_eq!(settings.listen.metrics.unwrap().port(), 7403);
    assert_eq!(settings.seed_peers.len(), 2);
    assert_eq!(settings.lease, Duration::from_millis(1500));
    assert_eq!(settings.resend_delay, Duration::from_secs(2));
    assert_eq!(settings.stop_grace, Duration::from_secs(8));
    assert_eq!(settings.far_factor, 1.5);
    assert_eq!(settings.processor(), MilliCores(125));
    assert!(!settings.forward_jobs);
    assert_eq!(settings.forward_lateness, Duration::from_millis(20));
}

/// Guards against a process that starts with values that it cannot work with.
#[test_case("vm: vm-1\n", "", "vm"; "no name")]
#[test_case("  peers: 127.0.0.1:7402\n", "", "listen.peers"; "no address for peers")]
#[test_case("127.0.0.1:7402", "0.0.0.0:7402", "listen.peers"; "peers cannot reach any address")]
#[test_case("store: 127.0.0.1:7500", "store: 127.0.0.1:0", "store"; "no port of the store")]
#[test_case("store:", "lease: 100ms\nstore:", "lease"; "short lease")]
#[test_case("store:", "lease: 2\nstore:", "lease"; "lease without a unit")]
#[test_case("store:", "resend_delay: 400ms\nstore:", "resend_delay"; "clients return too soon")]
#[test_case("store:", "stop_grace: 1s\nstore:", "stop_grace"; "short grace")]
#[test_case("store:", "far_factor: 0.5\nstore:", "far_factor"; "far is nearer")]
#[test_case("store:", "far_factor: .nan\nstore:", "far_factor"; "no number")]
#[test_case("store:", "processor_share: 0\nstore:", "processor_share"; "no processor")]
#[test_case("store:", "forward_lateness: 2s\nstore:", "forward_lateness"; "later than lost")]
#[test_case("store:", "seeds: []\nstore:", "seeds"; "unknown field")]
#[test_case("store:", "seed_peers: [nowhere]\nstore:", "seed_peers[0]"; "no address")]
fn an_invalid_value_is_reported(from: &str, to: &str, field: &str) {
    assert!(MINIMAL.contains(from));
    let found = findings(&MINIMAL.replace(from, to));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, field, "{found:?}");
}

/// Guards against a file whose errors have to be found one by one.
#[test]
fn all_errors_are_reported_at_once() {
    let found = findings("lease: 1ms\nfar_factor: 0\n");
    assert!(found.len() >= 8, "{found:?}");
}

/// Guards against a check whose result a script cannot use.
#[test]
fn check_tells_fleet_settings_apart() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("fleet-check.yaml");
    std::fs::write(&path, MINIMAL).unwrap();
    let check = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_filbertpitch"))
            .arg("check")
            .args(arguments)
            .arg("--settings")
            .arg(&path)
            .output();
        output.unwrap().status.code()
    };
    assert_eq!(check(&["--fleet"]), Some(0));
    assert_eq!(check(&[]), Some(2));
    std::fs::write(&path, MINIMAL.replace("store", "shop")).unwrap();
    assert_eq!(check(&["--fleet"]), Some(2));
}
