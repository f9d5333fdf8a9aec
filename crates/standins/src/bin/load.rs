//! The load generator as a process.

use std::process::ExitCode;

use argh::FromArgs;
use eyre::Result;
use filbertpitch_standins::load::compare::{CompareArgs, compare_runs};
use filbertpitch_standins::load::run::run_load;
use filbertpitch_standins::load::settings::RunArgs;
use filbertpitch_standins::load::starts::{StartsArgs, measure_starts};

/// Load generator for filbertpitch.
#[derive(FromArgs)]
struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Run(Box<RunArgs>),
    Compare(CompareArgs),
    Starts(StartsArgs),
}

/// Exits with 1 if an answer was wrong or a start was doubled.
fn main() -> Result<ExitCode> {
    let args = argh::from_env::<LoadArgs>();
    match args.command {
        LoadCommand::Run(args) => run(&args),
        LoadCommand::Compare(args) => compare(&args),
        LoadCommand::Starts(args) => {
            println!("{}", serde_json::to_string_pretty(&measure_starts(&args)?)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run(args: &RunArgs) -> Result<ExitCode> {
    let report = run_load(args)?;
    match args.json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    Ok(match report.is_sound() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

fn compare(args: &CompareArgs) -> Result<ExitCode> {
    let ratios = compare_runs(args)?;
    match args.json {
        true => println!("{}", serde_json::to_string_pretty(&ratios)?),
        false => {
            println!("{:<28} {:>12} {:>12} {:>8}", "median", "a", "b", "b / a");
            for row in &ratios {
                let (measure, a, b, ratio) = (row.measure, row.a, row.b, row.ratio);
                println!("{measure:<28} {a:>12.4} {b:>12.4} {ratio:>8.3}");
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
