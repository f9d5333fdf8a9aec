//! Guards against example tickets that operators cannot apply.

mod common;

use std::path::Path;

use common::*;
use filbertpitch_config::fold::ConfigState;
use filbertpitch_config::record::ticket_body;
use filbertpitch_config::spec::Configuration;
use filbertpitch_config::ticket::ChangeTicket;
use filbertpitch_config::verdict::RecordVerdict;
use test_case::test_case;

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).unwrap()
}

fn load(text: &str) -> Configuration {
    let ticket = ChangeTicket::from_yaml(text, "example".parse().unwrap())
        .unwrap_or_else(|errors| panic!("{errors}"));
    let mut log = ModelLog::default();
    log.append(&ticket_body(&ticket));
    let mut state = ConfigState::default();
    let verdict = state.apply(&log.records[0]);
    assert!(
        matches!(verdict, RecordVerdict::Accepted { .. }),
        "{verdict}"
    );
    (**state.configuration()).clone()
}

#[test]
fn ticket_in_the_operators_page_is_accepted() {
    let page = read("docs/TICKETS.md");
    let (_, rest) = page.split_once("```yaml\n").unwrap();
    let (text, _) = rest.split_once("```").unwrap();
    assert_eq!(load(text).targets.len(), 1);
}

#[test_case("sajha.yaml", &["biratnagar", "dharan", "itahari", "janakpur"], &["bulk-quote", "dispatch-confirmation", "stock-check"], 3; "sajha")]
#[test_case("glacis.yaml", &["mu-north-1", "mu-north-2", "mu-north-3"], &["centrepiece-order", "cruise-proof", "rush-quote"], 3; "glacis")]
fn example_ticket_is_accepted(name: &str, zones: &[&str], kinds: &[&str], teams: usize) {
    let configuration = load(&read(&format!("examples/tickets/{name}")));
    let mut found = configuration
        .targets
        .values()
        .map(|target| target.zone.as_str())
        .collect::<Vec<_>>();
    found.sort_unstable();
    assert_eq!(found, zones);
    let services = configuration.services.values();
    let found = services
        .flat_map(|service| service.kinds.keys())
        .map(|kind| kind.as_str());
    assert_eq!(found.collect::<Vec<_>>(), kinds);
    assert_eq!(configuration.teams.len(), teams);
}
