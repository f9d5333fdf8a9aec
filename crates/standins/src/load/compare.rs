//! Compares two settings in alternating runs.
//!
//! Alternation spreads slow changes of the machine over both settings.

use argh::FromArgs;
use eyre::{Result, eyre};
use serde::Serialize;

use super::report::LoadReport;
use super::run::run_load;
use super::settings::RunArgs;

/// Compare two settings in alternating runs.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
    /// options of `load run` of the first settings, in quotes
    #[argh(option)]
    pub a: String,
    /// options of `load run` of the second settings, in quotes
    #[argh(option)]
    pub b: String,
    /// runs of each settings (default 3)
    #[argh(option, default = "3")]
    pub rounds: usize,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// The medians of one measure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeasureRatio {
    /// The measure.
    pub measure: &'static str,
    /// The median of the first settings.
    pub a: f64,
    /// The median of the second settings.
    pub b: f64,
    /// The second over the first.
    pub ratio: f64,
}

type Measure = (&'static str, fn(&LoadReport) -> f64);

const MEASURES: [Measure; 7] = [
    ("response over ideal p50", |report| report.ratio.p50),
    ("response over ideal p99", |report| report.ratio.p99),
    ("short work p99, ms", |report| report.short_latency_ms.p99),
    ("short work over ideal p99", |report| report.short_ratio.p99),
    ("completed load", |report| report.load.completed_load),
    ("Jain index", |report| report.jain),
    ("wasted messages", |report| report.messages.wasted_ratio),
];

/// Runs both settings in turn.
///
/// # Errors
/// When the options are invalid or a run fails.
pub fn compare_runs(args: &CompareArgs) -> Result<Vec<MeasureRatio>> {
    let (first, second) = (parse_options(&args.a)?, parse_options(&args.b)?);
    let (mut a, mut b) = (Vec::new(), Vec::new());
    for _ in 0..args.rounds.max(1) {
        a.push(run_load(&first)?);
        b.push(run_load(&second)?);
    }
    let ratios = MEASURES.iter().map(|&(measure, value)| {
        let (a, b) = (median(&a, value), median(&b, value));
        MeasureRatio {
            measure,
            a,
            b,
            ratio: b / a,
        }
    });
    Ok(ratios.collect())
}

fn parse_options(text: &str) -> Result<RunArgs> {
    let options = text.split_whitespace().collect::<Vec<_>>();
    RunArgs::from_args(&["load run"], &options).map_err(|exit| eyre!("{}", exit.output))
}

fn median(reports: &[LoadReport], value: fn(&LoadReport) -> f64) -> f64 {
    let mut values = reports.iter().map(value).collect::<Vec<_>>();
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() % 2 {
        0 => f64::midpoint(values[middle - 1], values[middle]),
        _ => values[middle],
    }
}
