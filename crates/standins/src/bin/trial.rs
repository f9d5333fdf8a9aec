//! Runs seeds of the fault run and prints what was found.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use filbertpitch_standins::trial::{FaultClass, TrialReport, TrialSettings, run_trial};
use filbertpitch_standins::world::CommaList;

/// The seeded fault run. Exits with 1 when an invariant was broken.
#[derive(FromArgs)]
struct TrialArgs {
    /// one seed
    #[argh(option)]
    seed: Option<u64>,

    /// seeds from A up to and without B, as A..B
    #[argh(option, from_str_fn(parse_range))]
    seeds: Option<std::ops::Range<u64>>,

    /// how long faults occur, in virtual seconds (default 90)
    #[argh(option, default = "90")]
    virtual_seconds: u64,

    /// fault classes to draw from, separated by commas (default: all)
    #[argh(option)]
    faults: Option<CommaList<FaultClass>>,

    /// print the event trace
    #[argh(switch)]
    trace: bool,
}

fn parse_range(text: &str) -> Result<std::ops::Range<u64>, String> {
    let error = || format!("`{text}` is not a range of seeds A..B");
    let (first, end) = text.split_once("..").ok_or_else(error)?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| error());
    Ok(number(first)?..number(end)?)
}

fn main() -> ExitCode {
    let args = argh::from_env::<TrialArgs>();
    let seeds = match (&args.seed, &args.seeds) {
        (Some(seed), _) => *seed..seed + 1,
        (None, Some(seeds)) => seeds.clone(),
        (None, None) => 0..1,
    };
    let mut broken = 0;
    let mut virtual_time = Duration::ZERO;
    for seed in seeds.clone() {
        let settings = TrialSettings {
            fault_time: Duration::from_secs(args.virtual_seconds),
            faults: args.faults.clone().map_or_else(Vec::new, |list| list.0),
            trace: args.trace,
            ..TrialSettings::new(seed)
        };
        let report = run_trial(&settings);
        virtual_time += report.virtual_time;
        broken += usize::from(!report.violations.is_empty());
        print_report(&report);
    }
    println!(
        "{} seeds, {} virtual seconds, {broken} with broken invariants",
        seeds.end - seeds.start,
        virtual_time.as_secs()
    );
    match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_report(report: &TrialReport) {
    println!(
        "seed {} digest {:016x} of {} lines, {:?}, {}",
        report.seed, report.digest, report.trace_lines, report.counts, report.plan
    );
    for violation in &report.violations {
        println!("  VIOLATION {violation}");
    }
}
