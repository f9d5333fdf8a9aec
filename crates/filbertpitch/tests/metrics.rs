//! The table of metrics, its page and what is sent.

use std::collections::HashSet;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

use filbertpitch::metrics::{
    DelayWindow, MetricKind, MetricName, MetricValues, MetricsReporter, ProcessUsage, metrics_page,
};

/// Guards against metrics that are missing from the catalogue, and against outdated entries.
#[test]
fn page_is_generated_from_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert!(
        page == metrics_page(),
        "run the command that docs/METRICS.md names"
    );
}

/// Guards against two metrics that cannot be told apart, and names that statsd cannot read.
#[test]
fn names_are_unique_and_valid() {
    let names = MetricName::ALL.iter().map(|metric| metric.spec().name);
    assert_eq!(
        names.clone().collect::<HashSet<_>>().len(),
        MetricName::ALL.len()
    );
    for name in names {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_');
        assert!(name.bytes().all(allowed), "{name}");
    }
}

fn receive(socket: &UdpSocket) -> Vec<String> {
    let timeout = Duration::from_millis(200);
    socket.set_read_timeout(Some(timeout)).unwrap();
    let mut lines = Vec::new();
    let mut buffer = vec![0; 65_536];
    while let Ok(length) = socket.recv(&mut buffer) {
        let text = std::str::from_utf8(&buffer[..length]).unwrap();
        lines.extend(text.lines().map(str::to_owned));
    }
    lines
}

/// Guards against totals where statsd expects increases, and against lost values.
#[test]
fn counters_are_sent_as_increases() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let vm = "10.0.0.1:7400".parse().unwrap();
    let mut reporter = MetricsReporter::new(address, vm).unwrap();
    for (round, sent) in [(5, 5), (7, 2)] {
        let mut values = MetricValues::default();
        for metric in MetricName::ALL {
            values.set(*metric, round);
        }
        reporter.report(&values).unwrap();
        let lines = receive(&socket);
        assert_eq!(lines.len(), MetricName::ALL.len());
        for metric in MetricName::ALL {
            let spec = metric.spec();
            let name = format!("filbertpitch.10_0_0_1_7400.{}", spec.name);
            let line = match spec.kind {
                MetricKind::Counter => format!("{name}:{sent}|c"),
                MetricKind::Gauge => format!("{name}:{round}|g"),
            };
            assert!(lines.contains(&line), "{line} is missing");
        }
    }
}

/// Guards against percentiles that include an earlier interval.
#[test]
fn percentiles_cover_one_interval() {
    let mut window = DelayWindow::default();
    for millis in 1..=100 {
        window.record(Duration::from_millis(millis));
    }
    let summary = window.take();
    assert!((49_500..=51_000).contains(&summary.p50), "{summary:?}");
    assert!((98_000..=101_000).contains(&summary.p99), "{summary:?}");
    assert!((99_000..=101_000).contains(&summary.max), "{summary:?}");
    assert_eq!(window.take(), Default::default());
    window.record(Duration::from_secs(1 << 40));
    assert!(window.take().max > 0, "the longest durations are kept");
}

/// Guards against a wrong unit.
#[test]
fn process_usage_is_plausible() {
    let usage = ProcessUsage::read().unwrap();
    assert!((1 << 20..1 << 32).contains(&usage.resident_bytes));
    assert!(usage.cpu_ms < 600_000);
}
