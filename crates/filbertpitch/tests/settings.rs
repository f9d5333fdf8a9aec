//! Settings files.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::Duration;

use filbertpitch::settings::{SettingsFindings, load_settings, parse_settings};
use filbertpitch_wire::server::ServerLimits;
use test_case::test_case;

const MINIMAL: &str = "\
listen: 127.0.0.1:7400
availability_zone: dharan
platform:
  log: 127.0.0.1:7500
  vm_list: 127.0.0.1:7501
";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The line, field and message of every finding.
fn findings(text: &str) -> Vec<(Option<usize>, String, String)> {
    let SettingsFindings { findings, .. } = parse_settings("f", text).unwrap_err();
    findings
        .iter()
        .map(|finding| {
            (
                finding.line,
                finding.field.to_string(),
                finding.message.to_string(),
            )
        })
        .collect()
}

/// Guards against examples that the program refuses.
#[test_case("sajha-bora-sangh", &["biratnagar", "dharan", "itahari", "janakpur"])]
#[test_case("glacis", &["mu-north-1", "mu-north-2", "mu-north-3"])]
fn examples_are_valid(user: &str, zones: &[&str]) {
    let directory = root().join("examples/settings").join(user);
    let mut loaded = BTreeMap::new();
    for entry in std::fs::read_dir(directory).unwrap() {
        let settings =
            load_settings(&entry.unwrap().path()).unwrap_or_else(|found| panic!("{found}"));
        loaded.insert(settings.availability_zone.to_string(), settings);
    }
    assert_eq!(loaded.keys().collect::<Vec<_>>(), zones);
    for settings in loaded.values() {
        let others = loaded.values().map(|other| other.advertised);
        let others = others.filter(|address| *address != settings.advertised);
        let seeds = settings.seed_peers.iter().copied();
        assert_eq!(seeds.collect::<BTreeSet<_>>(), others.collect());
    }
}

/// Guards against defaults that differ from the design or from the server's.
#[test]
fn minimal_settings_have_the_documented_defaults() {
    let settings = parse_settings("f", MINIMAL).unwrap();
    assert_eq!(settings.advertised, settings.listen);
    assert_eq!(settings.server.limits(), ServerLimits::default());
    assert_eq!(settings.lifecycle.drain_timeout, Duration::from_secs(30));
    assert_eq!(settings.outcomes.epoch_window, Duration::from_secs(600));
    assert_eq!(settings.outcomes.byte_limit.to_string(), "32MiB");
    assert_eq!(settings.leases.safety_margin, Duration::from_secs(1));
    assert_eq!(settings.heartbeat.interval, Duration::from_secs(1));
    assert_eq!(settings.observability.trace_sampling.as_fraction(), 0.0);
}

/// Guards against reporting one error at a time, and against errors without their place.
#[test]
fn every_error_is_reported_with_line_and_field() {
    let text = "\
listen: localhost
availability_zone: a b
platform:
  log: 127.0.0.1:7500
seed_peers:
  - 127.0.0.1:7400
  - nowhere
  - 10.0.0.1:0
  - []
server:
  body_limit: 4MB
  colour: red
  connections: -1
outcomes:
  epoch_window: 5s
observability: {trace_sampling: 200%, log_level: loud}
heartbeat:
  interval: 1
leases: 5
";
    let found = findings(text);
    let places = found.iter().map(|(line, field, _)| (*line, field.as_str()));
    let expected = [
        (None, "platform.vm_list"),
        (Some(1), "listen"),
        (Some(2), "availability_zone"),
        (Some(7), "seed_peers[1]"),
        (Some(8), "seed_peers[2]"),
        (Some(9), "seed_peers[3]"),
        (Some(11), "server.body_limit"),
        (Some(12), "server.colour"),
        (Some(13), "server.connections"),
        (Some(15), "outcomes.epoch_window"),
        (Some(16), "observability.trace_sampling"),
        (Some(16), "observability.log_level"),
        (Some(18), "heartbeat.interval"),
        (Some(19), "leases"),
    ];
    let mut places = places.collect::<Vec<_>>();
    let mut expected = expected.to_vec();
    places.sort();
    expected.sort();
    assert_eq!(places, expected);
    let message = |field: &str| &found.iter().find(|found| found.1 == field).unwrap().2;
    assert!(message("server.body_limit").contains("KiB"));
    assert!(message("server.colour").contains("unknown field"));
}

/// Guards against messages about host names and missing units that do not say what is expected.
#[test]
fn messages_name_the_expected_form() {
    let text = MINIMAL.replace("127.0.0.1:7400", "localhost:7400");
    let found = findings(&format!("{text}lifecycle: {{drain_timeout: 30}}\n"));
    let messages = found.iter().map(|found| found.2.as_str());
    let messages = messages.collect::<Vec<_>>();
    assert_eq!(messages.len(), 2, "{messages:?}");
    assert_eq!(messages[0], "expected IP:PORT; host names are not resolved");
    assert!(messages[1].ends_with("for example `30s`"), "{messages:?}");
}

/// Guards against values that are valid alone and make no sense.
#[test_case("heartbeat: {interval: 5s}", "heartbeat.interval"; "heartbeat too rare")]
#[test_case("heartbeat: {interval: 1ms}", "heartbeat.interval"; "heartbeat too frequent")]
#[test_case("advertised: 0.0.0.0:7400", "advertised"; "advertised without address")]
#[test_case("seed_peers: [null]", "seed_peers[0]"; "empty peer")]
#[test_case("seed_peers: ['10.0.0.1:0']", "seed_peers[0]"; "peer without port")]
#[test_case("server: {connections: 0}", "server.connections"; "no connections")]
#[test_case("server: {head_limit: 1KiB}", "server.head_limit"; "head too small")]
#[test_case("leases: {safety_margin: 0s}", "leases.safety_margin"; "no safety margin")]
#[test_case("outcomes: {byte_limit: 1KiB}", "outcomes.byte_limit"; "no outcomes")]
fn unreasonable_values_are_refused(line: &str, field: &str) {
    let found = findings(&format!("{MINIMAL}{line}\n"));
    let places = found.iter().map(|(line, field, _)| (*line, field.as_str()));
    assert_eq!(places.collect::<Vec<_>>(), [(Some(6), field)]);
}

/// Guards against a listening address without host that ends up in prefixes.
#[test]
fn wildcard_address_needs_an_advertised_one() {
    let text = MINIMAL.replace("127.0.0.1:7400", "0.0.0.0:7400");
    assert_eq!(findings(&text)[0].1, "listen");
    parse_settings("f", &format!("{text}advertised: 10.0.0.1:7400\n")).unwrap();
}

/// Guards against crashes on files that are no settings at all.
#[test_case("", 4; "empty")]
#[test_case("- 1", 1; "sequence")]
#[test_case("a: [", 1; "invalid YAML")]
#[test_case("listen: 127.0.0.1:1\nlisten: 127.0.0.1:2", 1; "duplicate field")]
fn other_files_are_refused(text: &str, least: usize) {
    assert!(findings(text).len() >= least, "{:?}", findings(text));
}
