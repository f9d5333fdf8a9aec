//! The catalogue of metrics as a page.

use std::fmt::Write;

use super::MetricName;

const INTRODUCTION: &str = "# Metrics

Each entry VM sends its metrics to `observability.metrics` once a second, in the statsd format
over UDP. Every name begins with `filbertpitch.VM.`, where `VM` is the advertised address of the VM
with `_` in place of other characters, for example `filbertpitch.10_0_0_1_7400.tasks.queued`.
Counters are sent as the increase since the last report; gauges are absolute. A percentile
covers one interval and is 0 if nothing was measured in it. Datagrams that the network loses are
not repeated.

This page is generated from the table in `crates/filbertpitch/src/metrics/table.rs`:

    cargo run -q -p filbertpitch --example metrics_page > docs/METRICS.md

| name | kind | unit | meaning |
|---|---|---|---|
";

/// The content of docs/METRICS.md.
pub fn metrics_page() -> String {
    let mut page = String::from(INTRODUCTION);
    for metric in MetricName::ALL {
        let spec = metric.spec();
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} |",
            spec.name, spec.kind, spec.unit, spec.meaning
        );
    }
    page
}
