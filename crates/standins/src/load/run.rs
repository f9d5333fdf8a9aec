//! A complete run: counters before, load, counters and ledgers after.

use eyre::{Result, WrapErr};
use filbertpitch_wire::runtime;

use super::collect::TargetProbe;
use super::driver::drive;
use super::report::{LoadReport, TargetTotals, build_report};
use super::settings::RunArgs;
use crate::http::target_control::CounterAnswer;
use crate::target_model::TargetCounters;

/// Runs the load and reports.
///
/// # Errors
/// When a target does not answer before the run.
pub fn run_load(args: &RunArgs) -> Result<LoadReport> {
    let before = runtime::run(read_counters(args))??;
    let output = drive(args).wrap_err("cannot drive the load")?;
    let totals = runtime::run(read_totals(args, &before))?;
    Ok(build_report(args, &output, totals))
}

fn probes(args: &RunArgs) -> Vec<TargetProbe> {
    args.control_addresses()
        .into_iter()
        .map(TargetProbe::new)
        .collect()
}

async fn read_counters(args: &RunArgs) -> Result<Vec<CounterAnswer>> {
    let mut counters = Vec::new();
    for probe in probes(args) {
        counters.push(probe.counters().await?);
    }
    Ok(counters)
}

async fn read_totals(args: &RunArgs, before: &[CounterAnswer]) -> TargetTotals {
    let mut totals = TargetTotals::default();
    for (probe, before) in probes(args).iter().zip(before) {
        let after = probe.counters().await;
        let entries = probe.ledger(before.ledger).await;
        match (after, entries) {
            (Ok(after), Ok(entries)) => {
                totals.counters += difference(after.counters, before.counters);
                totals.entries.extend(entries);
            }
            _ => totals.unread += 1,
        }
    }
    totals
}

fn difference(after: TargetCounters, before: TargetCounters) -> TargetCounters {
    TargetCounters {
        messages: after.messages - before.messages,
        starts: after.starts - before.starts,
        joins: after.joins - before.joins,
        refusals: after.refusals - before.refusals,
        checks: after.checks - before.checks,
        stops: after.stops - before.stops,
        throttles: after.throttles - before.throttles,
        checkpoints: after.checkpoints - before.checkpoints,
        done: after.done - before.done,
        done_micros: after.done_micros - before.done_micros,
    }
}
